package routing

import "time"

// input is what a table was built from that changes by itself.
type input struct {
	cell *cell
	// flags are those of the cell's report, 0 without a fresh one.
	flags uint64
}

// flags returns the flags of the last report, 0 if it is stale.
func (c *cell) flags(now time.Duration) uint64 {
	packed := c.report.Load()
	if packed&packedKnown == 0 || ageOf(packed, now) > MaxReportAge {
		return 0
	}
	return packed & (packedKnown | packedDraining | packedIll)
}

// Refresh returns what NewTable would make at a later time of the same policy,
// targets and loads. It is t itself if nothing has changed, and shares the
// candidates with t if only load figures have. It reports false if the table has
// to be made anew: a target is on its ramp, or its agent tells of another state.
func (t *Table) Refresh(now time.Duration) (*Table, bool) {
	if t.ramping {
		return nil, false
	}
	for i := range t.inputs {
		if in := &t.inputs[i]; in.cell.flags(now) != in.flags {
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
