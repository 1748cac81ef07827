package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Defaults for zero fields of Options.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 1
	DefaultMaxInflight    = 64
	DefaultMaxBatchBytes  = 256 << 10
	DefaultRetainEntries  = 1024
)

// Options describe a replica and its durable state.
type Options struct {
	// Self identifies this replica. After the loss of its disk it must have a
	// new incarnation.
	Self *raftpb.ReplicaID
	// ElectionTicks is the minimum number of ticks without a leader before an
	// election; the timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats. It must be
	// less than ElectionTicks.
	HeartbeatTicks int
	// FirstElectionTicks replaces ElectionTicks while no leader has been seen since
	// the start. Zero means ElectionTicks. A smaller value shortens the simultaneous
	// start of all replicas. If there is a leader, its followers refuse the pre-vote.
	FirstElectionTicks int
	// AskAtStart asks for pre-votes right after the start, one tick apart in the order of the
	// voters. Only if all of them grant it, none of them leads or follows, so that the first
	// election timeout need not be waited for.
	AskAtStart bool
	// Rand draws election timeouts. Required.
	Rand *rand.Rand

	// HardState, Snapshot and Entries are the persisted state; nil at the first
	// start. Entries up to the snapshot's index are ignored.
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	// Membership is the membership before the first entry. It must be the
	// same at each start and at each initial member, and nil for a replica
	// that joins an existing group. The membership of a snapshot replaces it.
	Membership *raftpb.Membership
	// Applied is the last index that the state machine holds durably; zero if
	// it is rebuilt at each start.
	Applied uint64

	// MaxInflight bounds the appends in flight to each replica.
	MaxInflight int
	// MaxBatchBytes bounds the entries of one message and the committed
	// entries of one batch; a single larger entry is still accepted.
	// Uncommitted entries are bounded by MaxInflight*MaxBatchBytes.
	MaxBatchBytes int
	// RetainEntries is the number of entries kept in memory before a snapshot,
	// so that a replica that lags slightly needs no snapshot. Zero means
	// DefaultRetainEntries, negative none.
	RetainEntries int
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func (o *Options) setDefaults() {
	o.ElectionTicks = orDefault(o.ElectionTicks, DefaultElectionTicks)
	o.HeartbeatTicks = orDefault(o.HeartbeatTicks, DefaultHeartbeatTicks)
	o.FirstElectionTicks = orDefault(o.FirstElectionTicks, o.ElectionTicks)
	o.MaxInflight = orDefault(o.MaxInflight, DefaultMaxInflight)
	o.MaxBatchBytes = orDefault(o.MaxBatchBytes, DefaultMaxBatchBytes)
	o.RetainEntries = max(orDefault(o.RetainEntries, DefaultRetainEntries), 0)
}

func (o *Options) validate() error {
	if !keyOf(o.Self).valid() {
		return errors.Wrap(ErrInvalidOptions, "self needs a name and an incarnation")
	}
	if o.Rand == nil {
		return errors.Wrap(ErrInvalidOptions, "Rand is required")
	}
	if o.HeartbeatTicks < 1 || o.ElectionTicks <= o.HeartbeatTicks {
		return errors.Wrap(ErrInvalidOptions, "want 0 < heartbeat ticks < election ticks")
	}
	if o.FirstElectionTicks <= o.HeartbeatTicks {
		return errors.Wrap(ErrInvalidOptions, "want heartbeat ticks < first election ticks")
	}
	if o.MaxInflight < 1 || o.MaxBatchBytes < 1 {
		return errors.Wrap(ErrInvalidOptions, "MaxInflight and MaxBatchBytes must be positive")
	}
	if o.Membership != nil {
		return validateMembership(o.Membership)
	}
	return nil
}
