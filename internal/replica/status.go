package replica

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// Status is a replica's view of itself and its group at one time. What it
// points to must not be changed.
type Status struct {
	Self *raftpb.ReplicaID
	// Leader is nil while none is known.
	Leader *raftpb.ReplicaID
	Term   uint64
	// Commit and Applied are log indexes.
	Commit  uint64
	Applied uint64
	// Formed says that the replica knows the members of its group.
	Formed  bool
	Members []MemberStatus
}

// MemberStatus is what the replica knows of one member. The other fields are
// known to a leader only.
type MemberStatus struct {
	Member *raftpb.Member
	// Match is the highest log index known to be on the member's disk.
	Match uint64
	// Active says that the member answered the leader within about an
	// election timeout.
	Active bool
	// CaughtUp says that a learner can be promoted.
	CaughtUp bool
}

// Leading says that the replica believes to lead the group. Another one may
// already do so; only ReadBarrier and Propose can tell.
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

// published is a status and a channel that is closed when a newer one replaces
// it.
type published struct {
	status  Status
	changed chan struct{}
	// reign ends when the leader or the term is no longer that of the status.
	reign context.Context
	end   context.CancelFunc
}

// succeed returns what is published after p, nil for the first status.
func (p *published) succeed(status Status) *published {
	next := &published{status: status, changed: make(chan struct{})}
	if p != nil && p.status.Term == status.Term && sameReplica(p.status.Leader, status.Leader) {
		next.reign, next.end = p.reign, p.end
		return next
	}
	next.reign, next.end = context.WithCancel(context.Background())
	return next
}

// Status returns the replica's view of the group.
func (r *Replica) Status() Status {
	return r.published.Load().status
}

// Watch returns the present status and a channel that is closed once it is no
// longer the present one.
func (r *Replica) Watch() (Status, <-chan struct{}) {
	p := r.published.Load()
	return p.status, p.changed
}

// WaitForLeader waits until a leader is known. It reports whether there is one.
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

// publish makes the node's present state visible.
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
	old := r.published.Load()
	if old != nil && old.status.equal(&status) {
		return
	}
	next := old.succeed(status)
	r.published.Store(next)
	if old == nil {
		return
	}
	close(old.changed)
	if next.reign != old.reign {
		old.end()
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

// reportChange logs what an operator wants to know of a change.
func (r *Replica) reportChange(old, now *Status) {
	if !sameReplica(old.Leader, now.Leader) {
		r.metrics.leaderChanges.Inc(1)
		r.log.Info("leader changed",
			zap.String("leader", now.Leader.GetName()),
			zap.Uint64("term", now.Term))
	}
	if len(old.Members) != len(now.Members) || membersDiffer(old.Members, now.Members) {
		r.log.Info("members changed", zap.Strings("members", describeMembers(now.Members)))
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

// MemberByID returns the member of that identity, or one with the configured
// address.
func (r *Replica) MemberByID(id *raftpb.ReplicaID) *raftpb.Member { return r.memberOf(r.Status(), id) }

// memberOf returns the member of a status, or one with the configured address.
func (r *Replica) memberOf(status Status, id *raftpb.ReplicaID) *raftpb.Member {
	for _, m := range status.Members {
		if sameReplica(m.Member.GetId(), id) {
			return m.Member
		}
	}
	return &raftpb.Member{Id: id, Address: r.opts.Addresses[id.GetName()]}
}
