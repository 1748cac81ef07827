package replica

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// Index and term of the first snapshot of a group. It contains the initial members
// and is equal on all of them; replicas that join later receive it like any other.
const (
	bootstrapIndex uint64 = 1
	bootstrapTerm  uint64 = 1
)

// Bootstrap makes the replica an initial member of a new group. It must be called on
// every member with the same list. No member may have belonged to a group before;
// if this one has, the error is ErrAlreadyBootstrapped.
func (r *Replica) Bootstrap(ctx context.Context, members *raftpb.Membership) error {
	members = proto.CloneOf(members)
	_, err := r.do(ctx, newRequest(0, func(q *request) { r.startBootstrap(q, members) }))
	return err
}

func (r *Replica) startBootstrap(q *request, members *raftpb.Membership) {
	status := r.node.Status()
	if status.Membership != nil || status.LastIndex > 0 {
		r.finish(q, nil, ErrAlreadyBootstrapped)
		return
	}
	if findMember(members, r.id) == nil {
		r.finish(q, nil, errors.Wrap(ErrMembership, "replica is not in the list of members"))
		return
	}
	data, err := r.opts.StateMachine.Snapshot()
	if err != nil {
		r.finish(q, nil, errors.Wrap(err, "take snapshot"))
		return
	}
	snapshot := &raftpb.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: members, Data: data}
	hardState := r.bootstrapHardState()
	// Starting a node validates the list before it becomes durable.
	node, err := r.newNode(&wal.State{Self: r.id, HardState: hardState, Snapshot: snapshot})
	if err != nil {
		r.finish(q, nil, errors.Join(ErrMembership, err))
		return
	}
	if err := r.save(wal.Batch{Snapshot: snapshot, HardState: hardState}); err != nil {
		r.finish(q, nil, errors.Join(ErrUnknown, err))
		r.fail(err)
		return
	}
	r.node = node
	r.finish(q, nil, nil)
}

// bootstrapHardState keeps the term and the vote that the replica may already have
// given to another initial member.
func (r *Replica) bootstrapHardState() *raftpb.HardState {
	if r.hardState.GetTerm() < bootstrapTerm {
		return &raftpb.HardState{Term: bootstrapTerm, Commit: bootstrapIndex}
	}
	hardState := proto.CloneOf(r.hardState)
	hardState.Commit = bootstrapIndex
	return hardState
}

// AddLearner adds a replica that receives the log and does not vote. Like Promote
// and Remove it must be called on the leader (otherwise ErrNoLeader), is committed
// when it returns nil, and is idempotent. Only one change may be pending
// (ErrMembership).
func (r *Replica) AddLearner(ctx context.Context, member *raftpb.Member) error {
	learner := proto.CloneOf(member)
	learner.Learner = true
	return r.changeMembers(ctx, func(members *raftpb.Membership) error {
		present := findMember(members, learner.GetId())
		if present == nil {
			members.Members = append(members.Members, learner)
			return nil
		}
		if !present.GetLearner() {
			return errors.Wrap(ErrMembership, "is a voter")
		}
		present.Address = learner.GetAddress()
		return nil
	})
}

// Promote makes a caught-up learner a voter.
func (r *Replica) Promote(ctx context.Context, id *raftpb.ReplicaID) error {
	id = proto.CloneOf(id)
	return r.changeMembers(ctx, func(members *raftpb.Membership) error {
		present := findMember(members, id)
		if present == nil {
			return errors.Wrap(ErrMembership, "not a member")
		}
		present.Learner = false
		return nil
	})
}

// Remove removes a member from the group.
func (r *Replica) Remove(ctx context.Context, id *raftpb.ReplicaID) error {
	id = proto.CloneOf(id)
	return r.changeMembers(ctx, func(members *raftpb.Membership) error {
		kept := members.Members[:0]
		for _, m := range members.Members {
			if !sameReplica(m.GetId(), id) {
				kept = append(kept, m)
			}
		}
		members.Members = kept
		return nil
	})
}

func (r *Replica) changeMembers(ctx context.Context, change func(*raftpb.Membership) error) error {
	_, err := r.do(ctx, newRequest(0, func(q *request) { r.startChange(q, change) }))
	return err
}

func (r *Replica) startChange(q *request, change func(*raftpb.Membership) error) {
	status := r.node.Status()
	if status.Role != raft.RoleLeader {
		r.finish(q, nil, ErrNoLeader)
		return
	}
	if status.ChangePending {
		r.metrics.changePending.Inc(1)
		r.finish(q, nil, errors.Join(ErrMembership, raft.ErrChangePending))
		return
	}
	members := proto.CloneOf(status.Membership)
	if err := change(members); err != nil {
		r.finish(q, nil, err)
		return
	}
	if proto.Equal(members, status.Membership) {
		// Nothing to change, but only a quorum can confirm that this replica
		// still leads.
		r.startRead(q)
		return
	}
	index, term, err := r.node.ProposeMembership(members)
	if err != nil {
		r.metrics.countChangeRefusal(err)
		r.finish(q, nil, mapRaftError(err))
		return
	}
	r.awaitCommit(index, term, q)
}

func findMember(members *raftpb.Membership, id *raftpb.ReplicaID) *raftpb.Member {
	for _, m := range members.GetMembers() {
		if sameReplica(m.GetId(), id) {
			return m
		}
	}
	return nil
}
