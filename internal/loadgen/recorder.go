package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in microseconds, from 1 µs to 10 minutes, with
	// three significant digits.
	lowestLatency   = 1
	highestLatency  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits   = 3
	maxRecordedKeys = 1 << 20
)

// keyFate is what the caller was told last of a non-repeatable request.
type keyFate struct {
	key string
	// told is the class; an answer that is itself an error tells nothing
	// about the run and counts as unknown.
	told Class
}

// recorder gathers what happens in a run.
type recorder struct {
	opts  Options
	start time.Time

	mu        sync.Mutex
	requests  int
	retries   map[string]int
	retryUsed int
	denied    int
	outcomes  map[string]int
	latency   *hdrhistogram.Histogram
	fates     []keyFate

	flows        int
	broken       map[string]int
	opened       int
	held         int
	events       int
	lostSessions map[string]int
	// Ended with the host of their target.
	flowsWithHost    int
	sessionsWithHost int
	refused          map[string]int
	perTarget        map[string]int
	sessionsAt       map[string]int
	windows          map[int64]map[string]int
	timeline         *timeline
	misrouted        int
	wrong            int
}

func newRecorder(o Options) *recorder {
	return &recorder{
		opts:         o,
		start:        time.Now(),
		retries:      map[string]int{},
		outcomes:     map[string]int{},
		latency:      newLatencies(),
		broken:       map[string]int{},
		lostSessions: map[string]int{},
		refused:      map[string]int{},
		perTarget:    map[string]int{},
		sessionsAt:   map[string]int{},
		windows:      map[int64]map[string]int{},
		timeline:     newTimeline(o.Window),
	}
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// finished records the final outcome of a request.
func (r *recorder) finished(q request, out outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.outcomes[out.String()]++
	r.countSpecial(out)
	if q.nonRepeatable && len(r.fates) < maxRecordedKeys {
		r.fates = append(r.fates, keyFate{key: q.key(&r.opts), told: told(out)})
	}
	if out.class != ClassAnswered {
		return
	}
	// Out of range cannot happen: deadlines are far shorter.
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

func told(out outcome) Class {
	if out.class == ClassAnswered && out.reason != "" {
		return ClassUnknown
	}
	return out.class
}

// countSpecial counts what must never happen. The lock is held.
func (r *recorder) countSpecial(out outcome) {
	switch out.reason {
	case reasonCertificate, reasonWrongTarget:
		r.misrouted++
	case reasonWrongAnswer:
		r.wrong++
	}
}

// takeRetry takes one retry from the budget, if there is one left.
func (r *recorder) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := freeRetries + (r.requests+1)*r.opts.RetryPercent/100
	if r.retryUsed >= budget {
		r.denied++
		return false
	}
	r.retryUsed++
	return true
}

func (r *recorder) retried(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries[out.String()]++
	r.countSpecial(out)
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
	r.flowsWithHost++
}

func (r *recorder) sessionLostWithHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessionsWithHost++
}

func (r *recorder) sessionOpened(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened++
	r.held++
	if name := targetName(out.target); name != "" {
		r.sessionsAt[name]++
	}
}

func (r *recorder) sessionEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held--
}

func (r *recorder) sessionBroken(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostSessions[reason]++
}

func (r *recorder) sessionRefused(out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[out.String()]++
	r.countSpecial(out)
}

func (r *recorder) event() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
}
