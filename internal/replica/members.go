package replica

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// A group begins with a snapshot, equal at all its first members, that names
// them. So a replica that joins later gets the members the usual way.
const (
	foundingIndex uint64 = 1
	foundingTerm  uint64 = 1
)

// Bootstrap makes the replica a first member of a new group. Every member must be
// given the same list, with the identities of all of them, and none may have
// belonged to a group before; ErrFormed says that this one has.
func (r *Replica) Bootstrap(ctx context.Context, members *raftpb.Membership) error {
	members = proto.CloneOf(members)
	_, err := r.do(ctx, newRequest(0, func(q *request) { r.startForm(q, members) }))
	return err
}

func (r *Replica) startForm(q *request, members *raftpb.Membership) {
	status := r.node.Status()
	if status.Membership != nil || status.LastIndex > 0 {
		r.finish(q, nil, ErrAlreadyBootstrapped)
		return
	}
	if findMember(members, r.id) == nil {
		r.finish(q, nil, errors.Wrap(ErrMembership, "replica itself is not named"))
		return
	}
	data, err := r.opts.StateMachine.Snapshot()
	if err != nil {
		r.finish(q, nil, errors.Wrap(err, "snapshot"))
		return
	}
	snapshot := &raftpb.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: members, Data: data}
	hardState := r.foundingHardState()
	// A node that starts from the list checks it before it becomes durable.
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

// foundingHardState keeps the term and the vote that the replica already gave
// to another first member that was formed earlier.
func (r *Replica) foundingHardState() *raftpb.HardState {
	if r.hardState.GetTerm() < foundingTerm {
		return &raftpb.HardState{Term: foundingTerm, Commit: foundingIndex}
	}
	hardState := proto.CloneOf(r.hardState)
	hardState.Commit = foundingIndex
	return hardState
}

// AddLearner adds a replica that receives the log and does not vote. Like
// Promote and Remove it must be called where the group is led (ErrNoLeader
// elsewhere), is made when it returns nil, and is idempotent; one change of
// members is made at a time (ErrMembership).
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

// Promote makes a learner that has caught up a voter.
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

// Remove takes a member out of the group.
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
		// It is as asked, but only a quorum can confirm that it still is.
		r.startRead(q)
		return
	}
	index, term, err := r.node.ProposeMembership(members)
	if err != nil {
		r.metrics.countChangeRefusal(err)
		r.finish(q, nil, refusal(err))
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
