package flow

import (
	"slices"
	"time"
)

// In a burst of openings a target that queues in order of arrival responds too late to all
// requests, new ones included. The agent therefore queues openings and admits the newest
// first, so that requests after the burst are served in time.
const (
	// admitPerSlot is how many requests each slot has, in progress or expected, before
	// new flows are queued: one in progress, and the next one to keep the slot busy.
	admitPerSlot = 2
	// SaturatedLoad is the reported load of a target from which on new flows are queued.
	SaturatedLoad = admitPerSlot * fullLoad
	// queuePerSlot bounds the queued openings: what a slot serves within queueTimeout
	// at 30 ms a request.
	queuePerSlot = 15
	// queueTimeout is how long an opening is queued at most. The caller retransmits it
	// after 200 ms, which offers it to another target, and after 600 ms.
	queueTimeout = 450 * time.Millisecond
	// expectTimeout is how long an admitted flow counts as a request: more than a
	// round trip between caller and target within a region.
	expectTimeout = 50 * time.Millisecond
)

// queue has the queued openings, oldest first, and the admitted flows without a request
// so far.
type queue struct {
	openings []queued
	expected []expected
}

// queued is a queued opening.
type queued struct {
	key      Key
	frame    Frame
	queuedAt time.Duration
}

// expected is a flow whose first request is expected.
type expected struct {
	flow  *agentFlow
	until time.Duration
}

// index returns the index of a flow's opening, -1 if it is not queued.
func (q *queue) index(key Key) int {
	return slices.IndexFunc(q.openings, func(opening queued) bool { return opening.key == key })
}

// remove removes the opening at an index.
func (q *queue) remove(i int) queued {
	opening := q.openings[i]
	q.openings = slices.Delete(q.openings, i, i+1)
	return opening
}

// drop removes the opening of a flow that its caller has opened with another target.
func (q *queue) drop(key Key) {
	if i := q.index(key); i >= 0 {
		q.remove(i)
	}
}

// expectRequest records that a flow was admitted.
func (q *queue) expectRequest(f *agentFlow, now time.Duration) {
	q.expected = append(q.expected, expected{flow: f, until: now + expectTimeout})
}

// pendingRequests counts the flows whose first request is expected.
func (q *queue) pendingRequests(now time.Duration) int {
	q.expected = slices.DeleteFunc(q.expected, func(e expected) bool {
		return now >= e.until || e.flow.dataSeen || e.flow.callerDone
	})
	return len(q.expected)
}

// busy reports whether the target has enough requests for its slots, never if these are
// unknown.
func (a *Agent) busy(now time.Duration) bool {
	pendingRequests := a.queue.pendingRequests(now)
	slots := a.server.Slots
	return slots > 0 && a.running+pendingRequests >= slots*admitPerSlot
}

// enqueue adds an opening to the queue.
func (a *Agent) enqueue(m Frame, key Key, now time.Duration) Verdict {
	if i := a.queue.index(key); i >= 0 {
		a.queue.openings[i].frame = m
		return Verdict{Action: Drop, Reason: ReasonQueued}
	}
	a.queue.openings = append(a.queue.openings, queued{key: key, frame: m, queuedAt: now})
	return Verdict{Action: Wait, Reason: ReasonQueued}
}

// QueueLen returns the number of queued openings and of waiting requests of open flows.
func (a *Agent) QueueLen() int { return len(a.queue.openings) + a.waiting.queue.Len() }

// Queues reports whether an opening or a request of a flow is queued.
func (a *Agent) Queues(key Key) bool { return a.queue.index(key) >= 0 || a.waiting.queue.Has(key) }

// NextQueued returns the verdict on one queued opening, or false. It refuses the oldest
// opening if it has expired or the queue is full, otherwise it decides on the newest if
// the target is not busy or takes no new flows at all. The verdict applies to the
// buffered packet. Call it after each packet, and every few milliseconds while openings
// are queued. Openings and requests of routes that state an objective or a timeout are decided
// on by package waitqueue, those of other routes take turns with them.
func (a *Agent) NextQueued(now time.Duration) (Verdict, Packet, bool) {
	if a.waiting.queue.Len() > 0 {
		if v, p, ok := a.nextWaiting(now); ok {
			return v, p, true
		}
	}
	return a.nextNewest(now)
}

// nextNewest returns the verdict on one opening of a route that states nothing, or false.
func (a *Agent) nextNewest(now time.Duration) (Verdict, Packet, bool) {
	q := &a.queue
	last := len(q.openings) - 1
	if last < 0 {
		return Verdict{}, Packet{}, false
	}
	if oldest := q.openings[0]; now-oldest.queuedAt >= queueTimeout || last >= a.server.Slots*queuePerSlot {
		q.remove(0)
		return refuse(oldest, ReasonQueueExpired), Packet{Key: oldest.key, Flags: SYN}, true
	}
	newest := q.openings[last]
	if a.refusalReason(newest.frame) == "" && (a.busy(now) || a.warmup.refuse(now)) {
		return Verdict{}, Packet{}, false
	}
	q.remove(last)
	a.waiting.turn = false
	p := Packet{Key: newest.key, Flags: SYN}
	v := a.withGroup(a.accept(a.flows[p.Key], newest.frame, p, now), newest.frame.Group)
	v.UseCopy = true
	return v, p, true
}

// refuse returns a queued opening to its entry host, which knows whether the caller has
// opened the flow with another target meanwhile. Agents of earlier releases do not name the
// service: the entry host takes what they return as no evidence, since they return it late.
func refuse(opening queued, reason Reason) Verdict {
	v := returned(opening.frame, reason)
	v.UseCopy = true
	return v
}
