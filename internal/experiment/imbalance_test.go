package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

func TestTargetsInService(t *testing.T) {
	is := is.New(t)
	var spans targetSpans
	spans.add("a", 0)
	spans.add("b", 0)
	spans.end("a", 1500*time.Millisecond)
	spans.add("c", 2500*time.Millisecond)
	spans.end("unknown", time.Second)
	for i, want := range [][]string{{"a", "b"}, {"b"}, {"b"}, {"b", "c"}} {
		from := time.Duration(i) * time.Second
		is.Equal(spans.inService(from, from+time.Second), want)
	}
}

func TestTargetReturnsToService(t *testing.T) {
	is := is.New(t)
	var spans targetSpans
	spans.add("a", 0)
	spans.end("a", time.Second)
	spans.add("a", 2*time.Second)
	spans.end("a", 4*time.Second)
	is.Equal(len(spans.inService(0, time.Second)), 1)
	is.Equal(len(spans.inService(time.Second, 2*time.Second)), 0)
	is.Equal(len(spans.inService(2*time.Second, 4*time.Second)), 1)
	is.Equal(len(spans.inService(3*time.Second, 5*time.Second)), 0)
}

func TestImbalance(t *testing.T) {
	two := targetSpans{{target: "a"}, {target: "b"}}
	draining := targetSpans{{target: "a", to: time.Second}, {target: "b"}}
	for _, tt := range []struct {
		name        string
		windows     []map[string]int
		targetSpans targetSpans
		want        loadgen.Imbalance
	}{
		{"no windows", nil, two, loadgen.Imbalance{}},
		{"even", []map[string]int{{"a": 10, "b": 10}}, two, loadgen.Imbalance{Overall: 1, P99: 1, Windows: 1}},
		{"mean and percentile", []map[string]int{{"a": 10, "b": 10}, {"a": 30, "b": 10}}, two,
			loadgen.Imbalance{Overall: 1.25, P99: 1.5, Windows: 2}},
		{"an idle target lowers the mean", []map[string]int{{"a": 20}}, two, loadgen.Imbalance{Overall: 2, P99: 2, Windows: 1}},
		{"too few responses", []map[string]int{{"a": 19}}, two, loadgen.Imbalance{}},
		{"removed target does not count", []map[string]int{{"a": 10, "b": 10}, {"a": 90, "b": 20}}, draining,
			loadgen.Imbalance{Overall: 1, P99: 1, Windows: 2}},
		{"removed target without responses", []map[string]int{{"a": 10, "b": 10}, {"b": 20}}, draining,
			loadgen.Imbalance{Overall: 1, P99: 1, Windows: 2}},
		{"no target in service", []map[string]int{{"a": 100}}, nil, loadgen.Imbalance{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(imbalance(tt.windows, time.Second, tt.targetSpans), tt.want)
		})
	}
}

func TestImbalanceAfterColdStart(t *testing.T) {
	is := is.New(t)
	var spans targetSpans
	spans.add("a", 0)
	_, started := spans.firstColdStart()
	is.True(!started) // targets present from the beginning are not cold starts
	spans.add("b", 0)
	spans.end("b", 2*stepLength)
	spans.add("d", 9*stepLength)
	spans.add("c", 5*stepLength+1)
	first, started := spans.firstColdStart()
	is.True(started)
	is.Equal(first, 6) // the first complete step
	is.Equal(spans.since(6*stepLength), targetSpans{{target: "a", from: -6 * stepLength}, {target: "d", from: 3 * stepLength}, {target: "c", from: 1 - stepLength}})
	is.Equal(spans.since(stepLength)[1], targetSpan{target: "b", from: -stepLength, to: stepLength})

	// Before c starts, the load is even; then a has three times the responses of c.
	var steps []map[string]int
	for i := range 6 + stepsPerWindow {
		if i < 6 {
			steps = append(steps, map[string]int{"a": 50, "b": 50})
			continue
		}
		steps = append(steps, map[string]int{"a": 15, "c": 5})
	}
	noStart := newServiceResult(&loadgen.Report{Windows: steps}, targetSpans{{target: "a"}, {target: "b", to: 6 * stepLength}})
	is.Equal(noStart.ImbalanceAfterStart, 0.0) // no cold start
	is.Equal(newServiceResult(&loadgen.Report{Windows: steps}, spans).ImbalanceAfterStart, 1.5)
}

func TestSumWindows(t *testing.T) {
	one := map[string]int{"a": 1, "b": 2}
	is.New(t).Equal(sumWindows([]map[string]int{one, one, one, nil, one}), []map[string]int{{"a": 3, "b": 6}, one})
}
