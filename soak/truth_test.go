package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func rules(t *Checker) []string {
	var out []string
	for _, v := range t.Violations() {
		out = append(out, v.Rule)
	}
	return out
}

func TestTruth(t *testing.T) {
	now := time.Now()
	old := now.Add(-time.Minute)
	for name, tt := range map[string]struct {
		see  func(*Checker)
		want []string
	}{
		"fresh read":                {func(tr *Checker) { tr.CheckRead("c1", 2, 2, "b") }, nil},
		"stale read":                {func(tr *Checker) { tr.CheckRead("c1", 2, 1, "a") }, []string{RuleRead}},
		"unknown version":           {func(tr *Checker) { tr.CheckRead("c1", 2, 9, "z") }, []string{RuleRead}},
		"changed content":           {func(tr *Checker) { tr.CheckRead("c1", 0, 2, "b"); tr.CheckRead("c2", 0, 2, "c") }, []string{RuleOneContent}},
		"present service":           {func(tr *Checker) { tr.CheckService("two", now) }, nil},
		"former service":            {func(tr *Checker) { tr.CheckService("one", now) }, []string{RuleApplied}},
		"former, in time":           {func(tr *Checker) { tr.CheckService("one", now.Add(-time.Minute+applyBound/2)) }, nil},
		"former, host disturbed":    {func(tr *Checker) { tr.RecordDisturbance("e1", now.Add(-touchWindow/2)); tr.CheckService("one", now) }, nil},
		"no version's service":      {func(tr *Checker) { tr.CheckService("three", now) }, []string{RuleRoute}},
		"reset of a living flow":    {func(tr *Checker) { tr.CheckReset("life", "h", now) }, []string{RuleNoReset}},
		"reset after the end":       {func(tr *Checker) { tr.RecordInstanceEnd("life"); tr.CheckReset("life", "h", now) }, nil},
		"reset, host disturbed":     {func(tr *Checker) { tr.RecordDisturbance("h", now.Add(-time.Second)); tr.CheckReset("life", "h", now) }, nil},
		"reset, disturbed long ago": {func(tr *Checker) { tr.RecordDisturbance("h", old); tr.CheckReset("life", "h", now) }, []string{RuleNoReset}},
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewChecker(old, 0)
			tr.RecordSent(1, "one")
			tr.RecordSent(2, "two")
			tr.RecordAcked(1, old)
			tr.RecordAcked(2, old)
			tt.see(tr)
			is.New(t).True(slices.Equal(rules(tr), tt.want))
		})
	}
}

func TestNewest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := NewChecker(now, 0)
	tr.RecordAcked(3, now)
	tr.RecordAcked(2, now.Add(time.Second)) // an older one that is acknowledged again
	is.Equal(tr.NewestAcked(now.Add(-time.Second)), 0)
	is.Equal(tr.NewestAcked(now.Add(2*time.Second)), 3)
}
