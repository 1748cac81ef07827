package experiment

import (
	"strings"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// RunResult is the result of one run.
type RunResult struct {
	Site     string `json:"site"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Services are in the order of the settings, with the main one first.
	Services []ServiceResult `json:"services"`
	// Events are in order of time.
	Events []Event `json:"events"`
}

// Event is an event of the scenario.
type Event struct {
	// Seconds since the start of the load.
	Seconds float64 `json:"seconds"`
	Text    string  `json:"text"`
}

// ServiceResult is the result of one service in a run.
type ServiceResult struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	Flows    int    `json:"flows"`
	Sessions int    `json:"sessions"`
	// BrokenFlows includes the flows of broken sessions.
	BrokenFlows int `json:"broken_flows"`
	// LostWithHost counts flows that ended with the host of their target.
	LostWithHost int `json:"lost_with_host"`
	// Imbalance is the mean over the windows, ImbalanceP99 their 99th
	// percentile.
	Imbalance    float64 `json:"imbalance"`
	ImbalanceP99 float64 `json:"imbalance_p99"`
	// ImbalanceAfterStart is the mean over the windows from the first cold
	// start on, 0 without one.
	ImbalanceAfterStart float64 `json:"imbalance_after_start"`
	// Refused counts requests with the outcome not-run, Unknown those with an
	// unknown outcome.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Failed counts error responses of the backend server.
	Failed  int `json:"failed"`
	Retries int `json:"retries"`
	// Keys counts requests with an idempotency key. Doubled and FalselyNotRun are
	// among these.
	Keys          int     `json:"keys"`
	Doubled       int     `json:"doubled"`
	Misrouted     int     `json:"misrouted"`
	FalselyNotRun int     `json:"falsely_not_run"`
	WrongAnswers  int     `json:"wrong_answers"`
	AnsweredUnrun int     `json:"answered_unrun"`
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`

	Outcomes  map[string]int `json:"outcomes"`
	RetriesBy map[string]int `json:"retries_by"`
	BrokenBy  map[string]int `json:"broken_by"`

	// windows, stats and imbalances have an element for each step.
	windows    []map[string]int
	stats      []loadgen.WindowStats
	imbalances []float64
}

// Violations returns the number of outcomes that must never happen.
func (s *ServiceResult) Violations() int {
	return s.Doubled + s.Misrouted + s.FalselyNotRun + s.WrongAnswers + s.AnsweredUnrun
}

// newServiceResult returns the result of a service from the callers' report.
func newServiceResult(report *loadgen.Report, spans targetSpans) ServiceResult {
	windows := sumWindows(report.Windows)
	overall := imbalance(windows, windowLength, spans)
	result := ServiceResult{
		Service: report.Service, Requests: report.Requests, Flows: report.Flows, Sessions: report.Sessions,
		BrokenFlows: report.BrokenFlows, LostWithHost: report.FlowsLostWithHost,
		Imbalance: overall.Overall, ImbalanceP99: overall.P99,
		Misrouted: report.Misrouted, WrongAnswers: report.WrongAnswers,
		P50: report.LatencyMS.P50, P99: report.LatencyMS.P99,
		Outcomes: report.Outcomes, RetriesBy: report.Retries, BrokenBy: report.BrokenBy,
		windows: report.Windows, stats: report.Stats, imbalances: stepImbalances(windows, spans),
	}
	if first, ok := spans.firstColdStart(); ok && first < len(report.Windows) {
		afterStart := imbalance(sumWindows(report.Windows[first:]), windowLength, spans.since(time.Duration(first)*stepLength))
		result.ImbalanceAfterStart = afterStart.Overall
	}
	for _, n := range report.Retries {
		result.Retries += n
	}
	for name, n := range report.Outcomes {
		class, reason, _ := strings.Cut(name, "/")
		switch {
		case class == string(loadgen.ClassNotRun):
			result.Refused += n
		case class == string(loadgen.ClassUnknown):
			result.Unknown += n
		case reason != "":
			result.Failed += n
		}
	}
	if d := report.Doubled; d != nil {
		result.Keys, result.Doubled, result.FalselyNotRun, result.AnsweredUnrun = d.Keys, d.Doubled, d.DeniedFalsely, d.AnsweredUnrun
	}
	return result
}
