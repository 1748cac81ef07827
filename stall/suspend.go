package stall

import "time"

// SuspendDetector notices that the machine was suspended: the steady clock of its processes does
// not count that time, its time of day does. A step of the time of day ahead looks the
// same, and one back at the same moment may hide a suspension, so nothing may rest on
// this but that the process waits for a moment.
type SuspendDetector struct {
	// Threshold is the most that the time of day runs ahead of the steady clock between two
	// looks, as when it is being corrected slowly.
	Threshold time.Duration

	looked bool
	ahead  time.Duration
}

// Observe records the steady clock and the time of day, each since any origin of its own. It
// returns by how much the time of day has run ahead since the last look, 0 if by no more
// than Bound.
func (c *SuspendDetector) Observe(steady, ofDay time.Duration) time.Duration {
	ahead := ofDay - steady
	gap := ahead - c.ahead
	first := !c.looked
	c.looked, c.ahead = true, ahead
	if first || gap <= c.Threshold {
		return 0
	}
	return gap
}
