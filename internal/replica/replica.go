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

// Replica is one running replica. Its methods may be called by any goroutine.
type Replica struct {
	opts    Options
	id      *raftpb.ReplicaID
	log     *zap.Logger
	metrics counters
	intake  *intake

	published atomic.Pointer[published]
	stop      chan struct{}
	stopOnce  sync.Once
	stopped   chan struct{}
	workers   conc.WaitGroup
	// failure is written by the loop before stopped is closed.
	failure error

	// The loop alone uses what follows.
	node    *raft.Node
	rand    *rand.Rand
	wal     *wal.Log
	waiters waiters
	answers []answer
	ticks   uint64
	leading bool
	applied uint64
	// snapshotIndex is the index of the last snapshot, appliedBytes the size of
	// the commands applied since.
	snapshotIndex uint64
	appliedBytes  int
	// storedIndex is the index of the snapshot whose data is on the disk alone,
	// 0 if the core's snapshot has its data.
	storedIndex uint64
	// hardState is the last one that was saved or waits to be.
	hardState *raftpb.HardState
	// commitUnsaved says that hardState differs from the saved one, in the
	// commit index alone.
	commitUnsaved bool
}

// Open opens or makes the data folder, loads what it holds into the state
// machine and starts the replica.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if opts.StateMachine == nil {
		return nil, errors.New("replica needs a state machine")
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
		intake:  newIntake(opts.MaxProposals),
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
		return errors.Wrap(err, "start agreement core")
	}
	r.node = node
	if err := r.work(); err != nil {
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
		Rand:               r.rand,
		HardState:          state.HardState,
		Snapshot:           state.Snapshot,
		Entries:            state.Entries,
		// The same as the snapshot's, so that it is checked.
		Membership:    state.Snapshot.GetMembership(),
		RetainEntries: r.opts.retainEntries(),
	})
}

// ID returns the replica's name and incarnation.
func (r *Replica) ID() *raftpb.ReplicaID { return r.id }

// Receive takes messages of other members. It does not block, and drops
// messages when too many wait. The replica keeps the messages.
func (r *Replica) Receive(msgs []*raftpb.Message) {
	r.metrics.messagesReceived.Inc(int64(len(msgs)))
	if dropped := r.intake.addMessages(msgs); dropped > 0 {
		r.metrics.messagesDropped.Inc(int64(dropped))
	}
}

// Done is closed when the replica has stopped, by Close or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns the failure that stopped the replica, nil while it runs and
// after Close.
func (r *Replica) Err() error {
	select {
	case <-r.stopped:
		return r.failure
	default:
		return nil
	}
}

// Close hands the leadership over, stops the replica and waits until its folder
// is free. Proposals that wait get ErrUnknown. The error is that of Err, or of
// closing the log.
func (r *Replica) Close() error {
	if err := r.MoveLeadership(context.Background()); err != nil {
		r.log.Info("closed as the leader", zap.Error(err))
	}
	return r.halt()
}

// halt stops the replica as it is.
func (r *Replica) halt() error {
	r.stopOnce.Do(func() { close(r.stop) })
	r.workers.Wait()
	return r.failure
}
