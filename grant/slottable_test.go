package grant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

func withTable(t *grant.SlotTable, c *grantpb.Command) *grantpb.Command {
	c.Table = t.Digest()
	return c
}

func configure(t *grant.SlotTable, r *grant.Retention) *grantpb.Command {
	c := &grantpb.Configure{}
	if t != nil {
		c.Table = t.ToProto()
	}
	if r != nil {
		c.Retention = r.ToProto()
	}
	return &grantpb.Command{Body: &grantpb.Command_Configure{Configure: c}}
}

func TestSlotTable(t *testing.T) {
	for _, groups := range []int{1, 2, 3, 4, 8, grant.MaxGroups} {
		is := is.New(t)
		table := grant.NewSlotTable(groups)
		read, err := grant.ParseSlotTable(table.ToProto())
		is.NoErr(err)
		is.Equal(read, table)
		keys := make([]int, groups)
		for i := range 1000 * groups {
			keys[table.GroupOf(1, fmt.Sprintf("8b6f2c1e-%012d", i))]++
		}
		for group, n := range keys {
			is.True(n > 800 && n < 1200) // close to its share of 1,000
			owned := table.SlotCount(group)
			is.True(owned == grant.Slots/groups || owned == grant.Slots/groups+1)
		}
	}
	// The hash is part of the format and must not change.
	is.New(t).Equal(grant.SlotOf(1, "8b6f2c1e-000000000001"), 314)
}

func TestInvalidSlotTables(t *testing.T) {
	valid := grant.NewSlotTable(2).ToProto()
	for name, m := range map[string]*grantpb.SlotTable{
		"empty":           {},
		"no groups":       {Owners: valid.GetOwners()},
		"too few slots":   {Groups: 2, Owners: valid.GetOwners()[1:]},
		"unknown owner":   {Groups: 1, Owners: valid.GetOwners()},
		"too many groups": {Groups: grant.MaxGroups + 1, Owners: valid.GetOwners()},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := grant.ParseSlotTable(m)
			is.New(t).True(errors.Is(err, grant.ErrInvalidSlotTable))
		})
	}
}

// TestSlotTableIsSetOnce checks which tables a group accepts.
func TestSlotTableIsSetOnce(t *testing.T) {
	one, two, four := grant.NewSlotTable(1), grant.NewSlotTable(2), grant.NewSlotTable(4)
	used := func(m *grant.Machine) { apply(t, m, acquire("k", "one", "d")) }
	released := func(m *grant.Machine) { apply(t, m, release("k", "one")) }
	set := func(m *grant.Machine) { apply(t, m, configure(two, nil)) }
	for _, tt := range []struct {
		name   string
		group  int
		before func(*grant.Machine)
		table  *grant.SlotTable
		taken  bool
	}{
		{"fresh", 0, nil, four, true},
		{"repeated", 0, set, two, true},
		{"another", 0, set, four, false},
		{"key decided", 0, used, two, false},
		{"attempt released", 0, released, two, false},
		{"key decided, same table", 0, used, one, true},
		{"fresh, second group", 1, nil, two, true},
		{"table without this group", 1, nil, one, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := grant.NewGroup(tt.group)
			if tt.before != nil {
				tt.before(m)
			}
			is.Equal(apply(t, m, configure(tt.table, nil)).GetTaken(), tt.taken)
		})
	}
}

// TestOtherSlotTableIsRefused sends commands with another table than the agreed one.
func TestOtherSlotTableIsRefused(t *testing.T) {
	is := is.New(t)
	one, two, four := grant.NewSlotTable(1), grant.NewSlotTable(2), grant.NewSlotTable(4)
	m := grant.NewGroup(0)
	decide := func(c *grantpb.Command) grantpb.Decision { return apply(t, m, c).GetDecision() }
	ownKey, otherKey := keyOfGroup(two, 0), keyOfGroup(two, 1)
	is.Equal(decide(withTable(two, acquire(ownKey, "a", "d"))), grantpb.Decision_DECISION_TABLE) // no table yet
	is.True(apply(t, m, configure(two, nil)).GetTaken())
	before := snapshot(t, m)
	for _, c := range []*grantpb.Command{
		acquire(ownKey, "a", "d"), withTable(one, acquire(ownKey, "a", "d")), withTable(four, acquire(ownKey, "a", "d")),
		withTable(two, acquire(otherKey, "a", "d")), withTable(four, release(ownKey, "a")), withTable(four, complete(ownKey, "a", &grantpb.Answer{})),
	} {
		is.Equal(decide(c), grantpb.Decision_DECISION_TABLE)
	}
	is.Equal(snapshot(t, m), before) // no effect
	is.Equal(decide(withTable(two, acquire(ownKey, "a", "d"))), grantpb.Decision_DECISION_GRANTED)
	second := grant.NewGroup(1)
	is.Equal(apply(t, second, acquire(otherKey, "a", "d")).GetDecision(), grantpb.Decision_DECISION_TABLE)
}

