package experiment

import (
	"strings"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// RunResult is one run.
type RunResult struct {
	Site     string `json:"site"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Services in the order of the settings, the main one first.
	Services []ServiceResult `json:"services"`
	// Events in order of time.
	Events []Event `json:"events"`
}

// Event is something that the scenario brought about.
type Event struct {
	// Seconds since the start of the load.
	Seconds float64 `json:"seconds"`
	Text    string  `json:"text"`
}

// ServiceResult is what one service did in a run.
type ServiceResult struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	Flows    int    `json:"flows"`
	Sessions int    `json:"sessions"`
	// BrokenFlows includes the flows of broken sessions.
	BrokenFlows int `json:"broken_flows"`
	// LostWithHost are flows that ended because their target's host failed.
	LostWithHost int `json:"lost_with_host"`
	// Imbalance is the mean over the windows, ImbalanceP99 their 99th
	// percentile.
	Imbalance    float64 `json:"imbalance"`
	ImbalanceP99 float64 `json:"imbalance_p99"`
	// ImbalanceAfterStart is the mean over the windows from the first cold
	// start on, 0 without one.
	ImbalanceAfterStart float64 `json:"imbalance_after_start"`
	// Refused requests ended as not run, Unknown ones without an answer.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Failed were answered by the backend server with an error of its own.
	Failed  int `json:"failed"`
	Retries int `json:"retries"`
	// Keys are the requests that may not be repeated, by which doubled and
	// falsely denied ones are found.
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

	// windows, moments and ratios have an item for each step.
	windows []map[string]int
	moments []loadgen.WindowStats
	ratios  []float64
}

// Violations is the number of outcomes that must never happen.
func (c *ServiceResult) Violations() int {
	return c.Doubled + c.Misrouted + c.FalselyNotRun + c.WrongAnswers + c.AnsweredUnrun
}

// serviceCell reads a report of the callers.
func serviceCell(r *loadgen.Report, m members) ServiceResult {
	windows := joinSteps(r.Windows)
	even := imbalance(windows, window, m)
	c := ServiceResult{
		Service: r.Service, Requests: r.Requests, Flows: r.Flows, Sessions: r.Sessions,
		BrokenFlows: r.BrokenFlows, LostWithHost: r.FlowsLostWithHost,
		Imbalance: even.Overall, ImbalanceP99: even.P99,
		Misrouted: r.Misrouted, WrongAnswers: r.WrongAnswers,
		P50: r.LatencyMS.P50, P99: r.LatencyMS.P99,
		Outcomes: r.Outcomes, RetriesBy: r.Retries, BrokenBy: r.BrokenBy,
		windows: r.Windows, moments: r.Stats, ratios: ratiosOfSteps(windows, m),
	}
	if first, ok := m.firstStart(); ok && first < len(r.Windows) {
		after := imbalance(joinSteps(r.Windows[first:]), window, m.since(time.Duration(first)*step))
		c.ImbalanceAfterStart = after.Overall
	}
	for _, n := range r.Retries {
		c.Retries += n
	}
	for name, n := range r.Outcomes {
		class, reason, _ := strings.Cut(name, "/")
		switch {
		case class == string(loadgen.ClassNotRun):
			c.Refused += n
		case class == string(loadgen.ClassUnknown):
			c.Unknown += n
		case reason != "":
			c.Failed += n
		}
	}
	if d := r.Doubled; d != nil {
		c.Keys, c.Doubled, c.FalselyNotRun, c.AnsweredUnrun = d.Keys, d.Doubled, d.DeniedFalsely, d.AnsweredUnrun
	}
	return c
}
