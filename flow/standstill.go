package flow

import "time"

const (
	// standstill is the longest time between two looks at the clock of a host that runs:
	// a longer one would let doubtFor pass with the answers unread. The host looks every
	// 20 ms.
	standstill = doubtFor
	// settleMost bounds how long a host that stood still tells nobody that a flow is gone:
	// its link connects anew within two round trips between two regions, 160 ms, what has
	// changed follows within 100 ms, and this is twice both. Without it the host would reset
	// flows that opened through others meanwhile.
	settleMost = 500 * time.Millisecond
)

// ObserveClock records that the host runs. It has to be called far more often than every 150 ms
// from the first call on. It returns the longest standstill noticed since the last call,
// 0 if there was none.
func (e *Entry) ObserveClock(now time.Duration) time.Duration {
	e.looks = true
	e.notice(now)
	longest := e.stood
	e.stood = 0
	return longest
}

// notice takes in a standstill that has just ended.
func (e *Entry) notice(now time.Duration) {
	if gap := e.stalls.Observe(now); gap > 0 {
		e.ReportStall(now, gap)
	}
}

// ReportStall tells that the host stood still until now in a way that its clock does not
// show: its machine was suspended.
func (e *Entry) ReportStall(now, gap time.Duration) {
	e.stood = max(e.stood, gap)
	e.settled = max(e.settled, now+min(gap, settleMost))
}

// MayReset reports whether callers may be told that a flow is gone: not before what others
// told a host that stood still has been read. The packet that a decision is about may be
// what shows the standstill.
func (e *Entry) MayReset(now time.Duration) bool {
	if e.looks {
		e.notice(now)
	}
	return now >= e.settled
}
