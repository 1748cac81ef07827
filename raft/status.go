package raft

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// Role is the role of a replica in its current term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleFollower:
		return "follower"
	case RolePreCandidate:
		return "pre-candidate"
	case RoleCandidate:
		return "candidate"
	case RoleLeader:
		return "leader"
	}
	return "unknown"
}

// Status is a view of a node for logs, metrics and decisions about membership.
type Status struct {
	Self *raftpb.ReplicaID
	// Leader is nil if none is known.
	Leader *raftpb.ReplicaID
	Role   Role
	Term   uint64
	// Commit, Applied and LastIndex are positions in the log.
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Membership is the current one, committed or not; nil if none is known.
	Membership *raftpb.Membership
	// ChangePending is set if Membership is not yet committed.
	ChangePending bool
	// Progress is set on the leader only, in the order of Membership.
	Progress []Progress
}

// Progress is the leader's view of a member.
type Progress struct {
	ID *raftpb.ReplicaID
	// Match is the last index known to be synced on the member.
	Match uint64
	// CaughtUp is set if a learner may be promoted.
	CaughtUp bool
	// Active is set if the member replied since the last quorum check.
	Active bool
	// Snapshot is set while a snapshot is in flight.
	Snapshot bool
}

// Status returns the current state. Its contents are shared with the node and
// must not be modified.
func (n *Node) Status() Status {
	s := Status{
		Self:          n.self,
		Leader:        n.leader,
		Role:          n.role,
		Term:          n.term,
		Commit:        n.log.commit,
		Applied:       n.log.applied,
		LastIndex:     n.log.lastIndex(),
		Membership:    n.membership(),
		ChangePending: n.membershipIndex() > n.log.commit,
	}
	for _, p := range n.progress {
		s.Progress = append(s.Progress, Progress{
			ID:       p.id,
			Match:    p.match,
			CaughtUp: n.caughtUp(p.key),
			Active:   p.active || p.key == n.key,
			Snapshot: p.state == stateSnapshot,
		})
	}
	return s
}
