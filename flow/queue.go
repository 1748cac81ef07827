package flow

import (
	"slices"
	"time"
)

// The load that the queue answers: many times more requests than slots come at once, as
// after a loss of all power. A target queues in the order of arrival, so that for seconds
// each request is answered too late, those that have just come as well. With openings that
// wait here, the newest let in first, requests that come after the burst are in time.
const (
	// admitPerSlot is how many requests a slot has, in progress or on their way, before
	// new flows wait: one in progress and one to follow it at once, since slots would be
	// idle between two requests.
	admitPerSlot = 2
	// SaturatedLoad is the load of such a target, as its agent reports it.
	SaturatedLoad = admitPerSlot * fullLoad
	// queuePerSlot bounds the openings that wait: what a slot takes in within queueFor,
	// at 30 ms each.
	queuePerSlot = 15
	// queueFor is how long an opening waits at most. Its caller sends a copy after 200
	// ms, which another target is offered, and a second one after 600.
	queueFor = 450 * time.Millisecond
	// expectFor is how long a flow that was let in counts as a request to come: more
	// than the two ways between caller and target within a region.
	expectFor = 50 * time.Millisecond
)

// queue has the openings that wait for their target, the oldest first, and the flows
// that were let in and have had no request yet.
type queue struct {
	openings []queued
	expected []expected
}

// queued is an opening that waits.
type queued struct {
	key   Key
	frame Frame
	since time.Duration
}

// expected is a flow whose first request is on its way.
type expected struct {
	flow  *agentFlow
	until time.Duration
}

// index returns the place of a flow's opening, -1 if there is none.
func (q *queue) index(key Key) int {
	return slices.IndexFunc(q.openings, func(one queued) bool { return one.key == key })
}

// take removes the opening at a place.
func (q *queue) take(i int) queued {
	one := q.openings[i]
	q.openings = slices.Delete(q.openings, i, i+1)
	return one
}

// drop forgets the opening of a flow that its caller has opened with another target.
func (q *queue) drop(key Key) {
	if i := q.index(key); i >= 0 {
		q.take(i)
	}
}

// expect notes that a flow was let in.
func (q *queue) expect(f *agentFlow, now time.Duration) {
	q.expected = append(q.expected, expected{flow: f, until: now + expectFor})
}

// coming counts the flows whose first request is on its way.
func (q *queue) coming(now time.Duration) int {
	q.expected = slices.DeleteFunc(q.expected, func(e expected) bool {
		return now >= e.until || e.flow.sent || e.flow.callerDone
	})
	return len(q.expected)
}

// busy reports whether the target has as much to do as its slots take in soon. One whose
// slots are not known never is.
func (a *Agent) busy(now time.Duration) bool {
	coming := a.queue.coming(now)
	slots := a.server.Slots
	return slots > 0 && a.running+coming >= slots*admitPerSlot
}

// queueOpening has an opening wait.
func (a *Agent) queueOpening(m Frame, key Key, now time.Duration) Verdict {
	if i := a.queue.index(key); i >= 0 {
		a.queue.openings[i].frame = m
		return Verdict{Action: Drop, Reason: ReasonQueued}
	}
	a.queue.openings = append(a.queue.openings, queued{key: key, frame: m, since: now})
	return Verdict{Action: Wait, Reason: ReasonQueued}
}

// QueueLen returns the number of openings that wait.
func (a *Agent) QueueLen() int { return len(a.queue.openings) }

// NextQueued decides on one opening that waits, until it reports false: on the oldest if it has
// waited for too long or too many do, else on the newest if the target has room, or takes
// no more flows at all. The verdict is on the packet kept for the flow. Ask after each
// packet, and every few milliseconds while openings wait.
func (a *Agent) NextQueued(now time.Duration) (Verdict, Packet, bool) {
	q := &a.queue
	last := len(q.openings) - 1
	if last < 0 {
		return Verdict{}, Packet{}, false
	}
	if oldest := q.openings[0]; now-oldest.since >= queueFor || last >= a.server.Slots*queuePerSlot {
		q.take(0)
		return spent(oldest, ReasonQueueExpired), Packet{Key: oldest.key, Flags: SYN}, true
	}
	newest := q.openings[last]
	if a.refuses(newest.frame) == "" && (a.busy(now) || a.warmup.spent(now)) {
		return Verdict{}, Packet{}, false
	}
	q.take(last)
	p := Packet{Key: newest.key, Flags: SYN}
	v := a.accept(a.flows[p.Key], newest.frame, p, now)
	if v.Action == Reset {
		v = spent(newest, v.Reason)
	}
	v.UseCopy = true
	return v, p, true
}

// spent sends an opening that has waited back to its entry host. Only that knows whether
// the caller has opened the flow with another target meanwhile.
func spent(one queued, reason Reason) Verdict {
	return Verdict{Action: Return, Reason: reason, To: one.frame.Entry, Frame: Frame{Kind: Missed, Entry: one.frame.Entry}, UseCopy: true}
}
