package health

import "time"

const (
	// Window is the time that an observation counts.
	Window = 5 * time.Second
	// buckets divide the window.
	buckets = 10
	// MinSamples is the number of ended requests from which observation
	// alone decides.
	MinSamples = 5
	// FailurePercent is the share of failed requests from which the backend
	// server is ill.
	FailurePercent = 50
	// RefusedThreshold is the number of refused connections, with no success in
	// between, after which the backend server is ill whatever else is known.
	RefusedThreshold = 3
	// ReportThreshold is the number of equal bad reports that are believed.
	ReportThreshold = 3
	// MaxReportOnlyTime is the longest time that reports alone hold a verdict of
	// ill; then the backend server gets work again, which shows the truth.
	MaxReportOnlyTime = 10 * time.Second
	// InitialHoldDown and HoldMax bound the time for which an observed illness is
	// held; it doubles with each illness that follows soon on another.
	InitialHoldDown = 2 * time.Second
	MaxHoldDown     = 30 * time.Second
	// StallTimeout is the time without any end of a request, while requests are
	// in flight and the health endpoint hangs, after which the server is ill.
	StallTimeout = 5 * time.Second
)

// Result is how one request at the backend server ended.
type Result uint8

// Results of requests.
const (
	// Answered means that a whole answer came, whatever its status.
	Answered Result = iota + 1
	// Refused means that no connection could be opened.
	Refused
	// Failed means a reset, a truncated or a crossed answer.
	Failed
	// TimedOut means that the deadline passed first.
	TimedOut
	// Cancelled means that the caller gave up; it says nothing.
	Cancelled
)

// Report is what a poll of the health endpoint brought.
type Report uint8

// Reports of the health endpoint.
const (
	ReportHealthy Report = iota + 1
	ReportUnhealthy
	// ReportNoResponse means that the endpoint did not answer in time.
	ReportNoResponse
)

// Basis names what a verdict rests on.
type Basis uint8

// Bases of a verdict.
const (
	BasisNone Basis = iota
	BasisObservation
	BasisReport
	// BasisStall means that observation and a hanging endpoint agree.
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

// Verdict is the opinion on the backend server.
type Verdict struct {
	Ill   bool
	Basis Basis
}

type bucket struct {
	epoch  int64
	good   int
	failed int
}

// Tracker collects observations and reports on one backend server.
type Tracker struct {
	ring     [buckets]bucket
	inFlight int
	lastEnd  time.Duration

	refusedRow int
	heldUntil  time.Duration
	hold       time.Duration

	report        Report
	reportRow     int
	reportSince   time.Duration
	reportRefuted bool
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{}
}

// RequestStarted records that a request was handed to the backend server.
func (t *Tracker) RequestStarted(now time.Duration) {
	if t.inFlight == 0 {
		t.lastEnd = now
	}
	t.inFlight++
}

// RequestEnded records how a request ended.
func (t *Tracker) RequestEnded(now time.Duration, result Result) {
	t.inFlight = max(t.inFlight-1, 0)
	if result == Cancelled {
		return
	}
	t.lastEnd = now
	b := t.at(now)
	if result == Answered {
		b.good++
		t.refusedRow = 0
	} else {
		b.failed++
	}
	if result == Refused {
		t.refusedRow++
	}
	t.judgeObservation(now)
}

// ReportReceived records a poll of the health endpoint.
func (t *Tracker) ReportReceived(now time.Duration, report Report) {
	if report == t.report {
		t.reportRow++
		return
	}
	t.report = report
	t.reportRow = 1
	t.reportSince = now
	t.reportRefuted = false
}

// Verdict returns the opinion at this time.
func (t *Tracker) Verdict(now time.Duration) Verdict {
	if now < t.heldUntil {
		return Verdict{Ill: true, Basis: BasisObservation}
	}
	if t.stalled(now) {
		return Verdict{Ill: true, Basis: BasisStall}
	}
	good, failed := t.sum(now)
	if good+failed >= MinSamples {
		t.refute(good, failed)
		return Verdict{Ill: sick(good, failed), Basis: BasisObservation}
	}
	return t.reportVerdict(now)
}

// InFlight returns the number of requests that the backend server has.
func (t *Tracker) InFlight() int {
	return t.inFlight
}

// reportVerdict decides on reports alone, where there are few observations.
func (t *Tracker) reportVerdict(now time.Duration) Verdict {
	bad := t.report == ReportUnhealthy || t.report == ReportNoResponse
	if !bad || t.reportRefuted || t.reportRow < ReportThreshold {
		return Verdict{}
	}
	if now-t.reportSince > MaxReportOnlyTime {
		return Verdict{}
	}
	return Verdict{Ill: true, Basis: BasisReport}
}

// refute marks a bad report as contradicted by observation, until it changes.
func (t *Tracker) refute(good, failed int) {
	if !sick(good, failed) && t.report != ReportHealthy {
		t.reportRefuted = true
	}
}

// judgeObservation starts or prolongs the hold of an observed illness.
func (t *Tracker) judgeObservation(now time.Duration) {
	good, failed := t.sum(now)
	ill := t.refusedRow >= RefusedThreshold || (good+failed >= MinSamples && sick(good, failed))
	if !ill || now < t.heldUntil {
		return
	}
	soon := t.hold > 0 && now-t.heldUntil < Window
	if soon {
		t.hold = min(2*t.hold, MaxHoldDown)
	} else {
		t.hold = InitialHoldDown
	}
	t.heldUntil = now + t.hold
}

func (t *Tracker) stalled(now time.Duration) bool {
	return t.inFlight > 0 && t.report == ReportNoResponse && t.reportRow >= ReportThreshold && now-t.lastEnd >= StallTimeout
}

func sick(good, failed int) bool {
	return failed*100 >= (good+failed)*FailurePercent
}

func epochOf(now time.Duration) int64 {
	return int64(now / (Window / buckets))
}

func (t *Tracker) at(now time.Duration) *bucket {
	epoch := epochOf(now)
	b := &t.ring[epoch%buckets]
	if b.epoch != epoch {
		*b = bucket{epoch: epoch}
	}
	return b
}

func (t *Tracker) sum(now time.Duration) (good, failed int) {
	epoch := epochOf(now)
	for _, b := range t.ring {
		if epoch-b.epoch < buckets {
			good += b.good
			failed += b.failed
		}
	}
	return good, failed
}
