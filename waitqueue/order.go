package waitqueue

// Order is a queueing discipline.
type Order uint8

// Orders.
const (
	// Shares is the discipline in use: priority with a least share for the less urgent,
	// fair between groups, routes and callers, with an admission test.
	Shares Order = iota
	// NewestFirst serves the newest item first and refuses items by their age.
	NewestFirst
	// StrictPriority serves the most urgent item first, among equals the newest.
	StrictPriority
	// EarliestObjective serves the earliest objective that can still be met, with an
	// admission test.
	EarliestObjective
)

// tested reports whether items are admitted only if they can be served in their time.
func (o Order) tested() bool { return o == Shares || o == EarliestObjective }

// level returns the priority that the order uses for an item.
func (o Order) level(priority int) int {
	if o == NewestFirst || o == EarliestObjective {
		return 0
	}
	return priority
}

// before reports whether an entry goes before another one of the same level.
func (q *Queue[K]) before(a, b *entry[K]) bool {
	switch q.order {
	case NewestFirst, StrictPriority:
		return a.number > b.number
	case Shares:
		if a.Refusable != b.Refusable {
			// A request on an open flow has nowhere else to go.
			return b.Refusable
		}
		s := &q.served[a.level]
		if x, y := s.group(&a.in), s.group(&b.in); x != y {
			return x < y
		}
		if x, y := s.route(&a.in), s.route(&b.in); x != y {
			return x < y
		}
		if x, y := s.caller(&a.in), s.caller(&b.in); x != y {
			return x < y
		}
		if a.Refusable && q.overloaded(a.level) {
			return a.number > b.number
		}
	}
	if a.lateAt != b.lateAt {
		return a.lateAt < b.lateAt
	}
	return a.number < b.number
}
