package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func rules(c *Checker) []string {
	var out []string
	for _, v := range c.Violations() {
		out = append(out, v.Rule)
	}
	return out
}

func TestChecker(t *testing.T) {
	now := time.Now()
	old := now.Add(-time.Minute)
	for name, tt := range map[string]struct {
		observe func(*Checker)
		want    []string
	}{
		"fresh read":        {func(c *Checker) { c.CheckRead("c1", 2, 2, "b") }, nil},
		"stale read":        {func(c *Checker) { c.CheckRead("c1", 2, 1, "a") }, []string{RuleRead}},
		"unknown version":   {func(c *Checker) { c.CheckRead("c1", 2, 9, "z") }, []string{RuleRead}},
		"changed content":   {func(c *Checker) { c.CheckRead("c1", 0, 2, "b"); c.CheckRead("c2", 0, 2, "c") }, []string{RuleOneContent}},
		"current service":   {func(c *Checker) { c.CheckService("two", now) }, nil},
		"previous service":  {func(c *Checker) { c.CheckService("one", now) }, []string{RuleApplied}},
		"previous, in time": {func(c *Checker) { c.CheckService("one", now.Add(-time.Minute+applyTimeout/2)) }, nil},
		"previous, host disturbed": {func(c *Checker) {
			c.RecordDisturbance("e1", now.Add(-disturbanceWindow/2))
			c.CheckService("one", now)
		}, nil},
		"no version's service":  {func(c *Checker) { c.CheckService("three", now) }, []string{RuleRoute}},
		"reset of an open flow": {func(c *Checker) { c.CheckReset("instance", "h", now) }, []string{RuleNoReset}},
		"reset after the end":   {func(c *Checker) { c.RecordInstanceEnd("instance"); c.CheckReset("instance", "h", now) }, nil},
		"reset, host disturbed": {func(c *Checker) {
			c.RecordDisturbance("h", now.Add(-time.Second))
			c.CheckReset("instance", "h", now)
		}, nil},
		"reset, disturbed long ago": {func(c *Checker) { c.RecordDisturbance("h", old); c.CheckReset("instance", "h", now) }, []string{RuleNoReset}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker(old, 0)
			c.RecordSent(1, "one")
			c.RecordSent(2, "two")
			c.RecordAcked(1, old)
			c.RecordAcked(2, old)
			tt.observe(c)
			is.New(t).True(slices.Equal(rules(c), tt.want))
		})
	}
}

func TestNewestAcked(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewChecker(now, 0)
	c.RecordAcked(3, now)
	c.RecordAcked(2, now.Add(time.Second)) // an older version acknowledged later
	is.Equal(c.NewestAcked(now.Add(-time.Second)), 0)
	is.Equal(c.NewestAcked(now.Add(2*time.Second)), 3)
}
