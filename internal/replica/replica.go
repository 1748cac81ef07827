package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// Replica is a running replica. It is safe for concurrent use.
type Replica struct {
	opts    Options
	id      *raftpb.ReplicaID
	log     *zap.Logger
	metrics counters
	inbox   *inbox

	publishedStatus atomic.Pointer[publishedStatus]
	stop            chan struct{}
	stopOnce        sync.Once
	stopped         chan struct{}
	workers         conc.WaitGroup
	// failure is written by the loop before stopped is closed.
	failure error

	// The fields below are used by the loop only.
	node      *raft.Node
	rand      *rand.Rand
	wal       *wal.Log
	waiters   waiters
	responses []response
	ticks     uint64
	wasLeader bool
	applied   uint64
	// snapshotIndex is the index of the last snapshot attempt, appliedBytes the
	// size of the commands applied since.
	snapshotIndex uint64
	appliedBytes  int
	// storedSnapshotIndex is the index of the snapshot whose data is only on disk,
	// 0 if there is none.
	storedSnapshotIndex uint64
	// hardState is the latest hard state, saved or not.
	hardState *raftpb.HardState
	// commitUnsaved is set if hardState differs from the saved one in the commit
	// index.
	commitUnsaved bool
}

// Open opens or creates the data directory, loads its state into the state machine
// and starts the replica.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if opts.StateMachine == nil {
		return nil, errors.New("StateMachine is required")
	}
	log, state, err := wal.Open(opts.DataDir, wal.Options{Name: opts.Name, FS: opts.FS})
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	r := &Replica{
		opts:    opts,
		id:      state.Self,
		log:     opts.Log.With(zap.String("replica", state.Self.GetName()), zap.Stringer("group", opts.Group)),
		metrics: newCounters(opts.Scope),
		inbox:   newInbox(opts.MaxProposals),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		wal:     log,
		waiters: newWaiters(),
	}
	if err := r.load(state); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	r.workers.Go(r.run)
	return r, nil
}

func (r *Replica) load(state *wal.State) error {
	r.hardState = state.HardState
	r.snapshotIndex = state.Snapshot.GetIndex()
	seed := r.opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	r.rand = rand.New(rand.NewPCG(seed, r.id.GetIncarnation()))
	node, err := r.newNode(state)
	if err != nil {
		return errors.Wrap(err, "start raft node")
	}
	r.node = node
	if err := r.processBatches(); err != nil {
		return err
	}
	r.flush()
	r.log.Info("replica opened",
		zap.Uint64("incarnation", r.id.GetIncarnation()),
		zap.Bool("new", state.New),
		zap.Uint64("applied", r.applied),
		zap.Int("torn_bytes", state.TornBytes))
	return nil
}

func (r *Replica) newNode(state *wal.State) (*raft.Node, error) {
	return raft.New(raft.Options{
		Self:           state.Self,
		ElectionTicks:  r.opts.ElectionTicks,
		HeartbeatTicks: r.opts.HeartbeatTicks,

		FirstElectionTicks: max(r.opts.FirstElectionTicks, r.opts.HeartbeatTicks+1),
		AskAtStart:         true,
		Rand:               r.rand,
		HardState:          state.HardState,
		Snapshot:           state.Snapshot,
		Entries:            state.Entries,
		// raft.New validates this membership, but not that of the snapshot.
		Membership:    state.Snapshot.GetMembership(),
		RetainEntries: r.opts.retainEntries(),
	})
}

// ID returns the replica's name and incarnation.
func (r *Replica) ID() *raftpb.ReplicaID { return r.id }

// Receive queues messages of other members. It does not block, and drops messages
// if the inbox is full. The replica keeps the messages.
func (r *Replica) Receive(msgs []*raftpb.Message) {
	r.metrics.messagesReceived.Inc(int64(len(msgs)))
	if dropped := r.inbox.addMessages(msgs); dropped > 0 {
		r.metrics.messagesDropped.Inc(int64(dropped))
	}
}

// Done returns a channel that is closed when the replica has stopped, by Close or by
// a failure.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns the failure that stopped the replica; nil while it runs and after a
// regular Close.
func (r *Replica) Err() error {
	select {
	case <-r.stopped:
		return r.failure
	default:
		return nil
	}
}

// Close transfers the leadership, stops the replica and waits until its data
// directory is released. Pending proposals get ErrUnknown. The error is that of Err,
// or of closing the log.
func (r *Replica) Close() error {
	if err := r.MoveLeadership(context.Background()); err != nil {
		r.log.Info("leadership not transferred before close", zap.Error(err))
	}
	return r.shutdown()
}

// shutdown stops the replica without transferring the leadership.
func (r *Replica) shutdown() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.workers.Wait()
	return r.failure
}
