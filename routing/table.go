package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Table decides on the new flows of one service. It is immutable and safe for
// concurrent use; the loads that it was built with go on changing.
type Table struct {
	policy     policy
	candidates []candidate
	// average load of the candidates with a fresh report.
	average uint32
	// whole overrides the reason of every choice if it isn't NoTarget.
	whole Reason

	// inputs and ramping tell whether the table still holds later: ramping that a
	// target had not come to the end of its ramp.
	inputs  []input
	ramping bool
}

// candidate is a target that may be chosen. It is kept small, as the list of a
// big service is read at random.
type candidate struct {
	cell        *cell
	number      uint32
	incarnation uint32
	risk        uint32
	ip          [4]byte
	port        uint16
	// share of the draws that it takes part in, of fullShare.
	share uint16
	// ramped is how much of its ramp it has behind it, of rampedWhole.
	ramped uint16
}

// NewTable returns the table of a service. It ignores targets of other
// services, those whose address is not IPv4, and all but the newest
// incarnation of each target. Loads must have been made from a list that holds
// all of these targets. A table is good for about a second: then a new one
// takes in ages and reports. A nil policy means its defaults.
func NewTable(p *configpb.Policy, service uint32, targets []Target, loads *LoadReports, now time.Duration) *Table {
	b := builder{policy: newPolicy(p), loads: loads, now: now}
	for i := range targets {
		b.add(&targets[i], service)
	}
	return b.build()
}

// Len returns the number of candidates.
func (t *Table) Len() int {
	return len(t.candidates)
}

// builder sorts the targets of one service into classes.
type builder struct {
	policy policy
	loads  *LoadReports
	now    time.Duration

	well, ill, draining []candidate

	inputs  []input
	ramping bool
}

func (b *builder) add(t *Target, service uint32) {
	if t.Service != service || !usable(t.Address) {
		return
	}
	c := b.loads.find(t.Number, t.Incarnation)
	if c == nil {
		// Another target of the list has a newer incarnation.
		return
	}

	// The flags are read before the report: a report that comes in between shows
	// as a difference at the next refresh.
	b.inputs = append(b.inputs, input{cell: c, flags: c.flags(b.now)})
	b.ramping = b.ramping || t.Age < b.policy.ramp
	report, known := c.fresh(b.now)
	ill := t.Unhealthy
	if known {
		// The agent's own word is newer than the directory.
		ill = report.Unhealthy
	}
	// The agent of a target that flaps says that it is well each time.
	ill = ill || t.Damped
	made := b.candidate(t, c, ill)
	switch {
	case t.Draining || report.Draining:
		b.draining = append(b.draining, made)
	case ill:
		b.ill = append(b.ill, made)
	default:
		b.well = append(b.well, made)
	}
}

func (b *builder) candidate(t *Target, c *cell, ill bool) candidate {
	return candidate{
		cell:        c,
		number:      t.Number,
		incarnation: t.Incarnation,
		risk:        b.policy.risk(ill, t.Age),
		ip:          t.Address.Addr().Unmap().As4(),
		port:        t.Address.Port(),
		share:       b.policy.share(t.Age),
		ramped:      b.policy.ramped(t.Age),
	}
}

func (b *builder) build() *Table {
	t := &Table{policy: b.policy, inputs: b.inputs, ramping: b.ramping}
	serving := len(b.well) + len(b.ill)
	switch {
	case serving == 0:
		t.candidates = b.draining
		t.whole = LastResort
	case len(b.well) == 0 || b.policy.panics(len(b.ill), serving):
		t.candidates = append(b.well, b.ill...)
		t.whole = Panic
	default:
		t.candidates = b.well
	}

	t.finish(b.now)
	return t
}

// finish sorts the candidates, so that entry hosts with the same view choose
// alike, and sums them up.
func (t *Table) finish(now time.Duration) {
	slices.SortFunc(t.candidates, func(a, b candidate) int {
		return cmp.Compare(a.number, b.number)
	})
	t.candidates = slices.CompactFunc(t.candidates, func(a, b candidate) bool {
		return a.number == b.number
	})
	t.candidates = slices.Clip(t.candidates)

	t.average = t.averageLoad(now)
}

// averageLoad returns the mean load of the candidates with a fresh report, 0 if
// there is none.
func (t *Table) averageLoad(now time.Duration) uint32 {
	var sum, known uint64
	for i := range t.candidates {
		if load, ok := t.candidates[i].cell.freshLoad(now); ok {
			sum += uint64(load)
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return uint32(sum / known)
}

// expected returns the load of a candidate for its cost. One on its ramp of which
// nothing fresh is known has had few draws so far, so it counts for that part of
// the average. Taken for the average it would look no emptier than a full one, and
// the imbalance weight would have no hold on it. It counts as the average while a
// flow that was sent there is unanswered, so that a silent one gains little.
func (t *Table) expected(c *candidate, now time.Duration) uint32 {
	if load, known := c.cell.freshLoad(now); known {
		return load
	}
	if c.ramped == rampedWhole || c.cell.unanswered.Load() != 0 {
		return t.average
	}
	return uint32(uint64(t.average) * uint64(c.ramped) / rampedWhole)
}

func usable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return ip.Is4() && !ip.IsUnspecified() && a.Port() != 0
}

func (c *candidate) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(c.ip), c.port)
}

func (c *candidate) picked() TargetRef {
	return TargetRef{Number: c.number, Incarnation: c.incarnation, Address: c.address()}
}
