package subscriber

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/freshness"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	tagReason = "reason"
	tagKind   = "kind"

	metricRefusedUpdates     = "subscriber_refused_updates"
	metricEndedSubscriptions = "subscriber_ended_subscriptions"
	metricUnconfirmed        = "subscriber_unconfirmed_starts"
	metricQueryRounds        = "subscriber_rounds_of_asking"
	metricRefusedRecords     = "subscriber_refused_records"
	metricDirectoryRecords   = "subscriber_directory_records"
	metricEvictedDepartures  = "subscriber_forgotten_departures"
	metricAnnounceFailures   = "announcer_failures"
)

type counters struct {
	scope             tally.Scope
	unconfirmed       tally.Counter
	queryRounds       tally.Counter
	unansweredQueries tally.Counter
	movesToNewer      tally.Counter
	staleRecords      tally.Counter
	duplicateUpdates  tally.Counter
	evictedDepartures tally.Counter
	version           tally.Gauge
	targets           tally.Gauge
	connected         tally.Gauge
	confirmedAge      tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	return counters{
		scope:             scope,
		unconfirmed:       scope.Counter(metricUnconfirmed),
		queryRounds:       scope.Counter(metricQueryRounds),
		unansweredQueries: scope.Counter("subscriber_unanswered_version_queries"),
		movesToNewer:      scope.Counter("subscriber_moves_to_newer"),
		staleRecords:      byReason(scope, metricRefusedRecords, "older"),
		duplicateUpdates:  byReason(scope, metricRefusedUpdates, "repeated_directory"),
		evictedDepartures: scope.Counter(metricEvictedDepartures),
		version:           scope.Gauge("subscriber_version"),
		targets:           scope.Gauge("subscriber_targets"),
		connected:         scope.Gauge("subscriber_connected"),
		confirmedAge:      scope.Gauge("subscriber_confirmed_age_seconds"),
	}
}

func byReason(scope tally.Scope, metric, reason string) tally.Counter {
	return scope.Tagged(map[string]string{tagReason: reason}).Counter(metric)
}

// directory counts the records of a directory update by kind, and the refused ones.
func (c *counters) directory(u *controlpb.DirectoryUpdate, change membership.Change) {
	kind := "delta"
	switch {
	case u.GetFull():
		kind = "full"
	case u.GetBuckets() > 0:
		kind = "difference"
	}
	c.scope.Tagged(map[string]string{tagKind: kind}).Counter(metricDirectoryRecords).Inc(int64(len(u.GetPut())))
	c.staleRecords.Inc(int64(change.Stale))
	c.evictedDepartures.Inc(int64(change.Evicted))
	if change.Duplicate {
		c.duplicateUpdates.Inc(1)
	}
}

func (c *counters) refused(err error) {
	byReason(c.scope, metricRefusedUpdates, refusalReason(err)).Inc(1)
}

func (c *counters) ended(err error) {
	byReason(c.scope, metricEndedSubscriptions, endReason(err)).Inc(1)
}

func (c *counters) observe(v *View) {
	c.version.Update(float64(v.Config.GetVersion()))
	c.targets.Update(float64(len(v.Targets)))
	connected := 0.0
	if v.Connected {
		connected = 1
	}
	c.connected.Update(connected)
}

func endReason(err error) string {
	var fault *link.FaultError
	var move *moveError
	switch {
	case errors.As(err, &fault):
		return "fault"
	case errors.As(err, &move):
		return string(move.reason)
	case errors.Is(err, errNewerElsewhere):
		return string(freshness.ReasonBehind)
	case errors.Is(err, errMoveRequested):
		return "asked"
	case errors.Is(err, config.ErrBaseMismatch):
		return "gap"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case errors.Is(err, link.ErrMalformed), errors.Is(err, link.ErrTooLarge):
		return "malformed"
	case errors.Is(err, link.ErrNotSent), errors.Is(err, context.Canceled):
		return "no_connection"
	}
	return "broken_off"
}
