package flowd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// counters count verdicts by action and reason, and other events.
type counters struct {
	scope     tally.Scope
	verdicts  map[verdictKey]tally.Counter
	malformed tally.Counter
	// overflow counts the packets that were dropped because a buffer was full.
	overflow tally.Counter
	// stalls counts the stalls of this process.
	stalls tally.Counter
	// evicted counts the idle flows that an agent has evicted for room.
	evicted tally.Counter
	flows   tally.Gauge
}

type verdictKey struct {
	action flow.Action
	reason flow.Reason
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:     scope,
		verdicts:  map[verdictKey]tally.Counter{},
		malformed: scope.Counter("malformed_datagrams"),
		overflow:  scope.Counter("waiting_packets_dropped"),
		stalls:    scope.Counter("standstills"),
		evicted:   scope.Counter("flows_evicted"),
		flows:     scope.Gauge("flows"),
	}
}

// count counts a verdict. It is called with the lock of the flow table held.
func (r *counters) count(v flow.Verdict) {
	key := verdictKey{v.Action, v.Reason}
	c := r.verdicts[key]
	if c == nil {
		c = r.scope.Tagged(map[string]string{"action": v.Action.String(), "reason": string(v.Reason)}).Counter("packets")
		r.verdicts[key] = c
	}
	c.Inc(1)
}
