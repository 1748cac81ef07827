package voters

import (
	"slices"
	"time"
)

// Replica names one life of a replica: a host that lost its data folder comes
// back under its name with another incarnation.
type Replica struct {
	Name        string
	Incarnation uint64
}

// Member is one member of the group as its leader sees it.
type Member struct {
	Replica
	// FailureDomain is where its host stands, empty if that is not known.
	FailureDomain string
	// Learner: it has no vote.
	Learner bool
	// Transient: it keeps its log in memory only and must never vote.
	Transient bool
	// Active: it answered the leader lately. Silent is how long it has not, as far
	// as the leader knows.
	Active      bool
	InactiveFor time.Duration
	// CaughtUp: its vote would hold up no commit.
	CaughtUp bool
}

// Kind tells what a change does.
type Kind uint8

// Kinds of changes.
const (
	// None: the members are as they should be.
	None Kind = iota
	// Promote gives a learner a vote.
	Promote
	// Remove takes a member out of the group.
	Remove
)

// Reason tells why a change is made, or why none is.
type Reason string

// Reasons.
const (
	// ReasonReplaced: another replica of the same name answers.
	ReasonReplaced Reason = "replaced"
	// ReasonUnreachable: a member has been silent for too long.
	ReasonUnreachable Reason = "gone"
	// ReasonCaughtUp: a learner has the log.
	ReasonCaughtUp Reason = "caught_up"
	// ReasonNoChange: there is nothing to change.
	ReasonNoChange Reason = "settled"
	// ReasonPreviousIncarnationVotes: a learner could vote, but its host's former replica does so far.
	ReasonPreviousIncarnationVotes Reason = "former_votes"
	// ReasonDomainImbalance: a learner could vote, but then the loss of its failure domain would
	// take the quorum.
	ReasonDomainImbalance Reason = "uneven"
	// ReasonMaxVoters: a learner could vote, but there are as many voters as may be.
	ReasonMaxVoters Reason = "full"
)

// Change is one change of the members.
type Change struct {
	Kind    Kind
	Replica Replica
	Reason  Reason
}

// Limits bound what Next does.
type Limits struct {
	// VoterLimit is how many voters there may be.
	VoterLimit int
	// MinActiveVoters is how many voters have to answer before one that is silent is taken
	// out: as many as the group needs for the losses that it is to bear.
	MinActiveVoters int
	// RemoveAfter is how long a member is silent before it is taken out.
	RemoveAfter time.Duration
}

// NextChange returns the next change of the members, at most one.
//
// Removing a replaced replica comes first: its vote counts towards the quorum
// but can never be given, so until it is gone the group bears one loss less. The
// same holds for a host that is gone for good, which nothing tells from one that
// is away for long: once enough others answer, it is taken out. Hosts that went one
// by one, each replaced at another address, would otherwise take the quorum with them.
func NextChange(members []Member, l Limits) Change {
	if former, found := replaced(members); found {
		return Change{Kind: Remove, Replica: former, Reason: ReasonReplaced}
	}
	if silent, found := gone(members, l); found {
		return Change{Kind: Remove, Replica: silent, Reason: ReasonUnreachable}
	}
	return promote(members, l)
}

// promote returns the next vote to be given.
func promote(members []Member, l Limits) Change {
	waits := ReasonNoChange
	var candidates []Member
	for _, m := range members {
		switch {
		case !promotable(m):
		case formerVotes(members, m.Replica):
			waits = ReasonPreviousIncarnationVotes
		default:
			candidates = append(candidates, m)
		}
	}
	switch {
	case len(candidates) == 0:
		return Change{Reason: waits}
	case CountVoters(members) >= l.VoterLimit:
		return Change{Reason: ReasonMaxVoters}
	}
	if next := spread(candidates, members, l); next != nil {
		return Change{Kind: Promote, Replica: next.Replica, Reason: ReasonCaughtUp}
	}
	return Change{Reason: ReasonDomainImbalance}
}

// formerVotes reports whether a former replica of a host still has its vote. A leader that
// has just been elected takes all members for active, so that it does not know yet which
// of two of one name is gone. With a vote for each, a group of three would be one of four
// that bears no further loss.
func formerVotes(members []Member, r Replica) bool {
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

// replaced returns a silent member whose name another, active member has.
func replaced(members []Member) (Replica, bool) {
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

// gone returns a member that has been silent for too long and can be spared.
func gone(members []Member, l Limits) (Replica, bool) {
	answering := 0
	for _, m := range members {
		if m.Active && !m.Learner {
			answering++
		}
	}
	for _, m := range members {
		if m.Active || m.InactiveFor < l.RemoveAfter {
			continue
		}
		if m.Learner || answering >= l.MinActiveVoters {
			return m.Replica, true
		}
	}
	return Replica{}, false
}

func promotable(m Member) bool {
	return m.Learner && !m.Transient && m.Active && m.CaughtUp
}
