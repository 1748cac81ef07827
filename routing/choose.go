package routing

import (
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

const (
	// fullLoad is the load of a full target.
	fullLoad = 1000
	// maxLoad bounds what a report adds to a cost; above it a target is far
	// over its capacity, or over the mean of full ones, either way.
	maxLoad = 4000
	// maxUnanswered bounds what unanswered flows add to a cost.
	maxUnanswered = 1000
	// maxSteps bounds the search for a target that did not report to be
	// draining since the table was built, so that a flood of first packets
	// can't make each of them read a long list.
	maxSteps = 64
)

// Choose decides on a new flow, whose first packet its target answers at once, by
// a hash that is evenly spread over 64 bits. It reports false, with the reason
// NoTarget, if there is no candidate. It allocates nothing.
func (t *Table) Choose(hash uint64, now time.Duration) (Choice, bool) {
	c, chosen, silent := t.choose(hash, now)
	if chosen == nil {
		return c, false
	}
	chosen.cell.sent(now)
	if silent != nil && silent != chosen && silent.cell.takeProbe(now) {
		c.Probe = silent.picked()
	}
	return c, true
}

// ChooseNoReply is Choose for a packet that a target need not answer, so that
// its silence afterwards tells nothing.
func (t *Table) ChooseNoReply(hash uint64, now time.Duration) (Choice, bool) {
	c, chosen, _ := t.choose(hash, now)
	return c, chosen != nil
}

// choose returns the choice, the chosen candidate and a drawn one that was left
// out because it is silent.
func (t *Table) choose(hash uint64, now time.Duration) (c Choice, chosen, silent *candidate) {
	a, b := t.draw(hash, now)
	if a == nil {
		return Choice{Reason: NoTarget}, nil, nil
	}
	if t.policy.avoidsSilent() {
		a, b, silent = t.avoid(a, b, hash, now)
	}

	chosen, reason := a, OnlyCandidate
	if b != nil {
		chosen, reason = t.better(a, b, hash, now)
	}
	if silent != nil {
		reason = Unresponsive
	}
	if t.whole != NoTarget {
		reason = t.whole
	}
	chosen.cell.unanswered.Add(1)
	return Choice{
		Target:    chosen.picked(),
		Alternate: alternate(a, b, chosen),
		Reason:    reason,
	}, chosen, silent
}

// avoid replaces silent ones of two candidates and returns one that it replaced. If
// no other one is found, they stay: they are as good as any.
func (t *Table) avoid(a, b *candidate, hash uint64, now time.Duration) (c, d, silent *candidate) {
	switch {
	case a.cell.silent(now):
		silent = a
	case b != nil && b.cell.silent(now):
		silent = b
	default:
		return a, b, nil
	}
	heard := t.heard(a, b, hash, now)
	if heard.a == nil {
		return a, b, nil
	}
	return heard.a, heard.b, silent
}

// draw returns two different candidates, or one, or none.
func (t *Table) draw(hash uint64, now time.Duration) (a, b *candidate) {
	n := len(t.candidates)
	if n == 0 {
		return nil, nil
	}
	i := scale(uint32(hash), n)
	first := t.search(i, n, now)
	if first == n {
		// All that were looked at report to be draining since the table was
		// built: as good as a table of draining targets.
		first = i
	}
	if n == 1 {
		return &t.candidates[first], nil
	}

	step := 1 + scale(uint32(hash>>32), n-1)
	second := t.search((first+step)%n, first, now)
	if second == first || second == n {
		return &t.candidates[first], nil
	}
	return &t.candidates[first], &t.candidates[second]
}

// search returns the index of the first candidate from start on that did not
// report to be draining and is not at index except, or n if there is none
// within maxSteps.
func (t *Table) search(start, except int, now time.Duration) int {
	n := len(t.candidates)
	i := start
	for range min(n, maxSteps) {
		if i != except && !t.leaving(&t.candidates[i], now) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return n
}

// leaving reports whether a candidate of a table without draining targets
// reported to be draining since.
func (t *Table) leaving(c *candidate, now time.Duration) bool {
	if t.whole == LastResort {
		return false
	}
	report, known := c.cell.fresh(now)
	return known && report.Draining
}

// better returns the better one of two candidates.
func (t *Table) better(a, b *candidate, hash uint64, now time.Duration) (*candidate, Reason) {
	switch t.policy.strategy {
	case configpb.Strategy_STRATEGY_HASH:
		return a, ByHash
	case configpb.Strategy_STRATEGY_TWO_CHOICES:
		return cheaper(a, b, t.load(a, now), t.load(b, now))
	}

	bits := mix(hash)
	takesA := uint16(bits) <= a.share
	takesB := uint16(bits>>16) <= b.share
	if takesA && !takesB {
		return a, Ramp
	}
	if takesB && !takesA {
		return b, Ramp
	}
	return cheaper(a, b, t.cost(a, now), t.cost(b, now))
}

func cheaper(a, b *candidate, costA, costB uint32) (*candidate, Reason) {
	switch {
	case costA < costB:
		return a, ByCost
	case costB < costA:
		return b, ByCost
	default:
		return a, EqualCost
	}
}

// cost weighs load against risk, see the package's comment.
func (t *Table) cost(c *candidate, now time.Duration) uint32 {
	risk := c.risk
	if report, known := c.cell.fresh(now); known && report.Unhealthy {
		risk = maxRisk
	}
	load := t.relative(t.expected(c, now))
	unanswered := min(c.cell.unanswered.Load(), maxUnanswered)
	return t.policy.loadWeight*load + t.policy.brokenWeight*risk + weightScale*unanswered
}

// load returns the reported load, or the average.
func (t *Table) load(c *candidate, now time.Duration) uint32 {
	if load, known := c.cell.freshLoad(now); known {
		return load
	}
	return t.average
}

// relative returns a load for the cost. Where the average target is full, it is
// the share of the average: what counts as full may be set too low, and targets
// that are all far above it still differ.
func (t *Table) relative(load uint32) uint32 {
	if t.average > fullLoad {
		load = uint32(uint64(load) * fullLoad / uint64(t.average))
	}
	return min(load, maxLoad)
}

func alternate(a, b, chosen *candidate) netip.AddrPort {
	switch {
	case b == nil:
		return netip.AddrPort{}
	case chosen == a:
		return b.address()
	default:
		return a.address()
	}
}

// scale maps 32 even bits to 0 … n-1.
func scale(bits uint32, n int) int {
	return int(uint64(bits) * uint64(n) >> 32)
}

// mix returns bits that are independent of those that drew the candidates
// (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
