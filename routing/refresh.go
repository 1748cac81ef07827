package routing

import "time"

// tableInput is the state of a target from which a table was built.
type tableInput struct {
	reportState *reportState
	// reportFlags are the flags of a fresh report, 0 without one.
	reportFlags uint64
}

// reportFlags returns the flags of the last report, 0 if it is stale.
func (s *reportState) reportFlags(now time.Duration) uint64 {
	packed := s.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxReportAge {
		return 0
	}
	return packed & (packedKnown | packedDraining | packedUnhealthy)
}

// Refresh returns the table that NewTable would build now from the same policy, targets
// and reports. It returns t itself if nothing changed, and shares the candidates with t
// if only loads changed. It returns false if the table must be rebuilt: a target is on
// its ramp, or a report has other flags.
func (t *Table) Refresh(now time.Duration) (*Table, bool) {
	if t.ramping {
		return nil, false
	}
	for i := range t.inputs {
		if in := &t.inputs[i]; in.reportState.reportFlags(now) != in.reportFlags {
			return nil, false
		}
	}
	average := t.averageLoad(now)
	if average == t.average {
		return t, true
	}
	next := *t
	next.average = average
	return &next, true
}
