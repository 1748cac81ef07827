package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Values used where Options leave a field at zero.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 1
	DefaultMaxInflight    = 64
	DefaultMaxBatchBytes  = 256 << 10
	DefaultRetainEntries  = 1024
)

// Options describe a replica and its durable state.
type Options struct {
	// Self names this replica and its incarnation. A replica whose disk was
	// lost must come with a new incarnation.
	Self *raftpb.ReplicaID
	// ElectionTicks is the least number of ticks without a leader before an
	// election; the timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats. It must be
	// less than ElectionTicks.
	HeartbeatTicks int
	// FirstElectionTicks is the least number of ticks before an election as long as
	// no leader was known since the start; the timeout is drawn from
	// [FirstElectionTicks, 2*FirstElectionTicks). Zero means ElectionTicks. A smaller
	// one spares time when all replicas start at once, as after a loss of power. Where
	// a leader is there, its replicas refuse the pre-vote, so it does no harm.
	FirstElectionTicks int
	// Rand draws election timeouts. Required.
	Rand *rand.Rand

	// HardState, Snapshot and Entries are what was last persisted; nil at the
	// first start. Entries up to the snapshot's index may be there and are
	// ignored.
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	// Membership is the membership before the first entry. It must be the
	// same at each start and at each founding replica, and nil for a replica
	// that joins an existing group. A snapshot's membership replaces it.
	Membership *raftpb.Membership
	// Applied is the last index that the state machine holds durably by
	// itself; zero if it is rebuilt at each start.
	Applied uint64

	// MaxInflight bounds the appends in flight to each replica.
	MaxInflight int
	// MaxBatchBytes bounds the entries of one message and the committed
	// entries of one batch; a single larger entry still passes. Uncommitted
	// entries are bounded by MaxInflight*MaxBatchBytes.
	MaxBatchBytes int
	// RetainEntries is the number of entries kept in memory behind a
	// snapshot, so that a replica slightly behind needs no snapshot. Zero
	// means DefaultRetainEntries, negative none.
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
		return errors.Wrap(ErrInvalidOptions, "no source of randomness")
	}
	if o.HeartbeatTicks < 1 || o.ElectionTicks <= o.HeartbeatTicks {
		return errors.Wrap(ErrInvalidOptions, "want 0 < heartbeat ticks < election ticks")
	}
	if o.FirstElectionTicks <= o.HeartbeatTicks {
		return errors.Wrap(ErrInvalidOptions, "want heartbeat ticks < first election ticks")
	}
	if o.MaxInflight < 1 || o.MaxBatchBytes < 1 {
		return errors.Wrap(ErrInvalidOptions, "bounds must be positive")
	}
	if o.Membership != nil {
		return validateMembership(o.Membership)
	}
	return nil
}
