package replica

import (
	"cmp"
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// StateMachine applies the commands of the log. Its methods are called by one
// goroutine at a time and must be deterministic: the same commands in the same order
// give the same results and snapshots.
type StateMachine interface {
	// Apply executes the command committed at index and returns its result. It
	// must not modify the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// TermApplier is a StateMachine that also gets the term in which a command was proposed.
// ApplyInTerm is called in place of Apply. The result and snapshots must not depend on the
// term.
type TermApplier interface {
	ApplyInTerm(term, index uint64, command []byte) []byte
}

// Transport sends raft messages to other members. Send never blocks; it may drop,
// duplicate or reorder messages. The transport must not modify the messages and may
// keep them after Send returned. The address of the member is empty if unknown.
type Transport interface {
	Send(to *raftpb.Member, group controlpb.Group, msgs []*raftpb.Message)
}

// Forwarder forwards a command to the leader, which calls Replica.ProposeLocal.
// ErrNoLeader and ErrBusy mean that the command was not sent; after any other error
// its outcome is unknown.
type Forwarder interface {
	Forward(ctx context.Context, leader *raftpb.Member, group controlpb.Group, command []byte) (*controlpb.ProposeReply, error)
}

// Defaults of Options.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultFirstElectionTicks is above DefaultHeartbeatTicks, so that a heartbeat
	// of an existing leader arrives first.
	DefaultFirstElectionTicks = 3
	DefaultSnapshotEntries    = 10_000
	DefaultMaxProposals       = 1024
	DefaultMaxCommandBytes    = 1 << 20
	DefaultSnapshotBytes      = 64 << 20
)

// Bounds of the inbox, in bytes.
const (
	maxRequestBytes = 16 << 20
	maxMessageBytes = 64 << 20
)

// Options configures a Replica.
type Options struct {
	// DataDir holds the durable state of this replica in this group and
	// nothing else. It is created if it does not exist.
	DataDir string
	// Name is the name of the replica. A data directory with another name is
	// refused.
	Name string
	// Group identifies the replicated log.
	Group controlpb.Group
	// StateMachine must be empty when Open is called.
	StateMachine StateMachine
	// Transport sends to the other members. Nil for a group of one.
	Transport Transport
	// Addresses are link addresses by replica name. They are used for replicas
	// that are not in the known membership: a joining replica replies to its
	// leader before it knows the members.
	Addresses map[string]string
	// Forwarder forwards commands to the leader. If it is nil, a replica that
	// does not lead returns ErrNoLeader.
	Forwarder Forwarder
	// TickInterval is the unit of the tick counts below.
	TickInterval time.Duration
	// ElectionTicks is the minimum time without a leader before an election.
	ElectionTicks int
	// FirstElectionTicks replaces ElectionTicks until a leader was seen.
	FirstElectionTicks int
	// HeartbeatTicks is the time between heartbeats of a leader.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied commands, in bytes, after which a
	// snapshot is taken however few they are.
	SnapshotBytes int
	// MaxProposals bounds the pending requests: proposals, read barriers and
	// membership changes.
	MaxProposals int
	// MaxCommandBytes bounds the size of one command.
	MaxCommandBytes int
	// WaitForDiskSpace suspends the replica while its disk is full. Otherwise
	// the replica fails.
	WaitForDiskSpace bool
	// Seed seeds the election timeouts. Zero means a random seed.
	Seed uint64
	// FS is the file system of DataDir. Nil means that of the operating system.
	FS wal.FS
	// Log receives state changes. Nil means no logging.
	Log *zap.Logger
	// Scope receives the metrics. Nil means none.
	Scope tally.Scope
}

func (o *Options) setDefaults() {
	o.TickInterval = cmp.Or(max(o.TickInterval, 0), DefaultTickInterval)
	o.ElectionTicks = cmp.Or(max(o.ElectionTicks, 0), DefaultElectionTicks)
	o.FirstElectionTicks = cmp.Or(max(o.FirstElectionTicks, 0), min(DefaultFirstElectionTicks, o.ElectionTicks))
	o.HeartbeatTicks = cmp.Or(max(o.HeartbeatTicks, 0), DefaultHeartbeatTicks)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)
	o.SnapshotBytes = cmp.Or(max(o.SnapshotBytes, 0), DefaultSnapshotBytes)
	o.MaxProposals = cmp.Or(max(o.MaxProposals, 0), DefaultMaxProposals)
	o.MaxCommandBytes = cmp.Or(max(o.MaxCommandBytes, 0), DefaultMaxCommandBytes)
	o.Log = cmp.Or(o.Log, zap.NewNop())
	o.Scope = cmp.Or(o.Scope, tally.NoopScope)
}

// retainEntries returns raft.Options.RetainEntries: a part of SnapshotEntries, or a
// negative number for none.
func (o *Options) retainEntries() int {
	const (
		divisor = 10
		limit   = 1024
	)
	n := min(o.SnapshotEntries/divisor, limit)
	if n == 0 {
		return -1
	}
	return int(n)
}
