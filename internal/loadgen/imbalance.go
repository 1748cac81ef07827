package loadgen

import (
	"maps"
	"math"
	"slices"
)

// Imbalance of the requests over targets; 1 is even, 0 means not known.
type Imbalance struct {
	// Overall is the imbalance of the whole run.
	Overall float64 `json:"overall"`
	// P99 is the 99th percentile over windows of time.
	P99 float64 `json:"p99"`
	// Windows that had enough answers to count.
	Windows int `json:"windows"`
}

const percentile = 0.99

// imbalance computes the measure that the package comment defines.
func imbalance(total map[string]int, windows []map[string]int, targets []string) Imbalance {
	out := Imbalance{Overall: maxOverMean(total, targets)}
	var ratios []float64
	for _, w := range windows {
		if ratio, ok := ratioOf(w, targets); ok {
			ratios = append(ratios, ratio)
		}
	}
	out.Windows = len(ratios)
	if len(ratios) > 0 {
		slices.Sort(ratios)
		// Nearest rank.
		out.P99 = ratios[int(math.Ceil(percentile*float64(len(ratios))))-1]
	}
	return out
}

// ratioOf is the imbalance of one window, if it counts.
func ratioOf(w map[string]int, targets []string) (float64, bool) {
	if len(targets) == 0 || sum(w) < MinAnsweredPerTarget*len(targets) {
		return 0, false
	}
	return maxOverMean(w, targets), true
}

func maxOverMean(counts map[string]int, targets []string) float64 {
	greatest, total := 0, 0
	for _, t := range targets {
		greatest = max(greatest, counts[t])
		total += counts[t]
	}
	if total == 0 {
		return 0
	}
	return float64(greatest) * float64(len(targets)) / float64(total)
}

// allTargets joins the named targets and the ones that answered.
func allTargets(named []string, answered map[string]int) []string {
	set := map[string]bool{}
	for _, t := range named {
		set[t] = true
	}
	for t := range answered {
		set[t] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// orderedWindows lays the windows out by time, empty ones too.
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
