package replica

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// Status is a replica's view of itself and its group. Its contents must not be
// modified.
type Status struct {
	Self *raftpb.ReplicaID
	// Leader is nil while none is known.
	Leader *raftpb.ReplicaID
	Term   uint64
	// Commit and Applied are log indexes.
	Commit  uint64
	Applied uint64
	// Formed is set once the replica knows the members of its group.
	Formed  bool
	Members []MemberStatus
}

// MemberStatus is the replica's view of one member. The fields after Member are
// set on the leader only.
type MemberStatus struct {
	Member *raftpb.Member
	// Match is the highest log index known to be synced on the member.
	Match uint64
	// Active is set if the member replied to the leader within about an election
	// timeout.
	Active bool
	// CaughtUp is set if a learner can be promoted.
	CaughtUp bool
}

// Leading reports whether the replica believes that it leads the group. Another one
// may have taken over already; only ReadBarrier and Propose detect that.
func (s *Status) Leading() bool {
	return s.Leader != nil && sameReplica(s.Leader, s.Self)
}

func (s *Status) equal(o *Status) bool {
	return sameReplica(s.Leader, o.Leader) &&
		s.Term == o.Term &&
		s.Commit == o.Commit &&
		s.Applied == o.Applied &&
		s.Formed == o.Formed &&
		slices.Equal(s.Members, o.Members)
}

// publishedStatus is a status with a channel that is closed when a newer one
// replaces it.
type publishedStatus struct {
	status  Status
	changed chan struct{}
	// leaderCtx is canceled when the leader or the term changes.
	leaderCtx       context.Context
	cancelLeaderCtx context.CancelFunc
}

// nextStatus returns the successor of p, which is nil for the first status.
func (p *publishedStatus) nextStatus(status Status) *publishedStatus {
	next := &publishedStatus{status: status, changed: make(chan struct{})}
	if p != nil && p.status.Term == status.Term && sameReplica(p.status.Leader, status.Leader) {
		next.leaderCtx, next.cancelLeaderCtx = p.leaderCtx, p.cancelLeaderCtx
		return next
	}
	next.leaderCtx, next.cancelLeaderCtx = context.WithCancel(context.Background())
	return next
}

// Status returns the replica's view of the group.
func (r *Replica) Status() Status {
	return r.publishedStatus.Load().status
}

// Watch returns the current status and a channel that is closed when the status
// changes.
func (r *Replica) Watch() (Status, <-chan struct{}) {
	p := r.publishedStatus.Load()
	return p.status, p.changed
}

// WaitForLeader waits until a leader is known. It returns false if ctx ends or the
// replica stops first.
func (r *Replica) WaitForLeader(ctx context.Context) bool {
	for {
		status, changed := r.Watch()
		if status.Leader != nil {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-r.stopped:
			return false
		}
	}
}

// publish publishes the current state of the node.
func (r *Replica) publish() {
	n := r.node.Status()
	status := Status{
		Self:    r.id,
		Leader:  n.Leader,
		Term:    n.Term,
		Commit:  n.Commit,
		Applied: r.applied,
		Formed:  n.Membership != nil,
		Members: memberStatuses(n),
	}
	old := r.publishedStatus.Load()
	if old != nil && old.status.equal(&status) {
		return
	}
	next := old.nextStatus(status)
	r.publishedStatus.Store(next)
	if old == nil {
		return
	}
	close(old.changed)
	if next.leaderCtx != old.leaderCtx {
		old.cancelLeaderCtx()
	}
	r.reportChange(&old.status, &status)
}

func memberStatuses(n raft.Status) []MemberStatus {
	members := n.Membership.GetMembers()
	statuses := make([]MemberStatus, 0, len(members))
	for _, m := range members {
		s := MemberStatus{Member: m}
		for _, p := range n.Progress {
			if !sameReplica(p.ID, m.GetId()) {
				continue
			}
			s.Match = p.Match
			s.Active = p.Active
			s.CaughtUp = p.CaughtUp
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// reportChange logs changes of the leader and of the members.
func (r *Replica) reportChange(old, current *Status) {
	if !sameReplica(old.Leader, current.Leader) {
		r.metrics.leaderChanges.Inc(1)
		r.log.Info("leader changed",
			zap.String("leader", current.Leader.GetName()),
			zap.Uint64("term", current.Term))
	}
	if len(old.Members) != len(current.Members) || membersDiffer(old.Members, current.Members) {
		r.log.Info("members changed", zap.Strings("members", describeMembers(current.Members)))
	}
}

func membersDiffer(a, b []MemberStatus) bool {
	for i := range a {
		if a[i].Member != b[i].Member {
			return true
		}
	}
	return false
}

func describeMembers(members []MemberStatus) []string {
	var texts []string
	for _, m := range members {
		text := m.Member.GetId().GetName()
		if m.Member.GetLearner() {
			text += " (learner)"
		}
		texts = append(texts, text)
	}
	return texts
}

// MemberByID returns the member with the identity id, or one with the configured
// address if it is unknown.
func (r *Replica) MemberByID(id *raftpb.ReplicaID) *raftpb.Member { return r.memberOf(r.Status(), id) }

// memberOf is MemberByID for a given status.
func (r *Replica) memberOf(status Status, id *raftpb.ReplicaID) *raftpb.Member {
	for _, m := range status.Members {
		if sameReplica(m.Member.GetId(), id) {
			return m.Member
		}
	}
	return &raftpb.Member{Id: id, Address: r.opts.Addresses[id.GetName()]}
}
