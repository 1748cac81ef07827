package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
)

// waitingMetrics count the decisions on openings and requests that wait beside the target, of
// routes that state an objective or a timeout.
type waitingMetrics struct {
	scope     tally.Scope
	decisions map[waitingKey]tally.Counter
	// seconds has the waiting times by priority.
	seconds map[string]tally.Histogram
}

type waitingKey struct {
	priority string
	action   flow.Action
	reason   flow.Reason
}

func newWaitingMetrics(scope tally.Scope) waitingMetrics {
	return waitingMetrics{scope: scope, decisions: map[waitingKey]tally.Counter{}, seconds: map[string]tally.Histogram{}}
}

// record counts the decision in a verdict, if any. It is called with the lock of the flow table
// held.
func (m *waitingMetrics) record(v flow.Verdict) {
	if !v.Waiting.Decided {
		return
	}
	key := waitingKey{flow.PriorityLabel(v.Waiting.Class), v.Action, v.Reason}
	c := m.decisions[key]
	if c == nil {
		tags := map[string]string{"priority": key.priority, "action": key.action.String(), "reason": string(key.reason)}
		c = m.scope.Tagged(tags).Counter("waiting_decisions")
		m.decisions[key] = c
	}
	c.Inc(1)
	h := m.seconds[key.priority]
	if h == nil {
		h = m.scope.Tagged(map[string]string{"priority": key.priority}).Histogram("waiting_seconds", metrics.DurationBuckets)
		m.seconds[key.priority] = h
	}
	h.RecordDuration(v.Waiting.Waited)
}
