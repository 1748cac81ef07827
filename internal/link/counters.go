package link

import (
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

const (
	tagReason = "reason"

	metricRefusedConnections = "link_server_refused_connections"
	metricRefusedDatagrams   = "link_server_refused_datagrams"
	metricRefusedRequests    = "link_server_refused_requests"
	metricFailedSends        = "link_server_failed_sends"
	metricDialFailures       = "link_client_dial_failures"
	metricLostConnections    = "link_client_lost_connections"
	metricCallFailures       = "link_client_call_failures"
)

func reasonCounter(scope tally.Scope, metric, reason string) tally.Counter {
	return scope.Tagged(map[string]string{tagReason: reason}).Counter(metric)
}

// serverCounters holds the metrics of a server.
type serverCounters struct {
	scope               tally.Scope
	refusedHandshakes   tally.Counter
	refusedWhileClosing tally.Counter
	panics              tally.Counter
	unanswered          tally.Counter
	drainTimeouts       tally.Counter
	subscriptions       tally.Counter
	failedSubscriptions tally.Counter
	connections         tally.Gauge
}

func newServerCounters(scope tally.Scope) serverCounters {
	return serverCounters{
		scope:               scope,
		refusedHandshakes:   reasonCounter(scope, metricRefusedConnections, "handshakes"),
		refusedWhileClosing: reasonCounter(scope, metricRefusedConnections, "closing"),
		panics:              scope.Counter("link_server_panics"),
		unanswered:          scope.Counter("link_server_unanswered_requests"),
		drainTimeouts:       scope.Counter("link_server_drains_cut"),
		subscriptions:       scope.Counter("link_server_subscriptions"),
		failedSubscriptions: scope.Counter("link_server_failed_subscriptions"),
		connections:         scope.Gauge("link_server_connections"),
	}
}

func (c *serverCounters) refusedPeer(err error) {
	reason := "certificate"
	switch {
	case errors.Is(err, keys.ErrNoCertificate):
		reason = "no_certificate"
	case errors.Is(err, keys.ErrUnknownAuthority):
		reason = "stranger"
	case errors.Is(err, keys.ErrExpired):
		reason = "expired"
	case errors.Is(err, keys.ErrRoleNotAllowed):
		reason = "role"
	case errors.Is(err, keys.ErrNoIdentity):
		reason = "no_identity"
	}
	reasonCounter(c.scope, metricRefusedConnections, reason).Inc(1)
}

func (c *serverCounters) refusedAdmission(reason refusal) {
	reasonCounter(c.scope, metricRefusedConnections, string(reason)).Inc(1)
}

func (c *serverCounters) refusedRequest(err error) {
	reasonCounter(c.scope, metricRefusedRequests, messageReason(err)).Inc(1)
}

func (c *serverCounters) failedSend(err error) {
	reasonCounter(c.scope, metricFailedSends, messageReason(err)).Inc(1)
}

func messageReason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	case errors.Is(err, ErrMalformed):
		return "malformed"
	}
	return "broken_off"
}
