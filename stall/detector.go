package stall

import "time"

// Detector detects stalls of its process as gaps between clock observations. The process
// has to observe the clock far more often than Threshold.
type Detector struct {
	// Threshold is the longest gap between two observations of a running process.
	Threshold time.Duration
	// Grace is the time after a stall within which all data that waited is read.
	Grace time.Duration

	observed bool
	last     time.Duration
	// stallEnd is the time of the first observation after the last stall, valid if stalled.
	stalled  bool
	stallEnd time.Duration
}

// Observe records that the process runs. It returns the length of a stall since the last
// observation, 0 if there was none. Times may be out of order.
func (d *Detector) Observe(now time.Duration) time.Duration {
	gap := now - d.last
	if !d.observed {
		d.observed = true
		d.last = now
		return 0
	}
	d.last = max(d.last, now)
	if gap <= d.Threshold {
		return 0
	}
	d.stalled = true
	d.stallEnd = now
	return gap
}

// MayHaveWaited reports whether a request may have been sent before the end of a stall.
// opened is when this process opened the request's connection, before anything was sent on
// it, arrived is when the request arrived. Both are observed times, and the last
// observation has to be recent.
func (d *Detector) MayHaveWaited(opened, arrived time.Duration) bool {
	if !d.stalled {
		return false
	}
	if arrived < d.stallEnd {
		return true
	}
	return opened < d.stallEnd && arrived-d.stallEnd < d.Grace
}
