package health

import "time"

const (
	// Window is the time for which an observation counts.
	Window = 5 * time.Second
	// buckets divide the window.
	buckets = 10
	// MinSamples is the number of completed requests in the window from which
	// observation alone decides.
	MinSamples = 5
	// FailurePercent is the failure rate from which the backend server is
	// unhealthy.
	FailurePercent = 50
	// RefusedThreshold is the number of refused connections without a response in
	// between from which the backend server is unhealthy at any failure rate.
	RefusedThreshold = 3
	// ReportThreshold is the number of consecutive equal bad reports that count.
	ReportThreshold = 3
	// MaxReportOnlyTime is the longest time for which reports alone mark the backend
	// server unhealthy. Afterwards it gets requests again, which can be observed.
	MaxReportOnlyTime = 10 * time.Second
	// InitialHoldDown and MaxHoldDown bound the time for which an observed failure
	// marks the backend server unhealthy. It doubles while failures recur.
	InitialHoldDown = 2 * time.Second
	MaxHoldDown     = 30 * time.Second
	// StallTimeout is the time without a completed request from which the backend
	// server is unhealthy if requests are in flight and the health endpoint hangs.
	StallTimeout = 5 * time.Second
)

// Result is how one request at the backend server ended.
type Result uint8

// Results of requests.
const (
	// Answered means that a complete response was received.
	Answered Result = iota + 1
	// Refused means that no connection could be opened.
	Refused
	// Failed means a reset, a server error, or a truncated or mismatched response.
	Failed
	// TimedOut means that the deadline passed first.
	TimedOut
	// Cancelled means that the caller cancelled the request. It does not count.
	Cancelled
)

// Report is the result of a poll of the health endpoint.
type Report uint8

// Reports of the health endpoint.
const (
	ReportHealthy Report = iota + 1
	ReportUnhealthy
	// ReportNoResponse means that the endpoint did not respond in time.
	ReportNoResponse
)

// Basis is the evidence for a verdict.
type Basis uint8

// Bases of a verdict.
const (
	BasisNone Basis = iota
	BasisObservation
	BasisReport
	// BasisStall means that neither requests nor polls of the health endpoint
	// complete.
	BasisStall
)

// String returns the name of the basis.
func (b Basis) String() string {
	switch b {
	case BasisObservation:
		return "observation"
	case BasisReport:
		return "report"
	case BasisStall:
		return "stall"
	default:
		return "nothing"
	}
}

// Verdict is the assessed health of the backend server.
type Verdict struct {
	Ill   bool
	Basis Basis
}

type bucket struct {
	epoch     int64
	succeeded int
	failed    int
}

// Tracker derives the health of one backend server from observations and reports.
type Tracker struct {
	ring     [buckets]bucket
	inFlight int
	lastEnd  time.Duration

	consecutiveRefused int
	unhealthyUntil     time.Duration
	holdDown           time.Duration

	report             Report
	consecutiveReports int
	reportSince        time.Duration
	reportContradicted bool
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{}
}

// RequestStarted records that a request is sent to the backend server.
func (t *Tracker) RequestStarted(now time.Duration) {
	if t.inFlight == 0 {
		t.lastEnd = now
	}
	t.inFlight++
}

// RequestEnded records the result of a request.
func (t *Tracker) RequestEnded(now time.Duration, result Result) {
	t.inFlight = max(t.inFlight-1, 0)
	if result == Cancelled {
		return
	}
	t.lastEnd = now
	b := t.currentBucket(now)
	if result == Answered {
		b.succeeded++
		t.consecutiveRefused = 0
	} else {
		b.failed++
	}
	if result == Refused {
		t.consecutiveRefused++
	}
	t.updateHoldDown(now)
}

// ReportReceived records a poll of the health endpoint.
func (t *Tracker) ReportReceived(now time.Duration, report Report) {
	if report == t.report {
		t.consecutiveReports++
		return
	}
	t.report = report
	t.consecutiveReports = 1
	t.reportSince = now
	t.reportContradicted = false
}

// Verdict returns the current verdict.
func (t *Tracker) Verdict(now time.Duration) Verdict {
	if now < t.unhealthyUntil {
		return Verdict{Ill: true, Basis: BasisObservation}
	}
	if t.stalled(now) {
		return Verdict{Ill: true, Basis: BasisStall}
	}
	succeeded, failed := t.windowCounts(now)
	if succeeded+failed >= MinSamples {
		t.checkContradiction(succeeded, failed)
		return Verdict{Ill: exceedsFailureRate(succeeded, failed), Basis: BasisObservation}
	}
	return t.reportVerdict(now)
}

// InFlight returns the number of requests at the backend server.
func (t *Tracker) InFlight() int {
	return t.inFlight
}

// reportVerdict decides on reports alone, when there are too few observations.
func (t *Tracker) reportVerdict(now time.Duration) Verdict {
	bad := t.report == ReportUnhealthy || t.report == ReportNoResponse
	if !bad || t.reportContradicted || t.consecutiveReports < ReportThreshold {
		return Verdict{}
	}
	if now-t.reportSince > MaxReportOnlyTime {
		return Verdict{}
	}
	return Verdict{Ill: true, Basis: BasisReport}
}

// checkContradiction ignores a bad report that observations contradict until the
// report changes.
func (t *Tracker) checkContradiction(succeeded, failed int) {
	if !exceedsFailureRate(succeeded, failed) && t.report != ReportHealthy {
		t.reportContradicted = true
	}
}

// updateHoldDown starts a hold-down if the observations exceed a threshold.
func (t *Tracker) updateHoldDown(now time.Duration) {
	succeeded, failed := t.windowCounts(now)
	failing := t.consecutiveRefused >= RefusedThreshold || (succeeded+failed >= MinSamples && exceedsFailureRate(succeeded, failed))
	if !failing || now < t.unhealthyUntil {
		return
	}
	recurring := t.holdDown > 0 && now-t.unhealthyUntil < Window
	if recurring {
		t.holdDown = min(2*t.holdDown, MaxHoldDown)
	} else {
		t.holdDown = InitialHoldDown
	}
	t.unhealthyUntil = now + t.holdDown
}

func (t *Tracker) stalled(now time.Duration) bool {
	return t.inFlight > 0 && t.report == ReportNoResponse && t.consecutiveReports >= ReportThreshold && now-t.lastEnd >= StallTimeout
}

func exceedsFailureRate(succeeded, failed int) bool {
	return failed*100 >= (succeeded+failed)*FailurePercent
}

func epochOf(now time.Duration) int64 {
	return int64(now / (Window / buckets))
}

func (t *Tracker) currentBucket(now time.Duration) *bucket {
	epoch := epochOf(now)
	b := &t.ring[epoch%buckets]
	if b.epoch != epoch {
		*b = bucket{epoch: epoch}
	}
	return b
}

func (t *Tracker) windowCounts(now time.Duration) (succeeded, failed int) {
	epoch := epochOf(now)
	for _, b := range t.ring {
		if epoch-b.epoch < buckets {
			succeeded += b.succeeded
			failed += b.failed
		}
	}
	return succeeded, failed
}
