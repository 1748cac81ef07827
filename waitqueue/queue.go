package waitqueue

import (
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/qos"
)

const (
	// agedAfter is how long an item waits in an order without an admission test, and
	// agedPerSlot the number of items a slot: those of the queue of routes that state
	// nothing.
	agedAfter   = 450 * time.Millisecond
	agedPerSlot = 15
	// leastLeft is the part of the slots that live items have to leave for late ones to
	// wait. With less, an idle slot is a gap between two live items.
	leastLeft = 0.5
)

// entry is a waiting item.
type entry[K comparable] struct {
	Item[K]
	in    buckets
	level int
	// briefAt and promptAt are the ends of the parts of the objective that the item may
	// wait, lateAt and limit those of the item.
	briefAt, promptAt, lateAt, limit time.Duration
	// number is higher for later items.
	number uint64
	// late: the item misses its objective.
	late bool
	// refused is why the item will be refused, empty if it is not.
	refused Reason
}

// Queue has the waiting items of one target.
type Queue[K comparable] struct {
	order   Order
	size    int
	entries []entry[K]
	index   map[K]int
	number  uint64
	// live is the expected work of the live items by level, late that of the late ones.
	live [Priorities]time.Duration
	late time.Duration
	// served is the recent work by level, as of halvedAt.
	served   [Priorities]served
	halvedAt time.Duration
	pace     pace
	// checkAt is when the next item becomes late or has to be decided on. changed: the
	// items or the slots have changed since the last check, which was at slots.
	checkAt time.Duration
	changed bool
	slots   int
}

// New returns an empty queue for a number of items.
func New[K comparable](order Order, size int) *Queue[K] {
	return &Queue[K]{order: order, size: size, index: make(map[K]int)}
}

// Len returns the number of items.
func (q *Queue[K]) Len() int { return len(q.entries) }

// Has reports whether an item waits.
func (q *Queue[K]) Has(key K) bool { _, known := q.index[key]; return known }

// Work returns the expected work of all items that have not been refused.
func (q *Queue[K]) Work() time.Duration { return q.liveWork() + q.late }

func (q *Queue[K]) liveWork() time.Duration {
	var work time.Duration
	for _, w := range q.live {
		work += w
	}
	return work
}

// count adds the work of an item to that of its kind, or takes it off if sign is -1.
func (q *Queue[K]) count(e *entry[K], sign time.Duration) {
	switch {
	case e.refused != "":
	case e.late:
		q.late += sign * e.Work
	default:
		q.live[e.level] += sign * e.Work
	}
}

// Add adds an item. One whose key is in the queue is refused. It reports why the item is refused instead, with
// the work that goes before it, or an empty reason. An item that may not be refused is left out,
// to be served at once, if it would wait beyond its objective.
func (q *Queue[K]) Add(it Item[K], load Load, now time.Duration) (reason Reason, ahead time.Duration) {
	q.age(now)
	if q.Has(it.Key) {
		return Full, 0
	}
	e := entry[K]{Item: it, in: bucketsOf(it.Group, it.Route, it.Caller), number: q.number}
	q.setTimes(&e)
	if len(q.entries) >= q.size && !q.displaceWorst(&e) {
		q.served[e.level].refused += e.Work
		return Full, q.live[e.level]
	}
	switch {
	case !q.order.tested():
	case !it.Refusable:
		if reason, ahead = q.admitHeld(&e, load, now); reason != "" {
			return reason, ahead
		}
	default:
		if reason, ahead = q.admit(&e, load, now); reason != "" {
			q.served[e.level].refused += e.Work
			return reason, ahead
		}
	}
	q.number++
	q.index[it.Key] = len(q.entries)
	q.entries = append(q.entries, e)
	q.count(&e, 1)
	q.changed = true
	return "", ahead
}

// setTimes sets what follows from the class of an item.
func (q *Queue[K]) setTimes(e *entry[K]) {
	e.level = q.order.level(e.Level())
	e.briefAt, e.promptAt = e.waitUntil(briefPart), e.waitUntil(promptPart)
	e.lateAt, e.limit = e.Item.lateAt(), e.limitAt()
}

func (q *Queue[K]) refuse(e *entry[K], reason Reason) {
	q.count(e, -1)
	q.served[e.level].refused += e.Work
	e.refused = reason
	q.changed = true
}

// setLate records that an item misses its objective.
func (q *Queue[K]) setLate(e *entry[K]) {
	if !e.late {
		q.count(e, -1)
		e.late = true
		q.count(e, 1)
	}
}

// Decide decides on one item, or none. Call it until it returns None: after each packet, and
// every few milliseconds while items wait.
func (q *Queue[K]) Decide(load Load, now time.Duration) Decision[K] {
	if len(q.entries) == 0 {
		return Decision[K]{}
	}
	q.age(now)
	if load.Slots != q.slots {
		q.slots, q.changed = load.Slots, true
	}
	if q.changed || now >= q.checkAt {
		if d := q.check(load, now); d.Outcome != None {
			return d
		}
	}
	if !load.Free {
		return Decision[K]{}
	}
	i := q.next(load, now)
	if i < 0 {
		return Decision[K]{}
	}
	return q.serve(i, now)
}

