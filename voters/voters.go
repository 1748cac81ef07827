package voters

// Replica names one life of a replica: a host that lost its data folder comes
// back under its name with another incarnation.
type Replica struct {
	Name        string
	Incarnation uint64
}

// Member is one member of the group as its leader sees it.
type Member struct {
	Replica
	// Learner: it has no vote.
	Learner bool
	// Transient: it keeps its log in memory only and must never vote.
	Transient bool
	// Active: it answered the leader lately.
	Active bool
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
	// ReasonCaughtUp: a learner has the log.
	ReasonCaughtUp Reason = "caught_up"
	// ReasonSettled: there is nothing to change.
	ReasonSettled Reason = "settled"
	// ReasonFull: a learner could vote, but there are as many voters as may be.
	ReasonFull Reason = "full"
)

// Change is one change of the members.
type Change struct {
	Kind    Kind
	Replica Replica
	Reason  Reason
}

// Next returns the next change of the members, at most one. limit is how many
// voters there may be.
//
// Removing a replaced replica comes first: its vote counts towards the quorum
// but can never be given, so until it is gone the group bears one loss less.
func Next(members []Member, limit int) Change {
	if gone, found := replaced(members); found {
		return Change{Kind: Remove, Replica: gone, Reason: ReasonReplaced}
	}
	full := Count(members) >= limit
	for _, m := range members {
		if !promotable(m) {
			continue
		}
		if full {
			return Change{Reason: ReasonFull}
		}
		return Change{Kind: Promote, Replica: m.Replica, Reason: ReasonCaughtUp}
	}
	return Change{Reason: ReasonSettled}
}

// Count returns the number of voters.
func Count(members []Member) int {
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

func promotable(m Member) bool {
	return m.Learner && !m.Transient && m.Active && m.CaughtUp
}
