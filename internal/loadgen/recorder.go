package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are in microseconds.
	lowestLatency   = 1
	highestLatency  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits   = 3
	maxRecordedKeys = 1 << 20
)

// keyOutcome is the outcome of a non-repeatable request as its caller observes it.
type keyOutcome struct {
	key string
	// lastClass is the class of the last outcome. A response with an error status or
	// from a wrong target counts as unknown.
	lastClass Class
}

// recorder collects the measurements of a run.
type recorder struct {
	opts  Options
	start time.Time

	mu            sync.Mutex
	requests      int
	retries       map[string]int
	retriesUsed   int
	retriesDenied int
	outcomes      map[string]int
	latency       *hdrhistogram.Histogram
	keyOutcomes   []keyOutcome

	flows                int
	broken               map[string]int
	sessions             int
	openSessions         int
	events               int
	brokenSessions       map[string]int
	flowsLostWithHost    int
	sessionsLostWithHost int
	refusedSessions      map[string]int
	perTarget            map[string]int
	sessionsPerTarget    map[string]int
	windows              map[int64]map[string]int
	timeline             *timeline
	misrouted            int
	wrongAnswers         int
}

func newRecorder(o Options) *recorder {
	return &recorder{
		opts:              o,
		start:             time.Now(),
		retries:           map[string]int{},
		outcomes:          map[string]int{},
		latency:           newLatencies(),
		broken:            map[string]int{},
		brokenSessions:    map[string]int{},
		refusedSessions:   map[string]int{},
		perTarget:         map[string]int{},
		sessionsPerTarget: map[string]int{},
		windows:           map[int64]map[string]int{},
		timeline:          newTimeline(o.Window),
	}
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// requestFinished records the final outcome and latency of a request.
func (r *recorder) requestFinished(q request, out outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.outcomes[out.String()]++
	r.countViolations(out)
	if q.nonRepeatable && len(r.keyOutcomes) < maxRecordedKeys {
		r.keyOutcomes = append(r.keyOutcomes, keyOutcome{key: q.key(&r.opts), lastClass: lastClass(out)})
	}
	if out.class != ClassAnswered {
		return
	}
	// Deadlines are far below the highest latency, so this cannot fail.
	_ = r.latency.RecordValue(max(lowestLatency, latency.Microseconds()))
	since := time.Since(r.start)
	r.timeline.answered(since, latency)
	if name := targetName(out.target); name != "" {
		r.perTarget[name]++
		window := int64(since / r.opts.Window)
		if r.windows[window] == nil {
			r.windows[window] = map[string]int{}
		}
		r.windows[window][name]++
	}
}

func lastClass(out outcome) Class {
	if out.class == ClassAnswered && out.reason != "" {
		return ClassUnknown
	}
	return out.class
}

// countViolations counts misrouted requests and wrong answers. The caller holds mu.
func (r *recorder) countViolations(out outcome) {
	switch out.reason {
	case reasonCertificate, reasonWrongTarget:
		r.misrouted++
	case reasonWrongResponse:
		r.wrongAnswers++
	}
}

// takeRetry takes one retry from the budget. It returns false if none is left.
func (r *recorder) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := retryBurst + (r.requests+1)*r.opts.RetryPercent/100
	if r.retriesUsed >= budget {
		r.retriesDenied++
		return false
	}
	r.retriesUsed++
	return true
}

func (r *recorder) requestRetried(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries[out.String()]++
	r.countViolations(out)
}

func (r *recorder) flowOpened() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows++
}

func (r *recorder) flowBroken(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[reason]++
	r.timeline.broken(time.Since(r.start))
}

func (r *recorder) flowLostWithHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flowsLostWithHost++
}

func (r *recorder) sessionLostWithHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionsLostWithHost++
}

func (r *recorder) sessionOpened(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions++
	r.openSessions++
	if name := targetName(out.target); name != "" {
		r.sessionsPerTarget[name]++
	}
}

func (r *recorder) sessionEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openSessions--
}

func (r *recorder) sessionBroken(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenSessions[reason]++
}

func (r *recorder) sessionRefused(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedSessions[out.String()]++
	r.countViolations(out)
}

func (r *recorder) eventReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
}
