package loadgen

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WindowStats is the latency and the broken flows of one time window.
type WindowStats struct {
	// P50 and P99 are the latencies of the requests answered in the window, in
	// milliseconds from their scheduled time; NaN without an answered request.
	P50, P99 float64
	// BrokenFlows is the number of flows that broke in the window.
	BrokenFlows int
}

// timeline computes the stats of each window. Time never goes back, so one histogram
// serves all windows.
type timeline struct {
	window  time.Duration
	latency *hdrhistogram.Histogram
	stats   []WindowStats
}

func newTimeline(window time.Duration) *timeline {
	if window <= 0 {
		window = DefaultWindow
	}
	return &timeline{window: window, latency: newLatencies()}
}

func (t *timeline) answered(since, latency time.Duration) {
	t.statsAt(since)
	// Deadlines are far below the highest latency, so this cannot fail.
	_ = t.latency.RecordValue(max(lowestLatency, latency.Microseconds()))
}

func (t *timeline) broken(since time.Duration) {
	t.statsAt(since).BrokenFlows++
}

// statsAt returns the stats of the window at a time since the start, and closes the
// windows before it.
func (t *timeline) statsAt(since time.Duration) *WindowStats {
	for len(t.stats) <= int(since/t.window) {
		t.close()
		t.stats = append(t.stats, WindowStats{P50: math.NaN(), P99: math.NaN()})
	}
	return &t.stats[len(t.stats)-1]
}

// close stores the percentiles of the last window and resets the histogram.
func (t *timeline) close() {
	if len(t.stats) == 0 {
		return
	}
	t.percentiles(&t.stats[len(t.stats)-1])
	t.latency.Reset()
}

func (t *timeline) percentiles(m *WindowStats) {
	if t.latency.TotalCount() == 0 {
		return
	}
	m.P50 = float64(t.latency.ValueAtPercentile(50)) / 1000
	m.P99 = float64(t.latency.ValueAtPercentile(99)) / 1000
}

// snapshot returns a copy of the stats, with the percentiles of the last window so far.
func (t *timeline) snapshot() []WindowStats {
	out := slices.Clone(t.stats)
	if len(out) > 0 {
		t.percentiles(&out[len(out)-1])
	}
	return out
}
