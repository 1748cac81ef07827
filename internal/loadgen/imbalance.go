package loadgen

import (
	"maps"
	"math"
	"slices"
)

// Imbalance is the imbalance of answered requests over targets; 1 is even, 0 means not
// known.
type Imbalance struct {
	// Overall is the imbalance of the whole run.
	Overall float64 `json:"overall"`
	// P99 is the 99th percentile over time windows.
	P99 float64 `json:"p99"`
	// Windows is the number of windows with enough answered requests.
	Windows int `json:"windows"`
}

const percentile = 0.99

// imbalance computes the imbalance as the package comment defines it.
func imbalance(total map[string]int, windows []map[string]int, targets []string) Imbalance {
	out := Imbalance{Overall: maxOverMean(total, targets)}
	var ratios []float64
	for _, w := range windows {
		if ratio, ok := windowRatio(w, targets); ok {
			ratios = append(ratios, ratio)
		}
	}
	out.Windows = len(ratios)
	if len(ratios) > 0 {
		slices.Sort(ratios)
		// Nearest-rank percentile.
		out.P99 = ratios[int(math.Ceil(percentile*float64(len(ratios))))-1]
	}
	return out
}

// windowRatio returns the imbalance of one window, false with too few answered requests.
func windowRatio(w map[string]int, targets []string) (float64, bool) {
	if len(targets) == 0 || sumCounts(w) < MinAnsweredPerTarget*len(targets) {
		return 0, false
	}
	return maxOverMean(w, targets), true
}

func maxOverMean(counts map[string]int, targets []string) float64 {
	highest, total := 0, 0
	for _, t := range targets {
		highest = max(highest, counts[t])
		total += counts[t]
	}
	if total == 0 {
		return 0
	}
	return float64(highest) * float64(len(targets)) / float64(total)
}

// allTargets returns the sorted union of the configured targets and those that answered
// a request.
func allTargets(configured []string, answered map[string]int) []string {
	set := map[string]bool{}
	for _, t := range configured {
		set[t] = true
	}
	for t := range answered {
		set[t] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// orderedWindows returns the windows in order of time, with nil for empty ones.
func orderedWindows(byIndex map[int64]map[string]int) []map[string]int {
	if len(byIndex) == 0 {
		return nil
	}
	last := slices.Max(slices.Collect(maps.Keys(byIndex)))
	out := make([]map[string]int, last+1)
	for i, w := range byIndex {
		out[i] = w
	}
	return out
}
