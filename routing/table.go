package routing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Table chooses targets for the new flows of one service. It is immutable and safe for
// concurrent use, but its choices follow the reports recorded meanwhile.
type Table struct {
	policy     policy
	candidates []candidate
	// average is the mean load of the candidates with a fresh report.
	average uint32
	// overrideReason replaces the reason of every choice unless it is NoTarget.
	overrideReason Reason

	// inputs and ramping determine whether the table must be rebuilt. ramping is set if
	// a target was on its ramp.
	inputs  []tableInput
	ramping bool
}

// candidate is a target that may be chosen. It is kept small, as lists are accessed at
// random.
type candidate struct {
	reportState *reportState
	number      uint32
	incarnation uint32
	risk        uint32
	ip          [4]byte
	port        uint16
	// share of the draws in which it takes part, out of fullShare.
	share uint16
	// rampProgress is its progress on the ramp, out of fullRampProgress.
	rampProgress uint16
}

// NewTable returns the table of a service. It ignores targets of other services,
// targets without an IPv4 address, and all but the newest incarnation of each target.
// Reports must cover all of these targets. A table should be refreshed or rebuilt about
// once a second. A nil policy means the defaults.
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

// builder groups the targets of one service by state.
type builder struct {
	policy policy
	loads  *LoadReports
	now    time.Duration

	healthy, unhealthy, draining []candidate

	inputs  []tableInput
	ramping bool
}

func (b *builder) add(t *Target, service uint32) {
	if t.Service != service || !usable(t.Address) {
		return
	}
	state := b.loads.find(t.Number, t.Incarnation)
	if state == nil {
		// Another target of the list has a newer incarnation.
		return
	}

	// The flags are read before the report, so that a report arriving in between is
	// noticed by the next Refresh.
	b.inputs = append(b.inputs, tableInput{reportState: state, reportFlags: state.reportFlags(b.now)})
	b.ramping = b.ramping || t.Age < b.policy.ramp
	report, known := state.freshReport(b.now)
	unhealthy := t.Unhealthy
	if known {
		// The report of the agent is newer than the directory.
		unhealthy = report.Unhealthy
	}
	// A flapping target stays unhealthy, whatever its agent reports.
	unhealthy = unhealthy || t.Damped
	c := b.candidate(t, state, unhealthy)
	switch {
	case t.Draining || report.Draining:
		b.draining = append(b.draining, c)
	case unhealthy:
		b.unhealthy = append(b.unhealthy, c)
	default:
		b.healthy = append(b.healthy, c)
	}
}

func (b *builder) candidate(t *Target, state *reportState, unhealthy bool) candidate {
	return candidate{
		reportState:  state,
		number:       t.Number,
		incarnation:  t.Incarnation,
		risk:         b.policy.risk(unhealthy, t.Age),
		ip:           t.Address.Addr().Unmap().As4(),
		port:         t.Address.Port(),
		share:        b.policy.share(t.Age),
		rampProgress: b.policy.rampProgress(t.Age),
	}
}

func (b *builder) build() *Table {
	t := &Table{policy: b.policy, inputs: b.inputs, ramping: b.ramping}
	serving := len(b.healthy) + len(b.unhealthy)
	switch {
	case serving == 0:
		t.candidates = b.draining
		t.overrideReason = LastResort
	case len(b.healthy) == 0 || b.policy.inPanicMode(len(b.unhealthy), serving):
		t.candidates = append(b.healthy, b.unhealthy...)
		t.overrideReason = Panic
	default:
		t.candidates = b.healthy
	}

	t.finish(b.now)
	return t
}

// finish sorts the candidates, so that entry hosts with the same view choose the same
// targets, and computes the average load.
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

// averageLoad returns the mean load of the candidates with a fresh report, 0 without
// any.
func (t *Table) averageLoad(now time.Duration) uint32 {
	var sum, known uint64
	for i := range t.candidates {
		if load, ok := t.candidates[i].reportState.freshLoad(now); ok {
			sum += uint64(load)
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return uint32(sum / known)
}

// estimatedLoad returns the load of a candidate for its cost. Without a fresh report, a
// candidate on its ramp counts as the average multiplied by its progress, as it has had
// few flows so far: taken for the average it would look no emptier than a full one. A
// candidate with unanswered flows counts as the average, so that a silent one gains little.
func (t *Table) estimatedLoad(c *candidate, now time.Duration) uint32 {
	if load, known := c.reportState.freshLoad(now); known {
		return load
	}
	if c.rampProgress == fullRampProgress || c.reportState.unanswered.Load() != 0 {
		return t.average
	}
	return uint32(uint64(t.average) * uint64(c.rampProgress) / fullRampProgress)
}

func usable(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	return ip.Is4() && !ip.IsUnspecified() && a.Port() != 0
}

func (c *candidate) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(c.ip), c.port)
}

func (c *candidate) ref() TargetRef {
	return TargetRef{Number: c.number, Incarnation: c.incarnation, Address: c.address()}
}
