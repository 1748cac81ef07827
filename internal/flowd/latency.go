package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
)

// latency is how long the target takes for its first answers to opening packets and to
// requests.
type latency struct {
	openings, requests tally.Histogram
}

func newLatency(scope tally.Scope) latency {
	return latency{
		openings: scope.Histogram("opening_seconds", metrics.DurationBuckets),
		requests: scope.Histogram("request_seconds", metrics.DurationBuckets),
	}
}

// count counts how long the target has taken for what the verdict passes on.
func (l *latency) count(v flow.Verdict) {
	switch {
	case v.ResponseTime == 0:
	case v.Opening:
		l.openings.RecordDuration(v.ResponseTime)
	default:
		l.requests.RecordDuration(v.ResponseTime)
	}
}
