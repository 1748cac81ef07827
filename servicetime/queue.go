package servicetime

import "time"

// maxOverdue bounds the requests that Overdue looks at, the oldest ones.
const maxOverdue = 64

// Request is a request at the target. The zero value is not in a queue.
type Request struct {
	previous, next *Request
	// Expected is the service time that was expected when the request arrived.
	Expected  time.Duration
	startedAt time.Duration
	queued    bool
	started   bool
	// startUnknown: it started because another request was abandoned, which the target may
	// still run.
	startUnknown bool
}

// Queue has the requests at a target in order of arrival. The target runs the first ones, as
// many as it has slots. The zero Queue is empty.
type Queue struct {
	first, last *Request
	// waiting is the first request that has not started, nil if all have.
	waiting  *Request
	started  int
	expected time.Duration
}

// Expected returns the sum of the expected service times of all requests.
func (q *Queue) Expected() time.Duration { return q.expected }

// Arrive adds a request. Without slots, their number is unknown and each request starts at
// once.
func (q *Queue) Arrive(r *Request, expected time.Duration, slots int, now time.Duration) {
	if r.queued {
		return
	}
	*r = Request{previous: q.last, queued: true, Expected: expected}
	if q.last == nil {
		q.first = r
	} else {
		q.last.next = r
	}
	q.last = r
	q.expected += expected
	if q.waiting == nil {
		q.waiting = r
	}
	q.start(slots, now, false)
}

// Finish removes a request that the target has answered. It returns its service time, and
// false if that is not known.
func (q *Queue) Finish(r *Request, slots int, now time.Duration) (d time.Duration, known bool) {
	if !r.queued {
		return 0, false
	}
	d, known = now-r.startedAt, r.started && !r.startUnknown
	q.remove(r)
	q.start(slots, now, false)
	return d, known
}

// Abandon removes a request that nobody expects an answer to any more.
func (q *Queue) Abandon(r *Request, slots int, now time.Duration) {
	if r.queued {
		q.remove(r)
		q.start(slots, now, true)
	}
}

// Overdue returns by how much the requests that run exceed what was expected of them. Each
// counts limit at most: a request that never ends takes one slot, not the whole target.
func (q *Queue) Overdue(limit, now time.Duration) time.Duration {
	var sum time.Duration
	r := q.first
	for range maxOverdue {
		if r == nil || !r.started {
			break
		}
		sum += min(max(now-r.startedAt-r.Expected, 0), max(limit-r.Expected, 0))
		r = r.next
	}
	return sum
}

// start starts the next requests while there are slots.
func (q *Queue) start(slots int, now time.Duration, startUnknown bool) {
	for q.waiting != nil && (slots <= 0 || q.started < slots) {
		q.waiting.started, q.waiting.startedAt, q.waiting.startUnknown = true, now, startUnknown
		q.waiting = q.waiting.next
		q.started++
	}
}

func (q *Queue) remove(r *Request) {
	if r.started {
		q.started--
	}
	if q.waiting == r {
		q.waiting = r.next
	}
	if r.previous == nil {
		q.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		q.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	q.expected -= r.Expected
	*r = Request{}
}
