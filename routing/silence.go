package routing

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

const (
	// UnresponsiveAfter is the time without any frame from a target, since a first
	// packet that it had to answer at once, from which it counts as silent. A
	// round trip between two regions takes below 300 ms, the rest is for hosts
	// that are busy. A caller that sends again 600 ms after its first packet, as
	// after two doubled pauses of 200 ms, is already served by another target.
	UnresponsiveAfter = 500 * time.Millisecond
	// ProbeInterval is the least time between two probes of a silent target, and
	// between the packet that it did not answer and the first probe.
	ProbeInterval = time.Second
	// maxRedraws bounds the draws in place of silent candidates.
	maxRedraws = 8
)

// pair is what is left of drawn candidates without the silent ones.
type pair struct {
	a, b *candidate
}

func (p *pair) take(c *candidate, now time.Duration) {
	switch {
	case c == nil || c == p.a || c.cell.silent(now):
	case p.a == nil:
		p.a = c
	case p.b == nil:
		p.b = c
	}
}

// heard returns two candidates that are not silent in place of two drawn ones, or
// one, or none. It draws again instead of searching from there on: targets of a
// lost failure domain may have neighbouring numbers, and the next one behind them
// would be drawn for all of them. Only then it searches, so that in a table of up
// to maxSteps candidates no silent one is taken while there is another one.
func (t *Table) heard(a, b *candidate, hash uint64, now time.Duration) pair {
	var p pair
	p.take(a, now)
	p.take(b, now)
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
		p.take(c, now)
		p.take(d, now)
	}
	i := scale(uint32(hash), n)
	for range min(n, maxSteps) {
		if p.a != nil {
			break
		}
		if c := &t.candidates[i]; !t.leaving(c, now) {
			p.take(c, now)
		}
		i++
		if i == n {
			i = 0
		}
	}
	return p
}

// avoidsSilent reports whether the policy looks at silence: the baseline doesn't.
func (p *policy) avoidsSilent() bool {
	return p.strategy != configpb.Strategy_STRATEGY_HASH
}

// stamp returns a time in ms that is never zero.
func stamp(now time.Duration) int64 {
	return now.Milliseconds() + 1
}

// sent records that a packet goes to the target that it answers at once. Of
// several since its last frame the first one counts.
func (c *cell) sent(now time.Duration) {
	if c.waiting.Load() == 0 {
		c.waiting.CompareAndSwap(0, stamp(now))
	}
}

// answered records that a frame came from the target. What it was is of no
// matter: it was sent by a process that works, on a way that works.
func (c *cell) answered() {
	if c.waiting.Load() != 0 {
		c.waiting.Store(0)
	}
}

// silent reports whether nothing came from the target for too long.
func (c *cell) silent(now time.Duration) bool {
	since := c.waiting.Load()
	return since != 0 && stamp(now)-since > UnresponsiveAfter.Milliseconds()
}

// takeProbe reports whether a silent target is to be probed now. Of several
// workers one is told so.
func (c *cell) takeProbe(now time.Duration) bool {
	last := c.probed.Load()
	pause := stamp(now) - max(last, c.waiting.Load())
	return pause >= ProbeInterval.Milliseconds() && c.probed.CompareAndSwap(last, stamp(now))
}
