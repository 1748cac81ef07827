package raft

import (
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// defaultSeeds is the number of seeds of a test run. RAFT_SEEDS sets another
// number, RAFT_SEED a single seed.
const (
	defaultSeeds   = 200
	randomEvents   = 30000
	recoveryEvents = 16000
	initialVoters  = 3
	replicaNames   = "abcde"
)

func seeds(t *testing.T) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("RAFT_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	count := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv("RAFT_SEEDS")); err == nil {
		count = n
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

func TestRandomSchedules(t *testing.T) {
	var total counts
	for _, seed := range seeds(t) {
		c := newCluster(seed)
		if err := c.run(); err != nil {
			t.Fatalf("RAFT_SEED=%d: event %d: %v", seed, c.events, err)
		}
		total.add(&c.counts)
	}
	t.Logf("%+v", total)
	if len(seeds(t)) < defaultSeeds {
		return
	}
	// The schedules must reach each kind of event.
	is := is.New(t)
	for name, count := range map[string]int{
		"leaders": total.Leaders, "commits": total.Commits, "reads": total.Reads, "failed reads": total.FailedReads,
		"crashes": total.Crashes, "wipes": total.Wipes, "promotions": total.Promotions, "removals": total.Removals,
		"restores": total.Restores, "recovered": total.Recovered,
		"take-overs": total.TakeOvers,
	} {
		t.Log(name, count)
		is.True(count > 50) // each kind of event occurred
	}
}

func TestSameInputsSameOutputs(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 5; seed++ {
		first, second := newCluster(seed), newCluster(seed)
		is.NoErr(first.run())
		is.NoErr(second.run())
		is.Equal(first.trace, second.trace) // messages of both runs
	}
}

// counts counts the events of a schedule.
type counts struct {
	Leaders, Commits, Reads, FailedReads, Crashes, Wipes, Promotions, Removals, Restores, Recovered, TakeOvers int
}

func (c *counts) add(o *counts) {
	c.Leaders += o.Leaders
	c.Commits += o.Commits
	c.Reads += o.Reads
	c.FailedReads += o.FailedReads
	c.Crashes += o.Crashes
	c.Wipes += o.Wipes
	c.Promotions += o.Promotions
	c.Removals += o.Removals
	c.Restores += o.Restores
	c.Recovered += o.Recovered
	c.TakeOvers += o.TakeOvers
}
