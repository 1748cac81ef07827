package agentd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// counterNames maps kinds of reasons to counter names.
var counterNames = map[reason.Kind]string{
	reason.KindNotRun:  "requests_refused",
	reason.KindUnknown: "requests_unknown",
	reason.KindRetry:   "retries",
	reason.KindFrame:   "frames_refused",
	reason.KindFlow:    "flows_handed_on",
}

// counters holds the metrics of the agent.
type counters struct {
	reasons  map[reason.Code]tally.Counter
	outcomes map[retry.Outcome]tally.Counter

	connections     tally.Counter
	frames          tally.Counter
	datagrams       tally.Counter
	staleFlows      tally.Counter
	lastResort      tally.Counter
	replayed        tally.Counter
	resets          tally.Counter
	failedRecords   tally.Counter
	tableMismatches tally.Counter
	stalls          tally.Counter
	sessions        tally.Gauge
	watches         tally.Gauge
	running         tally.Gauge
	waiting         tally.Gauge
	unhealthy       tally.Gauge
	backendAge      tally.Gauge
	requestTime     tally.Timer
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		reasons:         make(map[reason.Code]tally.Counter),
		outcomes:        make(map[retry.Outcome]tally.Counter),
		connections:     scope.Counter("connections_begun"),
		frames:          scope.Counter("frames_received"),
		datagrams:       scope.Counter("datagrams_sent"),
		staleFlows:      scope.Counter("flows_of_former_process"),
		lastResort:      scope.Counter("return_paths_last_resort"),
		replayed:        scope.Counter("answers_replayed"),
		resets:          scope.Counter("answers_reset"),
		tableMismatches: scope.Counter("grants_of_another_table"),
		stalls:          scope.Counter("standstills"),
		failedRecords:   scope.Counter("answers_unrecorded"),
		sessions:        scope.Gauge("sessions"),
		watches:         scope.Gauge("watches"),
		running:         scope.Gauge("requests_running"),
		waiting:         scope.Gauge("requests_waiting"),
		unhealthy:       scope.Gauge("backend_ill"),
		backendAge:      scope.Gauge("backend_age"),
		requestTime:     scope.Timer("request_time"),
	}
	for _, info := range reason.Table() {
		tagged := scope.Tagged(map[string]string{"reason": info.Name})
		c.reasons[info.Code] = tagged.Counter(counterNames[info.Kind])
	}
	for _, o := range []retry.Outcome{retry.NotRun, retry.Unknown, retry.Answered} {
		tagged := scope.Tagged(map[string]string{"outcome": o.String()})
		c.outcomes[o] = tagged.Counter("requests")
	}
	return c
}

// count increments the counter of the reason.
func (c *counters) count(code reason.Code) {
	if counter, ok := c.reasons[code]; ok {
		counter.Inc(1)
	}
}
