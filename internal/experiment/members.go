package experiment

import (
	"math"
	"slices"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

const percentile = 0.99

// span is the time for which a target was in service, since the start of the
// load. An end of 0 means until the end of the run.
type span struct {
	target   string
	from, to time.Duration
}

// covers reports whether the target was in service for the whole of a window.
func (s span) covers(from, to time.Duration) bool {
	return s.from <= from && (s.to == 0 || s.to >= to)
}

// members are the targets of a service over time.
type members []span

// join puts a target into service.
func (m *members) join(target string, at time.Duration) {
	*m = append(*m, span{target: target, from: at})
}

// leave takes a target out of service.
func (m members) leave(target string, at time.Duration) {
	for i := range m {
		if m[i].target == target && m[i].to == 0 {
			m[i].to = at
		}
	}
}

// during returns the targets that were in service for the whole of a window.
func (m members) during(from, to time.Duration) []string {
	var targets []string
	for _, s := range m {
		if s.covers(from, to) {
			targets = append(targets, s.target)
		}
	}
	return targets
}

// firstStart returns the first whole step after the first cold start of the
// run, if there is one.
func (m members) firstStart() (int, bool) {
	first, found := 0, false
	for _, s := range m {
		at := int((s.from + step - 1) / step)
		if s.from > 0 && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}

// since returns the members that are left at a time of the run, with times
// that count from then on.
func (m members) since(start time.Duration) members {
	var left members
	for _, s := range m {
		switch {
		case s.to == 0:
			left = append(left, span{target: s.target, from: s.from - start})
		case s.to > start:
			left = append(left, span{target: s.target, from: s.from - start, to: s.to - start})
		}
	}
	return left
}

// joinSteps adds the answers of steps up to windows. The last one may be short.
func joinSteps(steps []map[string]int) []map[string]int {
	var windows []map[string]int
	for part := range slices.Chunk(steps, stepsPerWindow) {
		w := map[string]int{}
		for _, s := range part {
			for target, n := range s {
				w[target] += n
			}
		}
		windows = append(windows, w)
	}
	return windows
}

// imbalance is the measure that the package comment defines.
func imbalance(windows []map[string]int, length time.Duration, m members) loadgen.Imbalance {
	var ratios []float64
	for _, ratio := range ratiosOf(windows, length, m) {
		if !math.IsNaN(ratio) {
			ratios = append(ratios, ratio)
		}
	}
	if len(ratios) == 0 {
		return loadgen.Imbalance{}
	}
	total := 0.0
	for _, r := range ratios {
		total += r
	}
	slices.Sort(ratios)
	return loadgen.Imbalance{
		Overall: total / float64(len(ratios)),
		// Nearest rank.
		P99:     ratios[int(math.Ceil(percentile*float64(len(ratios))))-1],
		Windows: len(ratios),
	}
}

// ratiosOf is the imbalance of each window, NaN where it does not count.
func ratiosOf(windows []map[string]int, length time.Duration, m members) []float64 {
	out := make([]float64, len(windows))
	for i, w := range windows {
		from := time.Duration(i) * length
		ratio, ok := ratioOf(w, m.during(from, from+length))
		if !ok {
			ratio = math.NaN()
		}
		out[i] = ratio
	}
	return out
}

// ratiosOfSteps is, for each step, the imbalance of the window that it lies in.
func ratiosOfSteps(windows []map[string]int, m members) []float64 {
	var out []float64
	for _, ratio := range ratiosOf(windows, window, m) {
		out = append(out, slices.Repeat([]float64{ratio}, stepsPerWindow)...)
	}
	return out
}

// ratioOf is the imbalance of one window, if it counts.
func ratioOf(w map[string]int, inService []string) (float64, bool) {
	greatest, total := 0, 0
	for _, target := range inService {
		greatest = max(greatest, w[target])
		total += w[target]
	}
	if total < loadgen.MinAnsweredPerTarget*max(len(inService), 1) {
		return 0, false
	}
	return float64(greatest) * float64(len(inService)) / float64(total), true
}
