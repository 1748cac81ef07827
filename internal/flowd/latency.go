package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
)

// latency has the response times of the target to openings and requests.
type latency struct {
	openings, requests tally.Histogram
}

func newLatency(scope tally.Scope) latency {
	return latency{
		openings: scope.Histogram("opening_seconds", metrics.DurationBuckets),
		requests: scope.Histogram("request_seconds", metrics.DurationBuckets),
	}
}

// count records the response time in a verdict, if any.
func (l *latency) count(v flow.Verdict) {
	switch {
	case v.ResponseTime == 0:
	case v.Opening:
		l.openings.RecordDuration(v.ResponseTime)
	default:
		l.requests.RecordDuration(v.ResponseTime)
	}
}
