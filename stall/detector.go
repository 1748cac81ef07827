package stall

import "time"

// Detector notices standstills of its own process as gaps between looks at the
// clock. The process has to look far more often than Bound.
type Detector struct {
	// Threshold is the longest time between two looks of a process that runs.
	Threshold time.Duration
	// Grace is the time after a standstill within which everything that waited
	// for the process is read.
	Grace time.Duration

	looked bool
	last   time.Duration
	// ended is the time of the first look after the last standstill.
	stood bool
	ended time.Duration
}

// Observe records that the process runs. If it stood still since the last look,
// it returns for how long, otherwise 0. Looks may be recorded out of order.
func (d *Detector) Observe(now time.Duration) time.Duration {
	gap := now - d.last
	if !d.looked {
		d.looked = true
		d.last = now
		return 0
	}
	d.last = max(d.last, now)
	if gap <= d.Threshold {
		return 0
	}
	d.stood = true
	d.ended = now
	return gap
}

// MayHaveWaited reports whether a request may have been sent before the end of a
// standstill. It arrived, as the process saw it, at a time; its connection was
// opened by this process at another, before its sender could send anything on
// it. Both times are of looks that were recorded; a look has to be recorded
// right before this is asked.
func (d *Detector) MayHaveWaited(opened, arrived time.Duration) bool {
	if !d.stood {
		return false
	}
	if arrived < d.ended {
		return true
	}
	return opened < d.ended && arrived-d.ended < d.Grace
}
