package waitqueue

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/qos"
)

const (
	// AttemptTimeout is when a caller whose opening is not answered ends the attempt and
	// opens a new flow.
	AttemptTimeout = 1400 * time.Millisecond
	// MaxHold is how long an item that may not be refused waits at most. Its sender retransmits
	// after 200 and 600 ms; from then on it waits longer for its own timer than for a slot.
	MaxHold = 600 * time.Millisecond
	// heldReserve is the number of service times that such an item leaves of its objective:
	// a busy target has one request a slot ahead of it, and service times vary.
	heldReserve = 3
	// promptPart is the part of the objective (one in promptPart) that an opening waits
	// before it is refused: another attempt of its caller can then still be served in time.
	promptPart = 4
	// briefPart is that part while all slots go to the priority of the opening and to more
	// urgent ones. Each opening that waits then keeps another one out, and the third
	// attempt of a caller, 150 to 200 ms after the first, has to be served at once.
	briefPart = 8
	// Priorities is the number of priorities that are told apart. All from the last one
	// on count as equal.
	Priorities = 5
)

// Item is an opening or a request that waits.
type Item[K comparable] struct {
	Key   K
	Class qos.Class
	// Group of the caller's failure domain, 0 if unknown.
	Group uint8
	// Route and Caller identify the route and the caller's address.
	Route, Caller uint64
	// QueuedAt is when the item arrived, SentAt when the caller first sent it.
	QueuedAt, SentAt time.Duration
	// Work is the expected service time.
	Work time.Duration
	// Refusable: the item may be refused. Otherwise it is served after MaxHold at the
	// latest.
	Refusable bool
}

// Level returns the priority as an index below Priorities.
func (it *Item[K]) Level() int { return int(min(it.Class.Priority, Priorities-1)) }

// limitAt returns the last time at which it is useful to serve the item.
func (it *Item[K]) limitAt() time.Duration {
	limit := AttemptTimeout
	if it.Class.Timeout > 0 {
		limit = min(limit, it.Class.Timeout-it.Work)
	}
	if it.Refusable {
		return it.SentAt + limit
	}
	if it.Class.Objective > 0 {
		limit = min(limit, it.Class.Objective-heldReserve*it.Work)
	}
	return min(it.SentAt+limit, it.QueuedAt+MaxHold)
}

// lateAt returns the last time at which the item can be served and meet its objective.
func (it *Item[K]) lateAt() time.Duration {
	if it.Class.Objective == 0 {
		return it.limitAt()
	}
	return min(it.SentAt+it.Class.Objective-it.Work, it.limitAt())
}

// waitUntil returns the end of a part of the objective, of the time that is left without one.
func (it *Item[K]) waitUntil(part time.Duration) time.Duration {
	objective := it.Class.Objective
	if objective == 0 {
		objective = it.limitAt() - it.SentAt
	}
	return min(it.SentAt+objective/part, it.lateAt())
}

// Reason is why an item is refused.
type Reason string

// Reasons.
const (
	// Full: the item stands behind more work than it has time for, or the queue has its
	// largest size.
	Full Reason = "queue_full"
	// TooLate: the item cannot meet the timeout of its route or of its caller's attempt.
	TooLate Reason = "timeout_unreachable"
	// Displaced: more urgent work, or that of a group with less, has taken its place.
	Displaced Reason = "displaced"
)

// Load is the state of the target.
type Load struct {
	// Slots is the number of requests that the target runs concurrently, 0 if unknown.
	Slots int
	// Ahead is the expected work of the requests that the target has.
	Ahead time.Duration
	// Free: the target takes another request. Idle: one of its slots is idle. NoOpenings:
	// the target takes no opening now, but requests of open flows.
	Free, Idle, NoOpenings bool
}

// Outcome is the decision on an item.
type Outcome uint8

// Outcomes.
const (
	// None: no item is decided on.
	None Outcome = iota
	// Serve the item.
	Serve
	// Refuse the item.
	Refuse
)

// Decision is the decision on one item.
type Decision[K comparable] struct {
	Outcome Outcome
	Item    Item[K]
	Reason  Reason
	// Late: the item misses its objective.
	Late bool
	// Ahead is the work that goes before the item, for the log.
	Ahead time.Duration
}
