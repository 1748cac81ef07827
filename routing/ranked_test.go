package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

// rankFor returns the ranks of targets for the flow with a hash.
func rankFor(hash uint64) routing.Rank {
	return func(ip [4]byte, port uint16) uint64 {
		x := hash ^ (uint64(ip[1])<<32|uint64(ip[2])<<24|uint64(ip[3])<<16|uint64(port))*0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		return x ^ x>>31
	}
}

// Ranked choices are spread evenly, follow the lower load, and depend on the flow and the list
// only.
func TestRankedChoices(t *testing.T) {
	is := is.New(t)
	list := targets(40)
	table, loads := build(nil, list)
	const flows = 8000
	counts := map[uint32]int{}
	for i, hash := range hashes(flows) {
		c, ok := table.ChooseRanked(rankFor(hash), 0, hash, start)
		is.True(ok)
		counts[c.Target.Number]++
		if i%10 == 0 {
			loads.Decay()
		}
	}
	for _, n := range counts {
		is.True(n > flows/40/2 && n < flows/40*2)
	}
	// The better one of a pair that stays the same, whatever else is listed.
	for _, hash := range hashes(200) {
		c, _ := table.ChooseRanked(rankFor(hash), 0, hash, start)
		pair := map[string]bool{c.Target.Address.String(): true, c.Alternate.String(): true}
		loads.Record(c.Target.Number, 1, routing.Report{Load: 900}, start)
		again, _ := table.ChooseRanked(rankFor(hash), 0, hash+1, start)
		is.True(pair[again.Target.Address.String()])
		is.True(pair[again.Alternate.String()])
		loads.Record(c.Target.Number, 1, routing.Report{}, start)
		next, _ := table.ChooseRanked(rankFor(hash), 1, hash, start)
		is.True(!pair[next.Target.Address.String()])
		is.True(!pair[next.Alternate.String()])
	}
}

// Draining and unresponsive targets give way to the next in the order.
func TestRankedChoicePassesOverTargets(t *testing.T) {
	is := is.New(t)
	table, loads := build(nil, targets(20))
	now := start
	for _, hash := range hashes(50) {
		c, _ := table.ChooseRanked(rankFor(hash), 0, hash, now)
		loads.Record(c.Target.Number, 1, routing.Report{Draining: true}, now)
		next, ok := table.ChooseRanked(rankFor(hash), 0, hash, now)
		is.True(ok)
		is.True(next.Target.Number != c.Target.Number)
		loads.Record(c.Target.Number, 1, routing.Report{}, now)
		loads.Record(next.Target.Number, 1, routing.Report{}, now)

		c, _ = table.ChooseRanked(rankFor(hash), 0, hash, now) // stays without a reply
		now += routing.UnresponsiveAfter + 2*time.Millisecond
		next, ok = table.ChooseRanked(rankFor(hash), 0, hash, now)
		is.True(ok)
		is.True(next.Target.Number != c.Target.Number)
		is.Equal(next.Reason, routing.Unresponsive)
		loads.Record(c.Target.Number, 1, routing.Report{}, now)
		loads.Record(next.Target.Number, 1, routing.Report{}, now)
	}
}

// Few targets, none, and none but draining ones.
func TestRankedChoiceOfFew(t *testing.T) {
	is := is.New(t)
	none, _ := build(nil, nil)
	_, ok := none.ChooseRanked(rankFor(1), 0, 1, start)
	is.True(!ok)
	one, loads := build(nil, targets(1))
	for attempt := range 3 {
		c, ok := one.ChooseRanked(rankFor(1), attempt, 1, start)
		is.True(ok)
		is.Equal(c.Target.Number, uint32(1))
		is.True(!c.Alternate.IsValid())
	}
	loads.Record(1, 1, routing.Report{Draining: true}, start)
	c, ok := one.ChooseRanked(rankFor(1), 0, 1, start)
	is.True(ok)
	is.Equal(c.Target.Number, uint32(1))
}

func TestRankedChoiceDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table, _ := build(nil, targets(200))
	rank := rankFor(7)
	is.Equal(testing.AllocsPerRun(100, func() { table.ChooseRanked(rank, 0, 7, start) }), 0.0)
}
