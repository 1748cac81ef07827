package stall

import "time"

// SuspendDetector detects that the machine was suspended: the wall clock counts that time,
// the monotonic clock does not. A forward step of the wall clock looks the same, and a
// backward step may hide a suspension, so a detection should cause no more than a delay.
type SuspendDetector struct {
	// Threshold is how far the wall clock may advance beyond the monotonic clock between
	// two observations, as when it is slewed.
	Threshold time.Duration

	observed bool
	// ahead is the wall clock minus the monotonic clock at the last observation.
	ahead time.Duration
}

// Observe records both clocks, each with an origin of its own. It returns how far the wall
// clock has advanced beyond the monotonic clock since the last observation, 0 if by no
// more than Threshold.
func (d *SuspendDetector) Observe(monotonic, wall time.Duration) time.Duration {
	ahead := wall - monotonic
	gap := ahead - d.ahead
	first := !d.observed
	d.observed, d.ahead = true, ahead
	if first || gap <= d.Threshold {
		return 0
	}
	return gap
}
