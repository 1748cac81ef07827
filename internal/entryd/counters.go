package entryd

import (
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

const (
	// scopeName is the prefix of all metrics of this package.
	scopeName = "entry"
	reasonTag = "reason"
)

// counters holds the metrics of a Forwarder. They are created once, as a lookup per
// datagram would allocate.
type counters struct {
	forwarded tally.Counter
	replied   tally.Counter
	// reports counts reply frames without a datagram.
	reports tally.Counter
	// first counts new flows by the reason of the choice.
	first [routing.ReasonCount]tally.Counter
	// probes counts first packets copied to unresponsive targets.
	probes  tally.Counter
	refused [refusalCount]tally.Counter

	// refusalsSent counts refused connections, refusalsRateLimited those dropped by the
	// limit.
	refusalsSent        tally.Counter
	refusalsRateLimited tally.Counter

	// Failures of system calls.
	readFailed     tally.Counter
	toAgentFailed  tally.Counter
	toCallerFailed tally.Counter

	// Changes of state.
	viewsApplied     tally.Counter
	viewsOlder       tally.Counter
	openFailed       tally.Counter
	invalidAddresses tally.Counter
	unusableTargets  tally.Counter
	openAddresses    tally.Gauge
	version          tally.Gauge
	// candidates is the number of targets available to new flows.
	candidates tally.Gauge
	// damped is the number of targets without new flows because they flap.
	damped tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		forwarded:           scope.Counter("datagrams_forwarded"),
		replied:             scope.Counter("datagrams_replied"),
		reports:             scope.Counter("load_reports"),
		probes:              scope.Counter("silent_probes"),
		refusalsSent:        scope.Counter("connections_refused"),
		refusalsRateLimited: scope.Counter("connections_refused_over_budget"),

		readFailed:       scope.Counter("read_failed"),
		toAgentFailed:    scope.Counter("send_to_agent_failed"),
		toCallerFailed:   scope.Counter("send_to_caller_failed"),
		viewsApplied:     scope.Counter("views_applied"),
		viewsOlder:       scope.Counter("views_older_refused"),
		openFailed:       scope.Counter("public_address_open_failed"),
		invalidAddresses: scope.Counter("public_address_unusable"),
		unusableTargets:  scope.Counter("target_address_unusable"),
		openAddresses:    scope.Gauge("public_addresses_open"),
		version:          scope.Gauge("configuration_version"),
		candidates:       scope.Gauge("candidates"),
		damped:           scope.Gauge("targets_damped"),
	}
	for r := range c.first {
		c.first[r] = tagged(scope, routing.Reason(r).String()).Counter("first_forwarded")
	}
	for r := range c.refused {
		c.refused[r] = tagged(scope, refusal(r).String()).Counter("refused")
	}
	return c
}

func tagged(scope tally.Scope, reason string) tally.Scope {
	return scope.Tagged(map[string]string{reasonTag: reason})
}
