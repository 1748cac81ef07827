package agentd

import (
	"sync"

	"eelgrasswharf.example/eelgrasswharf/health"
)

// healthState wraps the health tracker with a lock and a clock.
type healthState struct {
	clock clock

	mu      sync.Mutex
	tracker *health.Tracker
	// reported is the number of running requests that the backend server last
	// reported, negative if unknown.
	reported int
}

func newHealthState(clock clock) *healthState {
	return &healthState{clock: clock, tracker: health.NewTracker(), reported: -1}
}

func (h *healthState) started() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RequestStarted(h.clock.now())
}

func (h *healthState) ended(result health.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RequestEnded(h.clock.now(), result)
}

// observe records a failure after the response header was counted as a success.
func (h *healthState) observe(result health.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RequestStarted(h.clock.now())
	h.tracker.RequestEnded(h.clock.now(), result)
}

// report records a poll of both endpoints. running is negative if unknown.
func (h *healthState) report(report health.Report, running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.ReportReceived(h.clock.now(), report)
	h.reported = running
}

func (h *healthState) verdict() (verdict health.Verdict, reportedRunning int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Verdict(h.clock.now()), h.reported
}
