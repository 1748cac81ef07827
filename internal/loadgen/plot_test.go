package loadgen

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// savePlot draws the chart and returns the content of the file.
func savePlot(t *testing.T, c *Chart) string {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "run.svg")
	is.NoErr(c.Save(path))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	return string(text)
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	r := &Report{
		Service:   "lodgement",
		PerTarget: map[string]int{"l-1": 3, "l-2": 1},
		Windows:   []map[string]int{{"l-1": 1}, nil, {"l-1": 2, "l-2": 1}},
		Stats:     []WindowStats{{P50: 1, P99: 2}, {P50: math.NaN(), P99: math.NaN(), BrokenFlows: 1}},
	}
	text := savePlot(t, r.Chart(0, []Mark{{Seconds: 1.5, Text: "l-1 drains"}}))
	for _, want := range []string{"l-2", "l-1 drains", "answers a second", "latency, ms", "p99", "broken flows", "imbalance"} {
		if !strings.Contains(text, want) {
			t.Errorf("the plot does not contain %q", want)
		}
	}
	savePlot(t, (&Report{}).Chart(time.Second, nil)) // an empty run
	is.True(errors.Is(r.Chart(time.Second, nil).Save(filepath.Join(t.TempDir(), "run.unknown")), ErrPlotFormat))
	is.True(r.Chart(time.Second, nil).Save(filepath.Join(t.TempDir(), "missing", "run.png")) != nil)
}

func TestCloseMarksAreMerged(t *testing.T) {
	is := is.New(t)
	c := &Chart{Window: time.Second, Answers: make([]map[string]int, 100), Marks: []Mark{{9, "c"}, {1, "a"}, {1.2, "b"}}}
	is.Equal(c.mergedMarks(), []Mark{{1, "a; b"}, {9, "c"}})
}

// Long texts are truncated and marks outside the run are dropped, so that the plot area
// keeps its size.
func TestLongAndOutsideMarks(t *testing.T) {
	is := is.New(t)
	c := &Chart{Window: time.Second, Answers: []map[string]int{{"l-1": 1}, {"l-1": 2}}, Marks: []Mark{
		{-3600, "of an earlier run"}, {1, "drain " + strings.Repeat("of a long name ", 50)}, {3600, "of a later run"},
	}}
	text := savePlot(t, c)
	is.True(strings.Contains(text, "drain of a long name"))
	is.True(!strings.Contains(text, "of an earlier run") && !strings.Contains(text, "of a later run"))
	is.NoErr(c.Save(filepath.Join(t.TempDir(), "run.png")))
}

func TestChartImbalance(t *testing.T) {
	is := is.New(t)
	r := &Report{targets: []string{"a", "b"}, Windows: []map[string]int{{"a": 30, "b": 10}, {"a": 1}, nil}}
	got := r.Chart(time.Second, nil).Imbalance
	is.Equal(len(got), 3)
	is.Equal(got[0], 1.5)
	is.True(math.IsNaN(got[1]) && math.IsNaN(got[2])) // too few answered requests
}

func TestTimeline(t *testing.T) {
	is := is.New(t)
	line := newTimeline(time.Second)
	line.answered(100*time.Millisecond, 10*time.Millisecond)
	is.Equal(len(line.snapshot()), 1) // does not change the histogram
	line.answered(900*time.Millisecond, 30*time.Millisecond)
	line.broken(2500 * time.Millisecond)
	line.broken(2600 * time.Millisecond)
	line.answered(2700*time.Millisecond, 7*time.Millisecond)
	got := line.snapshot()
	is.Equal(len(got), 3)
	near := func(a, b float64) bool { return math.Abs(a-b) < 0.1 }
	is.True(near(got[0].P50, 10) && near(got[0].P99, 30))
	is.True(math.IsNaN(got[1].P50) && math.IsNaN(got[1].P99)) // no answered request
	is.True(near(got[2].P50, 7) && near(got[2].P99, 7))
	is.Equal([]int{got[0].BrokenFlows, got[1].BrokenFlows, got[2].BrokenFlows}, []int{0, 0, 2})
}
