package loadgen

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WindowStats is what the callers saw in one window of time.
type WindowStats struct {
	// P50 and P99 are of the requests answered in the window, in
	// milliseconds from their scheduled time; NaN without an answer.
	P50, P99 float64
	// BrokenFlows were found broken in the window.
	BrokenFlows int
}

// timeline sums up one window after the other. Time does not go back, so that
// one histogram serves all windows: a long run has thousands.
type timeline struct {
	window  time.Duration
	latency *hdrhistogram.Histogram
	moments []WindowStats
}

func newTimeline(window time.Duration) *timeline {
	if window <= 0 {
		window = DefaultWindow
	}
	return &timeline{window: window, latency: newLatencies()}
}

func (t *timeline) answered(since, latency time.Duration) {
	t.at(since)
	// Out of range cannot happen: deadlines are far shorter.
	_ = t.latency.RecordValue(max(lowestLatency, latency.Microseconds()))
}

func (t *timeline) broken(since time.Duration) {
	t.at(since).BrokenFlows++
}

// at returns the window of that time since the start, and closes the ones
// before it.
func (t *timeline) at(since time.Duration) *WindowStats {
	for len(t.moments) <= int(since/t.window) {
		t.close()
		t.moments = append(t.moments, WindowStats{P50: math.NaN(), P99: math.NaN()})
	}
	return &t.moments[len(t.moments)-1]
}

// close writes the percentiles of the last window.
func (t *timeline) close() {
	if len(t.moments) == 0 {
		return
	}
	t.percentiles(&t.moments[len(t.moments)-1])
	t.latency.Reset()
}

func (t *timeline) percentiles(m *WindowStats) {
	if t.latency.TotalCount() == 0 {
		return
	}
	m.P50 = float64(t.latency.ValueAtPercentile(50)) / 1000
	m.P99 = float64(t.latency.ValueAtPercentile(99)) / 1000
}

// all returns a copy of the windows, the last one as far as it has come: a run
// reports more than once.
func (t *timeline) all() []WindowStats {
	out := slices.Clone(t.moments)
	if len(out) > 0 {
		t.percentiles(&out[len(out)-1])
	}
	return out
}