func keyOfGroup(table *grant.SlotTable, group int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key-", i); table.GroupOf(1, key) == group {
			return key
		}
	}
}

// TestConfiguredRetention checks that responses expire after the configured retention.
func TestConfiguredRetention(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	configured := grant.Retention{Answered: time.Hour, Held: 48 * time.Hour}
	is.True(apply(t, m, configure(nil, &configured)).GetTaken())
	is.Equal(m.Retention(), configured)
	for _, r := range []grant.Retention{
		{Answered: time.Minute, Held: 48 * time.Hour}, {Answered: time.Hour, Held: time.Hour},
		{Answered: 25 * time.Hour, Held: 48 * time.Hour}, {Answered: time.Hour, Held: 1 << 62},
	} {
		is.Equal(apply(t, m, configure(nil, &r)).GetTaken(), false)
	}
	apply(t, m, acquire("answered", "a", "d"))
	apply(t, m, complete("answered", "a", &grantpb.Answer{Status: 200}))
	apply(t, m, acquire("held", "a", "d"))
	advanceBy(t, m, uint64((time.Hour - time.Millisecond).Milliseconds()))
	is.Equal(apply(t, m, acquire("answered", "b", "d")).GetDecision(), grantpb.Decision_DECISION_ANSWERED)
	advanceBy(t, m, 1)
	is.Equal(apply(t, m, acquire("answered", "b", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, acquire("held", "b", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	restored := grant.New()
	is.NoErr(restored.Restore(snapshot(t, m)))
	is.Equal(restored.Retention(), configured)
}

// TestSnapshotOfPreviousRelease restores a snapshot from before there were groups. It must
// be encoded the same again.
func TestSnapshotOfPreviousRelease(t *testing.T) {
	is := is.New(t)
	state := &grantpb.State{NowMs: 7, Records: []*grantpb.Record{
		{Service: 1, Key: "held", Attempt: []byte("a"), Digest: []byte("d"), ChangedMs: 5},
		{Service: 1, Key: "answered", Attempt: []byte("a"), Digest: []byte("d"), ChangedMs: 6,
			Answer: &grantpb.Answer{Status: 201, ContentType: "text/plain", Body: []byte("body")}},
	}}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	is.NoErr(err)
	m := grant.New()
	is.NoErr(m.Restore(data))
	is.Equal(snapshot(t, m), data)
	is.Equal(apply(t, m, acquire("held", "b", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	is.Equal(apply(t, m, configure(grant.NewSlotTable(2), nil)).GetTaken(), false)
}

// TestKeyIsGrantedByOneGroup sends commands with different tables to all groups while they
// are being configured.
func TestKeyIsGrantedByOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agreed := grant.NewSlotTable(rapid.IntRange(2, 4).Draw(t, "groups"))
		machines := make([]*grant.Machine, agreed.Groups())
		for i := range machines {
			machines[i] = grant.NewGroup(i)
		}
		granted := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			group := rapid.IntRange(0, len(machines)-1).Draw(t, "group")
			if rapid.IntRange(0, 3).Draw(t, "configure") == 0 {
				// A group gets the table that the first group agreed on.
				if group == 0 || machines[0].Table() != nil {
					apply(t, machines[group], configure(agreed, nil))
				}
				continue
			}
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			attempt := fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "attempt"))
			c := acquire(key, attempt, "d")
			if tableGroups := rapid.IntRange(0, 4).Draw(t, "view"); tableGroups > 0 {
				c = withTable(grant.NewSlotTable(tableGroups), c)
			}
			if apply(t, machines[group], c).GetDecision() != grantpb.Decision_DECISION_GRANTED {
				continue
			}
			if holder := granted[key]; holder != "" && holder != attempt {
				t.Fatalf("%s granted to %s and to %s", key, holder, attempt)
			}
			granted[key] = attempt
		}
	})
}
