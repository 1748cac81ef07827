package routing

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

const (
	// UnresponsiveAfter is the time after which a target counts as unresponsive if no
	// frame arrived since an unanswered first packet. It exceeds a round trip between
	// two regions, and is short enough that the caller's second retransmission reaches
	// another target.
	UnresponsiveAfter = 500 * time.Millisecond
	// ProbeInterval is the least time between two probes of an unresponsive target, and
	// between the unanswered packet and the first probe.
	ProbeInterval = time.Second
	// maxRedraws bounds the draws that replace unresponsive candidates.
	maxRedraws = 8
)

// responsivePair holds up to two different responsive candidates.
type responsivePair struct {
	a, b *candidate
}

func (p *responsivePair) add(c *candidate, now time.Duration) {
	switch {
	case c == nil || c == p.a || c.reportState.unresponsive(now):
	case p.a == nil:
		p.a = c
	case p.b == nil:
		p.b = c
	}
}

// responsive returns two responsive candidates in place of the drawn ones, or one, or
// none. It draws again before it searches: the targets of a lost failure domain may
// have adjacent numbers, and a search alone would send all their flows to the next one.
// The search makes sure that a responsive candidate is found in a table of up to
// maxSearchSteps candidates.
func (t *Table) responsive(a, b *candidate, hash uint64, now time.Duration) responsivePair {
	var p responsivePair
	p.add(a, now)
	p.add(b, now)
	n := len(t.candidates)
	if n <= 2 {
		return p
	}
	for range maxRedraws {
		if p.b != nil {
			return p
		}
		hash = mix(hash)
		c, d := t.draw(hash, now)
		p.add(c, now)
		p.add(d, now)
	}
	i := scale(uint32(hash), n)
	for range min(n, maxSearchSteps) {
		if p.a != nil {
			break
		}
		if c := &t.candidates[i]; !t.reportsDraining(c, now) {
			p.add(c, now)
		}
		i++
		if i == n {
			i = 0
		}
	}
	return p
}

// skipsUnresponsive reports whether the policy avoids unresponsive targets.
func (p *policy) skipsUnresponsive() bool {
	return p.strategy != configpb.Strategy_STRATEGY_HASH
}

// timestamp returns a time in ms that is never zero.
func timestamp(now time.Duration) int64 {
	return now.Milliseconds() + 1
}

// recordSent records a packet that the target must answer. Only the first one since its
// last frame counts.
func (s *reportState) recordSent(now time.Duration) {
	if s.unansweredSince.Load() == 0 {
		s.unansweredSince.CompareAndSwap(0, timestamp(now))
	}
}

// recordReply records that any frame arrived from the target.
func (s *reportState) recordReply() {
	if s.unansweredSince.Load() != 0 {
		s.unansweredSince.Store(0)
	}
}

// unresponsive reports whether a packet that the target must answer has been unanswered
// for longer than UnresponsiveAfter.
func (s *reportState) unresponsive(now time.Duration) bool {
	since := s.unansweredSince.Load()
	return since != 0 && timestamp(now)-since > UnresponsiveAfter.Milliseconds()
}

// claimProbe reports whether an unresponsive target is to be probed now. Of several
// concurrent calls only one returns true.
func (s *reportState) claimProbe(now time.Duration) bool {
	last := s.lastProbe.Load()
	elapsed := timestamp(now) - max(last, s.unansweredSince.Load())
	return elapsed >= ProbeInterval.Milliseconds() && s.lastProbe.CompareAndSwap(last, timestamp(now))
}
