package flow

import "time"

const (
	// stallThreshold is the longest time between two clock observations of a running
	// host. Probes must not time out while replies are unread.
	stallThreshold = probeTimeout
	// maxSettleTime bounds the time without resets after a stall, which covers reconnecting
	// and receiving the missed updates. An earlier reset could end flows that were opened
	// through other hosts meanwhile.
	maxSettleTime = 500 * time.Millisecond
)

// ObserveClock records that the process runs. Once called, it has to be called far more
// often than every 150 ms. It returns the longest stall since the last call, 0 if there
// was none.
func (e *Entry) ObserveClock(now time.Duration) time.Duration {
	e.clockObserved = true
	e.detectStall(now)
	longest := e.longestStall
	e.longestStall = 0
	return longest
}

// detectStall records a stall that has just ended.
func (e *Entry) detectStall(now time.Duration) {
	if gap := e.stalls.Observe(now); gap > 0 {
		e.ReportStall(now, gap)
	}
}

// ReportStall records a stall until now that the monotonic clock does not show: the
// machine was suspended.
func (e *Entry) ReportStall(now, gap time.Duration) {
	e.longestStall = max(e.longestStall, gap)
	e.resetsAllowedAt = max(e.resetsAllowedAt, now+min(gap, maxSettleTime))
}

// MayReset reports whether flows may be reset, which is not the case right after a stall.
// It observes the clock first, since the current packet may be the first one after it.
func (e *Entry) MayReset(now time.Duration) bool {
	if e.clockObserved {
		e.detectStall(now)
	}
	return now >= e.resetsAllowedAt
}
