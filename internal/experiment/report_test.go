package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

func TestServiceResultCountsOutcomes(t *testing.T) {
	is := is.New(t)
	result := newServiceResult(&loadgen.Report{
		Service: "lodgement", Requests: 15, BrokenFlows: 2, FlowsLostWithHost: 3, Misrouted: 1, WrongAnswers: 1,
		Outcomes: map[string]int{
			"answered": 5, "answered/status-500": 4, "not-run/slots-full": 3, "not-run/wait-too-long": 1, "unknown/held": 2,
		},
		Retries: map[string]int{"not-run/slots-full": 2, "unknown/deadline": 1},
		Doubled: &loadgen.Doubled{Keys: 9, Doubled: 1, DeniedFalsely: 2, AnsweredUnrun: 3},
	}, nil)
	is.Equal([]int{result.Failed, result.Refused, result.Unknown, result.Retries}, []int{4, 4, 2, 3})
	is.Equal([]int{result.BrokenFlows, result.LostWithHost}, []int{2, 3})
	is.Equal([]int{result.Keys, result.Doubled, result.FalselyNotRun, result.AnsweredUnrun}, []int{9, 1, 2, 3})
	is.Equal(result.Violations(), 1+1+2+1+3)
}

func TestFormatRange(t *testing.T) {
	requests := func(c *ServiceResult) float64 { return float64(c.Requests) }
	for _, tt := range []struct {
		name   string
		values []int
		want   string
	}{
		{"one", []int{7}, "7"},
		{"equal", []int{7, 7}, "7"},
		{"odd", []int{9, 1, 5}, "5 (1–9)"},
		{"even", []int{8, 2, 4, 6}, "5 (2–8)"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var results []*ServiceResult
			for _, v := range tt.values {
				results = append(results, &ServiceResult{Requests: v})
			}
			is.New(t).Equal(formatRange(results, 0, requests), tt.want)
		})
	}
}

func newResult() *Result {
	run := func(site string, seed uint64, broken int) *RunResult {
		return &RunResult{
			Site: site, Scenario: Calm, Policy: Weighted, Seed: seed, Events: []Event{{Seconds: 0.5, Text: "an event"}},
			Services: []ServiceResult{{Service: "s", BrokenFlows: broken, windows: []map[string]int{{"s-1": 1}, {"s-1": 2}}}},
		}
	}
	return &Result{Runs: []*RunResult{run("x", 1, 4), run("x", 2, 6), run("y", 1, 0)}}
}

func TestMarkdownRowCombinesSeeds(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(newResult().WriteMarkdown(&b))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	is.Equal(len(lines), 11) // two tables, each with title, header and row, and a blank line between
	is.Equal(lines[0], "### x")
	is.True(strings.HasPrefix(lines[4], "| calm | weighted | s | 0 | 5 (4–6) | 0 |"))
	is.True(strings.HasPrefix(lines[10], "| calm | weighted | s | 0 | 0 | 0 |"))
}

func TestPlotShowsEvents(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "run.svg")
	is.NoErr(newResult().Plot(file))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "an event"))
	is.True(errors.Is((&Result{}).Plot(file), ErrNothingToPlot))
}

func TestViolationsInError(t *testing.T) {
	is := is.New(t)
	r := newResult()
	is.NoErr(r.checkCorrect())
	r.Runs[1].Services[0].Doubled = 1
	err := r.checkCorrect()
	is.True(errors.Is(err, ErrViolations))
	is.True(strings.Contains(err.Error(), "x, calm, weighted, seed 2, s: doubled 1"))
}
