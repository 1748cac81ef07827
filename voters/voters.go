package voters

import (
	"slices"
	"time"
)

// Replica identifies a replica. A host that lost its data directory returns with the
// same name and another incarnation.
type Replica struct {
	Name        string
	Incarnation uint64
}

// Member is a member of the group, as the leader sees it.
type Member struct {
	Replica
	// FailureDomain is that of its host, empty if unknown.
	FailureDomain string
	// Learner is set if it has no vote.
	Learner bool
	// Transient is set if it keeps its log in memory only. It must never vote.
	Transient bool
	// Active is set if it replied to the leader recently. InactiveFor is the time
	// since its last reply.
	Active      bool
	InactiveFor time.Duration
	// CaughtUp is set if it has the log and can be promoted.
	CaughtUp bool
}

// Kind is the kind of a change.
type Kind uint8

// Kinds of changes.
const (
	// None means no change.
	None Kind = iota
	// Promote gives a learner a vote.
	Promote
	// Remove removes a member from the group.
	Remove
)

// Reason is the reason for a change, or for none.
type Reason string

// Reasons.
const (
	// ReasonReplaced: another replica of the same name is active.
	ReasonReplaced Reason = "replaced"
	// ReasonUnreachable: a member was inactive for too long.
	ReasonUnreachable Reason = "gone"
	// ReasonCaughtUp: a learner has caught up.
	ReasonCaughtUp Reason = "caught_up"
	// ReasonNoChange: there is nothing to change.
	ReasonNoChange Reason = "settled"
	// ReasonPreviousIncarnationVotes: a learner has caught up, but the previous incarnation
	// of its host is still a voter.
	ReasonPreviousIncarnationVotes Reason = "former_votes"
	// ReasonDomainImbalance: a learner has caught up, but its promotion would make the
	// quorum depend on one failure domain.
	ReasonDomainImbalance Reason = "uneven"
	// ReasonMaxVoters: a learner has caught up, but the maximum number of voters is reached.
	ReasonMaxVoters Reason = "full"
)

// Change is a membership change.
type Change struct {
	Kind    Kind
	Replica Replica
	Reason  Reason
}

// Limits bounds the changes of NextChange.
type Limits struct {
	// VoterLimit is the maximum number of voters.
	VoterLimit int
	// MinActiveVoters is the number of active voters that the group needs for its fault
	// tolerance. An inactive voter is removed only if at least this many others are active.
	MinActiveVoters int
	// RemoveAfter is the time after which an inactive member is removed.
	RemoveAfter time.Duration
}

// NextChange returns the next membership change.
//
// Replaced and unreachable members are removed first: they count towards the quorum but
// cannot vote, so that the group tolerates fewer failures. Hosts lost one after the other,
// each replaced at another address, would otherwise cost the quorum.
func NextChange(members []Member, l Limits) Change {
	if previous, found := findReplaced(members); found {
		return Change{Kind: Remove, Replica: previous, Reason: ReasonReplaced}
	}
	if unreachable, found := findUnreachable(members, l); found {
		return Change{Kind: Remove, Replica: unreachable, Reason: ReasonUnreachable}
	}
	return nextPromotion(members, l)
}

// nextPromotion returns the next promotion of a learner.
func nextPromotion(members []Member, l Limits) Change {
	reason := ReasonNoChange
	var candidates []Member
	for _, m := range members {
		switch {
		case !promotable(m):
		case previousIncarnationVotes(members, m.Replica):
			reason = ReasonPreviousIncarnationVotes
		default:
			candidates = append(candidates, m)
		}
	}
	switch {
	case len(candidates) == 0:
		return Change{Reason: reason}
	case CountVoters(members) >= l.VoterLimit:
		return Change{Reason: ReasonMaxVoters}
	}
	if next := selectCandidate(candidates, members, l); next != nil {
		return Change{Kind: Promote, Replica: next.Replica, Reason: ReasonCaughtUp}
	}
	return Change{Reason: ReasonDomainImbalance}
}

// previousIncarnationVotes reports whether another incarnation of the host is a voter. A
// new leader considers all members active, so it cannot tell yet which one is lost. With
// votes for both, a group of three would become one of four that tolerates no further
// failure.
func previousIncarnationVotes(members []Member, r Replica) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return !m.Learner && m.Name == r.Name && m.Incarnation != r.Incarnation
	})
}

// CountVoters returns the number of voters.
func CountVoters(members []Member) int {
	count := 0
	for _, m := range members {
		if !m.Learner {
			count++
		}
	}
	return count
}

// findReplaced returns an inactive member whose name another, active member has.
func findReplaced(members []Member) (Replica, bool) {
	active := map[string]uint64{}
	for _, m := range members {
		if m.Active {
			active[m.Name] = m.Incarnation
		}
	}
	for _, m := range members {
		incarnation, found := active[m.Name]
		if found && !m.Active && incarnation != m.Incarnation {
			return m.Replica, true
		}
	}
	return Replica{}, false
}

// findUnreachable returns a member that is inactive for too long and may be removed.
func findUnreachable(members []Member, l Limits) (Replica, bool) {
	active := 0
	for _, m := range members {
		if m.Active && !m.Learner {
			active++
		}
	}
	for _, m := range members {
		if m.Active || m.InactiveFor < l.RemoveAfter {
			continue
		}
		if m.Learner || active >= l.MinActiveVoters {
			return m.Replica, true
		}
	}
	return Replica{}, false
}

func promotable(m Member) bool {
	return m.Learner && !m.Transient && m.Active && m.CaughtUp
}
