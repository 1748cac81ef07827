package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is the result of one run. The package comment defines its measures.
type Report struct {
	Service string `json:"service"`
	Seed    uint64 `json:"seed"`
	// Start of the run.
	Start time.Time `json:"start"`
	// Seconds is the length of the run, with the wait for its last requests.
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Outcomes counts requests by final class and reason.
	Outcomes map[string]int `json:"outcomes"`
	// Retries counts attempts that were retried, by class and reason.
	Retries map[string]int `json:"retries"`
	// RetriesDenied counts retries that the retry budget did not allow.
	RetriesDenied int `json:"retries_denied"`
	// LatencyMS is the latency of answered requests from their scheduled time.
	LatencyMS Latency `json:"latency_ms"`

	Flows       int            `json:"flows"`
	BrokenFlows int            `json:"broken_flows"`
	BrokenBy    map[string]int `json:"broken_by"`
	// FlowsLostWithHost counts flows that ended because the host of their target
	// failed. They do not count as broken.
	FlowsLostWithHost int `json:"flows_lost_with_host"`

	// Sessions counts the sessions opened, including replacements of broken ones.
	Sessions         int            `json:"sessions"`
	BrokenSessions   int            `json:"broken_sessions"`
	BrokenSessionsBy map[string]int `json:"broken_sessions_by"`
	SessionsRefused  map[string]int `json:"sessions_refused"`
	// SessionsLostWithHost counts sessions that ended because the host of their target
	// failed. They do not count as broken.
	SessionsLostWithHost int `json:"sessions_lost_with_host"`
	Events               int `json:"events"`

	Imbalance         Imbalance      `json:"imbalance"`
	PerTarget         map[string]int `json:"per_target"`
	SessionsPerTarget map[string]int `json:"sessions_per_target"`

	Misrouted    int `json:"misrouted"`
	WrongAnswers int `json:"wrong_answers"`
	// Doubled is nil if the run counts are not known; DoubledUnknown is the reason.
	Doubled        *Doubled `json:"doubled,omitempty"`
	DoubledUnknown string   `json:"doubled_unknown,omitempty"`

	// Windows are the answered requests per target in each window, Stats the latency and broken
	// flows. Their lengths may differ.
	Windows []map[string]int `json:"-"`
	Stats   []WindowStats    `json:"-"`
	// targets are all known targets of the service.
	targets []string
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Doubled compares the outcomes of non-repeatable requests with their run counts.
type Doubled struct {
	// Keys is the number of keys compared.
	Keys int `json:"keys"`
	// Doubled counts keys that ran more than once.
	Doubled int `json:"doubled"`
	// DeniedFalsely counts keys that ran although their outcome was "not run".
	DeniedFalsely int `json:"denied_falsely"`
	// AnsweredUnrun counts keys that were answered but never ran.
	AnsweredUnrun int `json:"answered_unrun"`
}

func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := allTargets(r.opts.Targets, r.perTarget)
	windows := orderedWindows(r.windows)
	return &Report{
		Service:              r.opts.Service,
		Seed:                 r.opts.Seed,
		Start:                r.start,
		Seconds:              time.Since(r.start).Seconds(),
		Requests:             r.requests,
		Outcomes:             maps.Clone(r.outcomes),
		Retries:              maps.Clone(r.retries),
		RetriesDenied:        r.retriesDenied,
		LatencyMS:            r.percentiles(),
		Flows:                r.flows,
		BrokenFlows:          sumCounts(r.broken),
		BrokenBy:             maps.Clone(r.broken),
		FlowsLostWithHost:    r.flowsLostWithHost,
		Sessions:             r.sessions,
		BrokenSessions:       sumCounts(r.brokenSessions),
		BrokenSessionsBy:     maps.Clone(r.brokenSessions),
		SessionsRefused:      maps.Clone(r.refusedSessions),
		SessionsLostWithHost: r.sessionsLostWithHost,
		Events:               r.events,
		Imbalance:            imbalance(r.perTarget, windows, targets),
		PerTarget:            maps.Clone(r.perTarget),
		SessionsPerTarget:    maps.Clone(r.sessionsPerTarget),
		Misrouted:            r.misrouted,
		WrongAnswers:         r.wrongAnswers,
		Windows:              windows,
		targets:              targets,
		Stats:                r.timeline.snapshot(),
	}
}

func (r *recorder) percentiles() Latency {
	at := func(percentile float64) float64 {
		return float64(r.latency.ValueAtPercentile(percentile)) / 1000
	}
	return Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(r.latency.Max()) / 1000}
}

func sumCounts(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "service %s: %d requests in %.1f s, seed %d\n", r.Service, r.Requests, r.Seconds, r.Seed)
	writeCounts(&b, "outcomes", r.Outcomes)
	writeCounts(&b, "retries", r.Retries)
	l := r.LatencyMS
	fmt.Fprintf(&b, "latency ms: p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", l.P50, l.P90, l.P99, l.P999, l.Max)
	fmt.Fprintf(&b, "flows: %d, broken %d, lost with their host %d\n", r.Flows, r.BrokenFlows, r.FlowsLostWithHost)
	writeCounts(&b, "broken by", r.BrokenBy)
	fmt.Fprintf(&b, "sessions: %d, broken %d, events %d\n", r.Sessions, r.BrokenSessions, r.Events)
	writeCounts(&b, "sessions broken by", r.BrokenSessionsBy)
	writeCounts(&b, "sessions refused", r.SessionsRefused)
	fmt.Fprintf(&b, "imbalance: overall %.3f, p99 %.3f over %d windows\n", r.Imbalance.Overall, r.Imbalance.P99, r.Imbalance.Windows)
	writeCounts(&b, "per target", r.PerTarget)
	fmt.Fprintf(&b, "misrouted: %d, wrong answers: %d\n", r.Misrouted, r.WrongAnswers)
	if d := r.Doubled; d != nil {
		fmt.Fprintf(&b, "of %d keys: doubled %d, denied falsely %d, answered but never run %d\n",
			d.Keys, d.Doubled, d.DeniedFalsely, d.AnsweredUnrun)
	} else {
		fmt.Fprintf(&b, "doubled: not known, %s\n", r.DoubledUnknown)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeCounts(b *strings.Builder, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(b, "%s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, " %s=%d", name, counts[name])
	}
	b.WriteByte('\n')
}
