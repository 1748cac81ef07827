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

func by(t *grant.SlotTable, c *grantpb.Command) *grantpb.Command {
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
			is.True(n > 800 && n < 1200) // near its share of 1,000
			owned := table.SlotCount(group)
			is.True(owned == grant.Slots/groups || owned == grant.Slots/groups+1)
		}
	}
	// The hash is a part of the format: it never changes.
	is.New(t).Equal(grant.SlotOf(1, "8b6f2c1e-000000000001"), 314)
}

func TestUnusableSlotTables(t *testing.T) {
	whole := grant.NewSlotTable(2).ToProto()
	for name, m := range map[string]*grantpb.SlotTable{
		"empty":         {},
		"no groups":     {Owners: whole.GetOwners()},
		"slots left":    {Groups: 2, Owners: whole.GetOwners()[1:]},
		"owner unknown": {Groups: 1, Owners: whole.GetOwners()},
		"many groups":   {Groups: grant.MaxGroups + 1, Owners: whole.GetOwners()},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := grant.ParseSlotTable(m)
			is.New(t).True(errors.Is(err, grant.ErrInvalidSlotTable))
		})
	}
}

// TestTableIsFixedOnce tells which tables a group takes.
func TestTableIsFixedOnce(t *testing.T) {
	one, two, four := grant.NewSlotTable(1), grant.NewSlotTable(2), grant.NewSlotTable(4)
	used := func(m *grant.Machine) { run(t, m, acquire("k", "one", "d")) }
	released := func(m *grant.Machine) { run(t, m, release("k", "one")) }
	set := func(m *grant.Machine) { run(t, m, configure(two, nil)) }
	for _, test := range []struct {
		name   string
		group  int
		before func(*grant.Machine)
		table  *grant.SlotTable
		taken  bool
	}{
		{"fresh", 0, nil, four, true},
		{"repeated", 0, set, two, true},
		{"another", 0, set, four, false},
		{"a key was decided on", 0, used, two, false},
		{"an attempt was released", 0, released, two, false},
		{"a key was decided on, the table that did", 0, used, one, true},
		{"fresh, not the first", 1, nil, two, true},
		{"a table without this group", 1, nil, one, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := grant.NewGroup(test.group)
			if test.before != nil {
				test.before(m)
			}
			is.Equal(run(t, m, configure(test.table, nil)).GetTaken(), test.taken)
		})
	}
}

// TestOtherTableIsRefused asks by another table than the agreed one.
func TestOtherTableIsRefused(t *testing.T) {
	is := is.New(t)
	one, two, four := grant.NewSlotTable(1), grant.NewSlotTable(2), grant.NewSlotTable(4)
	m := grant.NewGroup(0)
	decide := func(c *grantpb.Command) grantpb.Decision { return run(t, m, c).GetDecision() }
	mine, others := keyIn(two, 0), keyIn(two, 1)
	is.Equal(decide(by(two, acquire(mine, "a", "d"))), grantpb.Decision_DECISION_TABLE) // not agreed on yet
	is.True(run(t, m, configure(two, nil)).GetTaken())
	before := snapshot(t, m)
	for _, c := range []*grantpb.Command{
		acquire(mine, "a", "d"), by(one, acquire(mine, "a", "d")), by(four, acquire(mine, "a", "d")),
		by(two, acquire(others, "a", "d")), by(four, release(mine, "a")), by(four, complete(mine, "a", &grantpb.Answer{})),
	} {
		is.Equal(decide(c), grantpb.Decision_DECISION_TABLE)
	}
	is.Equal(snapshot(t, m), before) // nothing was done
	is.Equal(decide(by(two, acquire(mine, "a", "d"))), grantpb.Decision_DECISION_GRANTED)
	second := grant.NewGroup(1)
	is.Equal(run(t, second, acquire(others, "a", "d")).GetDecision(), grantpb.Decision_DECISION_TABLE)
}

func keyIn(table *grant.SlotTable, group int) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key-", i); table.GroupOf(1, key) == group {
			return key
		}
	}
}

// TestRetentionIsSet has answers forgotten after what operators set, and
// nothing before.
func TestRetentionIsSet(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	set := grant.Retention{Answered: time.Hour, Held: 48 * time.Hour}
	is.True(run(t, m, configure(nil, &set)).GetTaken())
	is.Equal(m.Retention(), set)
	for _, r := range []grant.Retention{
		{Answered: time.Minute, Held: 48 * time.Hour}, {Answered: time.Hour, Held: time.Hour},
		{Answered: 25 * time.Hour, Held: 48 * time.Hour}, {Answered: time.Hour, Held: 1 << 62},
	} {
		is.Equal(run(t, m, configure(nil, &r)).GetTaken(), false)
	}
	run(t, m, acquire("answered", "a", "d"))
	run(t, m, complete("answered", "a", &grantpb.Answer{Status: 200}))
	run(t, m, acquire("held", "a", "d"))
	pass(t, m, uint64((time.Hour - time.Millisecond).Milliseconds()))
	is.Equal(run(t, m, acquire("answered", "b", "d")).GetDecision(), grantpb.Decision_DECISION_ANSWERED)
	pass(t, m, 1)
	is.Equal(run(t, m, acquire("answered", "b", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(run(t, m, acquire("held", "b", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	copied := grant.New()
	is.NoErr(copied.Restore(snapshot(t, m)))
	is.Equal(copied.Retention(), set)
}

// TestSnapshotOfFormerBuild opens a state from before there were groups, and
// writes the same again.
func TestSnapshotOfFormerBuild(t *testing.T) {
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
	is.Equal(run(t, m, acquire("held", "b", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	is.Equal(run(t, m, configure(grant.NewSlotTable(2), nil)).GetTaken(), false)
}

// TestNoTwoGroupsGrantAKey sends commands by right and wrong tables to the
// groups of a deployment, in any order with their being configured.
func TestNoTwoGroupsGrantAKey(t *testing.T) {
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
				// A group takes the table that the first one agreed on.
				if group == 0 || machines[0].Table() != nil {
					run(t, machines[group], configure(agreed, nil))
				}
				continue
			}
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			attempt := fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "attempt"))
			c := acquire(key, attempt, "d")
			if views := rapid.IntRange(0, 4).Draw(t, "view"); views > 0 {
				c = by(grant.NewSlotTable(views), c)
			}
			if run(t, machines[group], c).GetDecision() != grantpb.Decision_DECISION_GRANTED {
				continue
			}
			if holder := granted[key]; holder != "" && holder != attempt {
				t.Fatalf("%s granted to %s and to %s", key, holder, attempt)
			}
			granted[key] = attempt
		}
	})
}
