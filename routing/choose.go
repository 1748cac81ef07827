package routing

import (
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

const (
	// fullLoad is the load of a full target.
	fullLoad = 1000
	// maxLoad bounds the contribution of load to a cost. Above it a target is far over its
	// capacity, or over the mean of full ones, either way.
	maxLoad = 4000
	// maxUnanswered bounds the contribution of unanswered flows to a cost.
	maxUnanswered = 1000
	// maxSearchSteps bounds the search for a target that is not draining, in
	// candidates. The search runs for each first packet.
	maxSearchSteps = 64
)

// Choose chooses the target of a new flow whose first packet must be answered at once.
// The hash must be uniform over 64 bits. It returns false with the reason NoTarget if
// there is no candidate. It does not allocate.
func (t *Table) Choose(hash uint64, now time.Duration) (Choice, bool) {
	c, chosen, unresponsive := t.choose(hash, now)
	if chosen == nil {
		return c, false
	}
	t.recordChosen(&c, chosen, unresponsive, now)
	return c, true
}

// recordChosen records a packet that the chosen candidate must answer, and probes the one
// that was replaced.
func (t *Table) recordChosen(c *Choice, chosen, unresponsive *candidate, now time.Duration) {
	chosen.reportState.recordSent(now)
	if unresponsive != nil && unresponsive != chosen && unresponsive.reportState.claimProbe(now) {
		c.Probe = unresponsive.ref()
	}
}

// ChooseNoReply is Choose for a packet that the target need not answer, such as 0-RTT
// data.
func (t *Table) ChooseNoReply(hash uint64, now time.Duration) (Choice, bool) {
	c, chosen, _ := t.choose(hash, now)
	return c, chosen != nil
}

// choose returns the choice, the chosen candidate and an unresponsive one that was
// replaced.
func (t *Table) choose(hash uint64, now time.Duration) (c Choice, chosen, unresponsive *candidate) {
	a, b := t.draw(hash, now)
	if a == nil {
		return Choice{Reason: NoTarget}, nil, nil
	}
	if t.policy.skipsUnresponsive() {
		a, b, unresponsive = t.replaceUnresponsive(a, b, hash, now)
	}
	c, chosen = t.settle(a, b, unresponsive, hash, now)
	return c, chosen, unresponsive
}

// settle returns the choice between two candidates, or of the only one if b is nil.
func (t *Table) settle(a, b, unresponsive *candidate, hash uint64, now time.Duration) (Choice, *candidate) {
	chosen, reason := a, OnlyCandidate
	if b != nil {
		chosen, reason = t.pickBetter(a, b, hash, now)
	}
	if unresponsive != nil {
		reason = Unresponsive
	}
	if t.overrideReason != NoTarget {
		reason = t.overrideReason
	}
	chosen.reportState.unanswered.Add(1)
	return Choice{
		Target:    chosen.ref(),
		Alternate: alternate(a, b, chosen),
		Reason:    reason,
	}, chosen
}

// replaceUnresponsive replaces unresponsive candidates and returns one that it
// replaced. It keeps them if there is no responsive one.
func (t *Table) replaceUnresponsive(a, b *candidate, hash uint64, now time.Duration) (c, d, unresponsive *candidate) {
	switch {
	case a.reportState.unresponsive(now):
		unresponsive = a
	case b != nil && b.reportState.unresponsive(now):
		unresponsive = b
	default:
		return a, b, nil
	}
	responsive := t.responsive(a, b, hash, now)
	if responsive.a == nil {
		return a, b, nil
	}
	return responsive.a, responsive.b, unresponsive
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
		// All candidates in reach of the search are draining. They are used like those
		// of a table with draining targets only.
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

// search returns the index of the first candidate from start on that is not draining
// and not at index except, or n if there is none within maxSearchSteps.
func (t *Table) search(start, except int, now time.Duration) int {
	n := len(t.candidates)
	i := start
	for range min(n, maxSearchSteps) {
		if i != except && !t.reportsDraining(&t.candidates[i], now) {
			return i
		}
		i++
		if i == n {
			i = 0
		}
	}
	return n
}

// reportsDraining reports whether a candidate started draining after the table was
// built.
func (t *Table) reportsDraining(c *candidate, now time.Duration) bool {
	if t.overrideReason == LastResort {
		return false
	}
	report, known := c.reportState.freshReport(now)
	return known && report.Draining
}

// pickBetter returns the better one of two candidates.
func (t *Table) pickBetter(a, b *candidate, hash uint64, now time.Duration) (*candidate, Reason) {
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

// cost returns the weighted cost described in the package comment.
func (t *Table) cost(c *candidate, now time.Duration) uint32 {
	risk := c.risk
	if report, known := c.reportState.freshReport(now); known && report.Unhealthy {
		risk = maxRisk
	}
	load := t.relativeLoad(t.estimatedLoad(c, now))
	unanswered := min(c.reportState.unanswered.Load(), maxUnanswered)
	return t.policy.loadWeight*load + t.policy.brokenWeight*risk + weightScale*unanswered
}

// load returns the reported load, or the average without a recent report.
func (t *Table) load(c *candidate, now time.Duration) uint32 {
	if load, known := c.reportState.freshLoad(now); known {
		return load
	}
	return t.average
}

// relativeLoad returns a load as used in a cost: relative to the average if the average
// target is full, so that overloaded targets still compare.
func (t *Table) relativeLoad(load uint32) uint32 {
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

// scale maps 32 uniform bits to 0 … n-1.
func scale(bits uint32, n int) int {
	return int(uint64(bits) * uint64(n) >> 32)
}

// mix returns bits that are independent of those used by draw (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
