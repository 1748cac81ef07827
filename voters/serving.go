package voters

// ServingLoad is what a group has to serve its subscribers with, as its leader sees it.
type ServingLoad struct {
	// Serving is how many members answer, learners included.
	Serving int
	// Subscribers is how many processes follow these members.
	Subscribers int
}

// ServingLimits bound how many members serve subscribers.
type ServingLimits struct {
	// MinServing is how many members have to serve, however few the subscribers are.
	MinServing int
	// MaxSubscribersPerMember is how many subscribers one member is to serve at most.
	MaxSubscribersPerMember int
}

// Reasons why a host that keeps no log becomes a member, or stands by.
const (
	// ReasonSufficient: the members that keep their log serve all subscribers.
	ReasonSufficient Reason = "enough"
	// ReasonTooFewServing: too few members answer.
	ReasonTooFewServing Reason = "few_serve"
	// ReasonTooManySubscribers: the members have more subscribers than they are to serve.
	ReasonTooManySubscribers Reason = "many_subscribers"
)

// NeedsServingMember reports whether another member is needed that serves subscribers. A host that
// keeps no log adds nothing to what a group can lose: it costs each other member a link
// and a copy of all that changes, so it is taken in for its service alone.
func NeedsServingMember(s ServingLoad, l ServingLimits) (bool, Reason) {
	switch {
	case s.Serving < l.MinServing:
		return true, ReasonTooFewServing
	case s.Subscribers > s.Serving*l.MaxSubscribersPerMember:
		return true, ReasonTooManySubscribers
	}
	return false, ReasonSufficient
}

// CountActive returns the number of members that answer.
func CountActive(members []Member) int {
	count := 0
	for _, m := range members {
		if m.Active {
			count++
		}
	}
	return count
}
