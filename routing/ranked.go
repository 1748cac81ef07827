package routing

import "time"

// rankedCandidates is the number of candidates that a ranked choice considers.
const rankedCandidates = 8

// Rank orders the targets for one flow: of two targets the one with the higher rank comes
// first. It is called with the frame address of each candidate.
type Rank func(ip [4]byte, port uint16) uint64

// ChooseRanked is Choose with candidates that follow from the flow: the better one of the two
// that rank highest, or of the next two with each further attempt. So a host that knows only
// the flow and the list of targets knows where the flow may be. The hash decides what is left
// to chance; it must be uniform over 64 bits.
func (t *Table) ChooseRanked(rank Rank, attempt int, hash uint64, now time.Duration) (Choice, bool) {
	var ranked rankedList
	for i := range t.candidates {
		c := &t.candidates[i]
		ranked.offer(c, rank(c.ip, c.port))
	}
	a, b, unresponsive := t.rankedPair(ranked.candidates[:ranked.count], attempt, now)
	if a == nil {
		return Choice{Reason: NoTarget}, false
	}
	c, chosen := t.settle(a, b, unresponsive, hash, now)
	t.recordChosen(&c, chosen, unresponsive, now)
	return c, true
}

// rankedList has the candidates with the highest ranks, in descending order.
type rankedList struct {
	candidates [rankedCandidates]*candidate
	ranks      [rankedCandidates]uint64
	count      int
}

func (l *rankedList) offer(c *candidate, rank uint64) {
	if l.count == rankedCandidates && rank <= l.ranks[rankedCandidates-1] {
		return
	}
	if l.count < rankedCandidates {
		l.count++
	}
	i := l.count - 1
	for ; i > 0 && l.ranks[i-1] < rank; i-- {
		l.candidates[i], l.ranks[i] = l.candidates[i-1], l.ranks[i-1]
	}
	l.candidates[i], l.ranks[i] = c, rank
}

// rankedPair returns the two candidates of an attempt, or one, or none, and an unresponsive
// one that was passed over. Draining and unresponsive ones are passed over while there are
// others.
func (t *Table) rankedPair(ranked []*candidate, attempt int, now time.Duration) (a, b, unresponsive *candidate) {
	if len(ranked) == 0 {
		return nil, nil, nil
	}
	var buffer [rankedCandidates]*candidate
	usable := t.withoutDraining(buffer[:0], ranked, now)
	first := 2 * attempt % len(usable)
	if !t.policy.skipsUnresponsive() {
		return usable[first], next(usable, first), nil
	}
	var p responsivePair
	for i := range usable {
		c := usable[(first+i)%len(usable)]
		if p.b == nil && unresponsive == nil && c.reportState.unresponsive(now) {
			unresponsive = c
		}
		p.add(c, now)
	}
	if p.a == nil {
		// If none of them responds, the fault is more likely on this host.
		return usable[first], next(usable, first), nil
	}
	return p.a, p.b, unresponsive
}

// withoutDraining appends the candidates that are not draining, all if there are no others.
func (t *Table) withoutDraining(to, ranked []*candidate, now time.Duration) []*candidate {
	for _, c := range ranked {
		if !t.reportsDraining(c, now) {
			to = append(to, c)
		}
	}
	if len(to) == 0 {
		to = append(to, ranked...)
	}
	return to
}

// next returns the candidate after an index, nil if there is no other one.
func next(list []*candidate, index int) *candidate {
	if len(list) < 2 {
		return nil
	}
	return list[(index+1)%len(list)]
}
