package experiment

import (
	"math"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

const imbalanceQuantile = 0.99

// targetSpan is a period in which a target was in service, in time since the start
// of the load. to is 0 for a period until the end of the run.
type targetSpan struct {
	target   string
	from, to time.Duration
}

// covers reports whether the target was in service for a complete window.
func (s targetSpan) covers(from, to time.Duration) bool {
	return s.from <= from && (s.to == 0 || s.to >= to)
}

// targetSpans holds the periods in service of the targets of one service.
type targetSpans []targetSpan

// add starts a period of a target.
func (spans *targetSpans) add(target string, at time.Duration) {
	*spans = append(*spans, targetSpan{target: target, from: at})
}

// end ends the current period of a target.
func (spans targetSpans) end(target string, at time.Duration) {
	for i := range spans {
		if spans[i].target == target && spans[i].to == 0 {
			spans[i].to = at
		}
	}
}

// inService returns the targets that were in service for a complete window.
func (spans targetSpans) inService(from, to time.Duration) []string {
	var targets []string
	for _, s := range spans {
		if s.covers(from, to) {
			targets = append(targets, s.target)
		}
	}
	return targets
}

// firstColdStart returns the first complete step after the first cold start, if
// there is one.
func (spans targetSpans) firstColdStart() (int, bool) {
	first, found := 0, false
	for _, s := range spans {
		startStep := int((s.from + stepLength - 1) / stepLength)
		if s.from > 0 && (!found || startStep < first) {
			first, found = startStep, true
		}
	}
	return first, found
}

// since returns the periods that end after start, with times relative to start.
func (spans targetSpans) since(start time.Duration) targetSpans {
	var later targetSpans
	for _, s := range spans {
		switch {
		case s.to == 0:
			later = append(later, targetSpan{target: s.target, from: s.from - start})
		case s.to > start:
			later = append(later, targetSpan{target: s.target, from: s.from - start, to: s.to - start})
		}
	}
	return later
}

// sumWindows adds up the responses of steps to windows. The last window may be
// shorter.
func sumWindows(steps []map[string]int) []map[string]int {
	var windows []map[string]int
	for chunk := range slices.Chunk(steps, stepsPerWindow) {
		sum := map[string]int{}
		for _, s := range chunk {
			for target, n := range s {
				sum[target] += n
			}
		}
		windows = append(windows, sum)
	}
	return windows
}

// imbalance returns the imbalance as defined in the package comment.
func imbalance(windows []map[string]int, length time.Duration, spans targetSpans) loadgen.Imbalance {
	var values []float64
	for _, value := range windowImbalances(windows, length, spans) {
		if !math.IsNaN(value) {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return loadgen.Imbalance{}
	}
	total := 0.0
	for _, r := range values {
		total += r
	}
	slices.Sort(values)
	return loadgen.Imbalance{
		Overall: total / float64(len(values)),
		// Nearest rank.
		P99:     values[int(math.Ceil(imbalanceQuantile*float64(len(values))))-1],
		Windows: len(values),
	}
}

// windowImbalances returns the imbalance of each window, NaN for those left out.
func windowImbalances(windows []map[string]int, length time.Duration, spans targetSpans) []float64 {
	imbalances := make([]float64, len(windows))
	for i, w := range windows {
		from := time.Duration(i) * length
		value, ok := windowImbalance(w, spans.inService(from, from+length))
		if !ok {
			value = math.NaN()
		}
		imbalances[i] = value
	}
	return imbalances
}

// stepImbalances returns the imbalance of the window of each step.
func stepImbalances(windows []map[string]int, spans targetSpans) []float64 {
	var imbalances []float64
	for _, value := range windowImbalances(windows, windowLength, spans) {
		imbalances = append(imbalances, slices.Repeat([]float64{value}, stepsPerWindow)...)
	}
	return imbalances
}

// windowImbalance returns the imbalance of a window, and false if it is left out.
func windowImbalance(window map[string]int, targets []string) (float64, bool) {
	highest, total := 0, 0
	for _, target := range targets {
		highest = max(highest, window[target])
		total += window[target]
	}
	if total < loadgen.MinAnsweredPerTarget*max(len(targets), 1) {
		return 0, false
	}
	return float64(highest) * float64(len(targets)) / float64(total), true
}
