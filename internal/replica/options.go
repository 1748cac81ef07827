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

// StateMachine is what the log is applied to. Its methods are called by one
// goroutine at a time and must be deterministic: equal commands in equal order
// give equal results and equal snapshots.
type StateMachine interface {
	// Apply runs the command committed at index and returns its result. It
	// must not change the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Transport carries messages of the agreement core to other members. Send
// never blocks; it may drop, repeat or reorder messages. The messages and what
// they refer to are read-only for the transport, which may keep them after
// Send returned. The member's address is empty if it is not known.
type Transport interface {
	Send(to *raftpb.Member, group controlpb.Group, msgs []*raftpb.Message)
}

// Forwarder carries a command from a replica that does not lead to the leader,
// which answers by Replica.ProposeLocal. An error for which
// errors.Is(err, ErrNoLeader) or ErrBusy holds says that the command was not
// sent; any other error leaves its outcome unknown.
type Forwarder interface {
	Forward(ctx context.Context, leader *raftpb.Member, group controlpb.Group, command []byte) (*controlpb.ProposeReply, error)
}

// Defaults of Options.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultFirstElectionTicks leaves a leader that is there the time of a heartbeat
	// to be heard.
	DefaultFirstElectionTicks = 3
	DefaultSnapshotEntries    = 10_000
	DefaultMaxProposals       = 1024
	DefaultMaxCommandBytes    = 1 << 20
	DefaultSnapshotBytes      = 64 << 20
)

// Bounds of the intake, in bytes.
const (
	maxRequestBytes = 16 << 20
	maxMessageBytes = 64 << 20
)

// Options configures a Replica.
type Options struct {
	// DataDir holds the durable state of this replica in this group and
	// nothing else. It is made if it does not exist.
	DataDir string
	// Name is the replica's name. A folder made under another one is refused.
	Name string
	// Group names the replicated log.
	Group controlpb.Group
	// StateMachine is empty when Open is called.
	StateMachine StateMachine
	// Transport reaches the other members. Nil for a group of one.
	Transport Transport
	// Addresses are link addresses by name of replica. They serve only for
	// replicas that no membership known here names: one that joins answers
	// its leader before it has learned who is a member.
	Addresses map[string]string
	// Forwarder passes commands on to the leader. Without it, a replica that
	// does not lead answers ErrNoLeader.
	Forwarder Forwarder
	// TickInterval is the unit of the two counts below.
	TickInterval time.Duration
	// ElectionTicks is the shortest time without a leader before an election.
	ElectionTicks int
	// FirstElectionTicks is the same as long as no leader was known since the start.
	FirstElectionTicks int
	// HeartbeatTicks is the time between heartbeats of a leader.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied commands, in bytes, after which a
	// snapshot is taken however few they are: they stay in memory, and in the
	// folder, until then.
	SnapshotBytes int
	// MaxProposals bounds the requests of callers that wait: proposals, read
	// barriers and membership changes.
	MaxProposals int
	// MaxCommandBytes bounds the size of one command.
	MaxCommandBytes int
	// WaitForDiskSpace keeps the replica when its disk has no room: it leaves the group's
	// work to the others until there is some. Without it the replica fails.
	WaitForDiskSpace bool
	// Seed feeds the choice of election timeouts. Zero means a random one.
	Seed uint64
	// FS is the file system of Folder. Nil means that of the operating system.
	FS wal.FS
	// Log gets a line for each change of state. Nil means none.
	Log *zap.Logger
	// Scope gets the counters. Nil means none.
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

// retainEntries is the number of entries kept in memory behind a snapshot, for
// followers that lag a little. The core takes a negative number for none.
func (o *Options) retainEntries() int {
	const (
		part = 10
		most = 1024
	)
	n := min(o.SnapshotEntries/part, most)
	if n == 0 {
		return -1
	}
	return int(n)
}
