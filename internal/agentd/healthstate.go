package agentd

import (
	"sync"

	"eelgrasswharf.example/eelgrasswharf/health"
)

// healthState guards the tracker of the backend server.
type healthState struct {
	clock clock

	mu       sync.Mutex
	tracker  *health.Tracker
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

// observe records a result apart from the start of a request, for an answer
// that failed after its header had counted.
func (h *healthState) observe(result health.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RequestStarted(h.clock.now())
	h.tracker.RequestEnded(h.clock.now(), result)
}

// report records a poll of both endpoints. running is negative when the load
// endpoint gave no figure.
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
