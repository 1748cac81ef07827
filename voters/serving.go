package voters

// ServingLoad is the number of serving members and of subscribers, as the leader sees
// them.
type ServingLoad struct {
	// Serving is the number of active members, learners included.
	Serving int
	// Subscribers is the number of processes subscribed to these members.
	Subscribers int
}

// ServingLimits bounds the number of members that serve subscribers.
type ServingLimits struct {
	// MinServing is the minimum number of serving members.
	MinServing int
	// MaxSubscribersPerMember is the maximum average number of subscribers per member.
	MaxSubscribersPerMember int
}

// Reasons why a host without a durable log becomes a member, or stays a standby.
const (
	// ReasonSufficient: the current members can serve all subscribers.
	ReasonSufficient Reason = "enough"
	// ReasonTooFewServing: too few members are active.
	ReasonTooFewServing Reason = "few_serve"
	// ReasonTooManySubscribers: there are too many subscribers per member.
	ReasonTooManySubscribers Reason = "many_subscribers"
)

// NeedsServingMember reports whether the group needs another member to serve subscribers,
// and why. A host without a durable log does not add fault tolerance, but costs each other
// member a link and a copy of all changes, so it is added only to serve.
func NeedsServingMember(s ServingLoad, l ServingLimits) (bool, Reason) {
	switch {
	case s.Serving < l.MinServing:
		return true, ReasonTooFewServing
	case s.Subscribers > s.Serving*l.MaxSubscribersPerMember:
		return true, ReasonTooManySubscribers
	}
	return false, ReasonSufficient
}

// CountActive returns the number of active members.
func CountActive(members []Member) int {
	count := 0
	for _, m := range members {
		if m.Active {
			count++
		}
	}
	return count
}