// serve takes an item out to be served.
func (q *Queue[K]) serve(i int, now time.Duration) Decision[K] {
	e := &q.entries[i]
	if now > e.lateAt {
		q.setLate(e)
	}
	d := Decision[K]{Outcome: Serve, Item: e.Item, Late: e.late}
	q.served[e.level].add(&e.in, e.Work)
	if !e.late {
		q.pace.add(e.Work, now)
	}
	q.removeAt(i)
	return d
}

// next returns the index of the item to be served next, -1 if none.
func (q *Queue[K]) next(load Load, now time.Duration) int {
	var live, late [Priorities]int
	for i := range live {
		live[i], late[i] = -1, -1
	}
	for i := range q.entries {
		e := &q.entries[i]
		if e.refused != "" || load.NoOpenings && e.Refusable {
			continue
		}
		if now > e.lateAt && q.order.tested() {
			q.setLate(e)
		}
		best := &live[e.level]
		if e.late {
			best = &late[e.level]
		}
		if *best < 0 || q.before(e, &q.entries[*best]) {
			*best = i
		}
	}
	for level := 1; level < Priorities; level++ {
		if live[level] >= 0 && q.owed(level) {
			return live[level]
		}
	}
	for _, i := range live {
		if i >= 0 {
			return i
		}
	}
	if load.Idle {
		for _, i := range late {
			if i >= 0 {
				return i
			}
		}
	}
	return -1
}

// check judges all items anew. It decides on one that has to be refused or has waited as long
// as it may, or none.
func (q *Queue[K]) check(load Load, now time.Duration) Decision[K] {
	q.changed, q.checkAt = false, math.MaxInt64
	if !q.order.tested() {
		return q.checkAge(load, now)
	}
	for i := range q.entries {
		e := &q.entries[i]
		if e.refused == "" && e.Refusable {
			if reason := q.judge(e, load, now); reason != "" {
				q.refuse(e, reason)
			}
		}
		switch {
		case e.refused != "":
			q.changed = true
			return q.take(i)
		case !e.Refusable && now > e.limit:
			q.changed = true
			return q.serve(i, now)
		}
		if now > e.lateAt {
			q.setLate(e)
		}
		next := e.limit
		if !e.late {
			next = q.refuseAt(e)
		}
		q.checkAt = min(q.checkAt, next+1)
	}
	return Decision[K]{}
}

// checkAge refuses the oldest item if it has expired or there are too many.
func (q *Queue[K]) checkAge(load Load, now time.Duration) Decision[K] {
	oldest := 0
	for i := range q.entries {
		if q.entries[i].number < q.entries[oldest].number {
			oldest = i
		}
	}
	if now-q.entries[oldest].QueuedAt >= agedAfter || len(q.entries) > load.Slots*agedPerSlot {
		q.refuse(&q.entries[oldest], Full)
		return q.take(oldest)
	}
	q.checkAt = q.entries[oldest].QueuedAt + agedAfter
	return Decision[K]{}
}

// take takes a refused item out.
func (q *Queue[K]) take(i int) Decision[K] {
	e := &q.entries[i]
	d := Decision[K]{Outcome: Refuse, Item: e.Item, Reason: e.refused, Late: true, Ahead: q.live[e.level]}
	q.removeAt(i)
	return d
}

// CheckAt returns when Decide has to be called at the latest although nothing has changed.
func (q *Queue[K]) CheckAt() time.Duration { return q.checkAt }

// Take removes and returns the first item for which match returns true.
func (q *Queue[K]) Take(match func(it *Item[K]) bool) (it Item[K], found bool) {
	for i := range q.entries {
		if match(&q.entries[i].Item) {
			it = q.entries[i].Item
			q.removeAt(i)
			return it, true
		}
	}
	return it, false
}

// Remove removes an item. It reports whether the item waited.
func (q *Queue[K]) Remove(key K) bool {
	i, known := q.index[key]
	if known {
		q.removeAt(i)
	}
	return known
}

func (q *Queue[K]) removeAt(i int) {
	e := &q.entries[i]
	q.count(e, -1)
	delete(q.index, e.Key)
	last := len(q.entries) - 1
	if i != last {
		q.entries[i] = q.entries[last]
		q.index[q.entries[i].Key] = i
	}
	q.entries = q.entries[:last]
}

// SetClass replaces the class of the items for which class returns another one.
func (q *Queue[K]) SetClass(class func(key K) qos.Class) {
	for i := range q.entries {
		e := &q.entries[i]
		c := class(e.Key)
		if c == e.Class || !c.Stated() {
			continue
		}
		q.count(e, -1)
		e.Class = c
		e.late = false
		q.setTimes(e)
		q.count(e, 1)
		q.changed = true
	}
}

// age halves the recorded work once for each window that has passed.
func (q *Queue[K]) age(now time.Duration) {
	windows := (now - q.halvedAt) / fairWindow
	if windows <= 0 {
		return
	}
	q.halvedAt += windows * fairWindow
	for i := range q.served {
		q.served[i].halve(uint(min(windows, 63)))
	}
}
