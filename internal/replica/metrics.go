package replica

import (
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// counters holds the metrics of a replica.
type counters struct {
	proposals   tally.Counter
	forwarded   tally.Counter
	noLeader    tally.Counter
	busy        tally.Counter
	closed      tally.Counter
	command     tally.Counter
	unknown     tally.Counter
	superseded  tally.Counter
	readsFailed tally.Counter

	changePending tally.Counter
	notCaughtUp   tally.Counter
	tooManyVoters tally.Counter

	messagesSent     tally.Counter
	messagesReceived tally.Counter
	messagesDropped  tally.Counter
	messagesRefused  tally.Counter

	syncs               tally.Counter
	syncSeconds         tally.Histogram
	applied             tally.Counter
	snapshots           tally.Counter
	snapshotsFailed     tally.Counter
	snapshotsRestored   tally.Counter
	leaderChanges       tally.Counter
	leadershipTransfers tally.Counter
	diskFull            tally.Counter
}

func newCounters(scope tally.Scope) counters {
	refused := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("proposals_refused")
	}
	change := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("membership_changes_refused")
	}
	return counters{
		diskFull:    scope.Counter("room_lost"),
		syncSeconds: scope.Histogram("sync_seconds", metrics.DurationBuckets),
		proposals:   scope.Counter("proposals"),
		forwarded:   scope.Counter("proposals_forwarded"),
		noLeader:    refused("no_leader"),
		busy:        refused("busy"),
		closed:      refused("closed"),
		command:     refused("command"),
		unknown:     scope.Counter("proposals_unknown"),
		superseded:  scope.Counter("proposals_superseded"),
		readsFailed: scope.Counter("reads_failed"),

		changePending: change("pending"),
		notCaughtUp:   change("not_caught_up"),
		tooManyVoters: change("too_many_voters"),

		messagesSent:     scope.Counter("messages_sent"),
		messagesReceived: scope.Counter("messages_received"),
		messagesDropped:  scope.Counter("messages_dropped"),
		messagesRefused:  scope.Counter("messages_refused"),

		syncs:               scope.Counter("log_syncs"),
		applied:             scope.Counter("entries_applied"),
		snapshots:           scope.Counter("snapshots_taken"),
		snapshotsFailed:     scope.Counter("snapshots_failed"),
		snapshotsRestored:   scope.Counter("snapshots_restored"),
		leaderChanges:       scope.Counter("leader_changes"),
		leadershipTransfers: scope.Counter("leaderships_handed_over"),
	}
}

func (c *counters) countRefusal(err error) {
	switch {
	case err == nil, errors.Is(err, ErrUnknown):
	case errors.Is(err, ErrNoLeader):
		c.noLeader.Inc(1)
	case errors.Is(err, ErrBusy):
		c.busy.Inc(1)
	case errors.Is(err, ErrClosed):
		c.closed.Inc(1)
	}
}

// countChangeRefusal counts a membership change that the node refused.
func (c *counters) countChangeRefusal(err error) {
	switch {
	case errors.Is(err, raft.ErrChangePending):
		c.changePending.Inc(1)
	case errors.Is(err, raft.ErrNotCaughtUp):
		c.notCaughtUp.Inc(1)
	case errors.Is(err, raft.ErrTooManyVoters):
		c.tooManyVoters.Inc(1)
	}
}
