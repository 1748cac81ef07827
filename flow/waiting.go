package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

const (
	// maxWaiting bounds the openings and requests that wait, so that their packets fit
	// into WaitingPackets.
	maxWaiting = maxWaitingPackets
	// defaultServiceTime is the expected service time of a route that nothing is known of.
	defaultServiceTime = 30 * time.Millisecond
	// meanWeight is the weight of one item (one in meanWeight) in the mean expected
	// service time: the requests of a target at one time.
	meanWeight = 8
)

// copySentAfter is when a caller sends an opening and its two copies.
var copySentAfter = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// ServiceTimes has the service times of requests at the target.
type ServiceTimes interface {
	// Expected returns the expected service time of a request of the route with this
	// public address.
	Expected(public Endpoint) time.Duration
}

type unknownServiceTimes struct{}

func (unknownServiceTimes) Expected(Endpoint) time.Duration { return defaultServiceTime }

// SetServiceTimes sets where expected service times come from. Without it each is 30 ms.
func (a *Agent) SetServiceTimes(t ServiceTimes) { a.waiting.times = t }

// waiting has the openings and the requests of open flows that wait beside a busy target, of
// routes that state an objective or a timeout.
type waiting struct {
	queue *waitqueue.Queue[Key]
	times ServiceTimes
	// mean is the moving average of expected service times.
	mean time.Duration
	// openings has the frames of waiting openings, requests the waiting requests by flow.
	openings map[Key]Frame
	requests map[Key]*openRequest
	// due has the flows whose request must not wait any longer.
	due []Key
	// free has unused requests.
	free []*openRequest
	// recheck is set if an item may wait that must not: the state of the target has
	// changed, or an opening has arrived while the target was unhealthy.
	recheck bool
	// turn is set if the next free slot is for an opening of a route that states nothing.
	turn bool
}

func newWaiting() waiting {
	return waiting{
		queue:    waitqueue.New[Key](waitqueue.Shares, maxWaiting),
		times:    unknownServiceTimes{},
		mean:     defaultServiceTime,
		openings: make(map[Key]Frame),
		requests: make(map[Key]*openRequest),
	}
}

// updateOpening replaces the frame of a waiting opening by that of a copy. It reports whether
// the opening waits. A copy that the entry host sent to another agent goes back at once: the
// entry host waits for the refusals of both, and the opening is refused only once.
func (a *Agent) updateOpening(m Frame, key Key) (Verdict, bool) {
	old, waits := a.waiting.openings[key]
	if !waits {
		return Verdict{}, false
	}
	if a.firstAgent(old) != a.firstAgent(m) {
		v := returned(m, ReasonQueued)
		// The entry host must not take it for a sign of too little room.
		v.Frame.Service = 0
		return v, true
	}
	a.waiting.openings[key] = m
	return Verdict{Action: Drop, Reason: ReasonQueued}, true
}

// firstAgent returns the agent that the entry host sent an opening to.
func (a *Agent) firstAgent(m Frame) Endpoint {
	if m.Hops > 0 {
		return m.Alternate
	}
	return a.self
}

// PacketLost records that a packet that was to wait could not be kept: its next copy counts as
// the first one.
func (a *Agent) PacketLost(p Packet) {
	r := a.waiting.requests[p.Key]
	if r == nil || r.count == 1 {
		a.waiting.remove(p.Key)
		return
	}
	r.forget(p.Seq)
}

// dropOpening removes the opening of a flow that its caller has opened with another target.
func (w *waiting) dropOpening(key Key) {
	if _, known := w.openings[key]; known {
		w.remove(key)
	}
}

// remove removes what waits of a flow.
func (w *waiting) remove(key Key) {
	w.queue.Remove(key)
	delete(w.openings, key)
	if r := w.requests[key]; r != nil {
		delete(w.requests, key)
		w.free = append(w.free, r)
	}
}

// item returns the item of a packet that waits.
func (a *Agent) item(p Packet, group uint8, sentAt, now time.Duration, refusable bool) waitqueue.Item[Key] {
	caller := p.Key.Caller.IP
	return waitqueue.Item[Key]{
		Key:       p.Key,
		Class:     a.classOf(p.Key),
		Group:     group,
		Route:     p.Key.Public.salt(),
		Caller:    Endpoint{IP: caller}.salt(),
		QueuedAt:  now,
		SentAt:    sentAt,
		Work:      a.waiting.times.Expected(p.Key.Public),
		Refusable: refusable,
	}
}

// add adds an item to the queue.
func (a *Agent) add(it waitqueue.Item[Key], now time.Duration) (Reason, time.Duration) {
	a.waiting.mean += (it.Work - a.waiting.mean) / meanWeight
	reason, ahead := a.waiting.queue.Add(it, a.targetLoad(now), now)
	return Reason(reason), ahead
}

// await adds an opening to the queue, or refuses it.
func (a *Agent) await(m Frame, p Packet, now time.Duration) Verdict {
	copies := min(int(p.Ack), len(copySentAfter)-1)
	it := a.item(p, m.Group, now-copySentAfter[copies], now, true)
	reason, ahead := a.add(it, now)
	if reason != "" {
		v := returned(m, reason)
		v.Waiting = Waiting{Decided: true, Class: it.Class, Ahead: ahead, Work: it.Work, Late: true}
		return v
	}
	a.waiting.openings[p.Key] = m
	a.waiting.recheck = a.waiting.recheck || a.server.Unhealthy
	return Verdict{Action: Wait, Reason: ReasonQueued}
}

// targetLoad returns the state of the target for the queue.
func (a *Agent) targetLoad(now time.Duration) waitqueue.Load {
	slots := a.server.Slots
	taken := a.running + a.queue.pendingRequests(now)
	busy := a.busy(now)
	return waitqueue.Load{
		Slots: slots,
		// A request in progress has on average half of its work left.
		Ahead:      (time.Duration(2*taken) - time.Duration(min(taken, slots))) * a.waiting.mean / 2,
		Free:       !busy && (!a.waiting.turn || len(a.queue.openings) == 0),
		Idle:       taken < slots,
		NoOpenings: a.warmup.refuse(now),
	}
}

// nextWaiting returns the verdict on one opening or request that waits, or false.
func (a *Agent) nextWaiting(now time.Duration) (Verdict, Packet, bool) {
	w := &a.waiting
	for len(w.due) > 0 {
		key := w.due[len(w.due)-1]
		w.due = w.due[:len(w.due)-1]
		if w.requests[key] != nil {
			it, _ := w.queue.Take(func(it *waitqueue.Item[Key]) bool { return it.Key == key })
			v, p := a.releaseRequest(it, now)
			return v, p, true
		}
	}
	if it, found := a.takeUnservable(now); found {
		if !it.Refusable {
			v, p := a.releaseRequest(it, now)
			return v, p, true
		}
		v, p := a.admitOpening(it, now)
		return v, p, true
	}
	d := w.queue.Decide(a.targetLoad(now), now)
	var v Verdict
	var p Packet
	switch {
	case d.Outcome == waitqueue.None:
		return Verdict{}, Packet{}, false
	case d.Outcome == waitqueue.Refuse:
		p = Packet{Key: d.Item.Key, Flags: SYN}
		v = returned(w.openings[p.Key], Reason(d.Reason))
		v.UseCopy = true
		delete(w.openings, p.Key)
	case d.Item.Refusable:
		v, p = a.admitOpening(d.Item, now)
		w.turn = len(a.queue.openings) > 0
	default:
		v, p = a.releaseRequest(d.Item, now)
	}
	v.Waiting.Ahead, v.Waiting.Late = d.Ahead, d.Late
	v.Waiting.describe(&d.Item, now)
	return v, p, true
}

// describe records the item that a verdict ends the waiting of.
func (w *Waiting) describe(it *waitqueue.Item[Key], now time.Duration) {
	w.Decided, w.Class, w.Waited, w.Work = true, it.Class, now-it.QueuedAt, it.Work
}

// takeUnservable takes out an item that must not wait: the target takes no new flows, is
// unhealthy, or its slots are unknown.
func (a *Agent) takeUnservable(now time.Duration) (waitqueue.Item[Key], bool) {
	s := a.server
	if !a.waiting.recheck {
		return waitqueue.Item[Key]{}, false
	}
	if s.State != Serving || s.Evacuated || s.Slots == 0 {
		cold := s.Slots == 0 && s.State == Serving && !s.Evacuated && a.warmup.refuse(now)
		return a.waiting.queue.Take(func(it *waitqueue.Item[Key]) bool { return !cold || !it.Refusable })
	}
	it, found := a.waiting.queue.Take(func(it *waitqueue.Item[Key]) bool {
		m := a.waiting.openings[it.Key]
		if it.Refusable && m.Service != s.Service {
			return true
		}
		return s.Unhealthy && (!it.Refusable || m.Hops < maxHops && a.canForward(m))
	})
	a.waiting.recheck = found
	return it, found
}

// admitOpening delivers a waiting opening, or hands it on.
func (a *Agent) admitOpening(it waitqueue.Item[Key], now time.Duration) (Verdict, Packet) {
	p := Packet{Key: it.Key, Flags: SYN}
	m := a.waiting.openings[it.Key]
	delete(a.waiting.openings, it.Key)
	var v Verdict
	if a.server.Unhealthy && a.refusalReason(m) == "" && m.Hops < maxHops && a.canForward(m) {
		v = a.forward(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, ReasonUnhealthy)
	} else {
		v = a.withGroup(a.accept(a.flows[p.Key], m, p, now), m.Group)
	}
	v.UseCopy = true
	v.Waiting.describe(&it, now)
	return v, p
}

// returned returns an opening to its entry host, which knows whether the caller has opened the
// flow with another target meanwhile. If it was forwarded, the frame names the agent that the
// entry host sent it to. Agents of earlier releases do not name the service: the entry host takes
// what they return as no evidence, since they return it late.
func returned(m Frame, reason Reason) Verdict {
	missed := Frame{Kind: Missed, Hops: m.Hops, Service: m.Service, Entry: m.Entry}
	if m.Hops > 0 {
		missed.Alternate = m.Alternate
	}
	return Verdict{Action: Return, Reason: reason, To: m.Entry, Frame: missed}
}

// NextCheck returns when NextQueued has to be called although no packet has arrived, zero if
// nothing waits that is decided on by time.
func (a *Agent) NextCheck() time.Duration {
	if a.waiting.queue.Len() == 0 {
		return 0
	}
	return a.waiting.queue.CheckAt()
}

// priorityLabels are the metric labels of priorities.
var priorityLabels = [waitqueue.Priorities]string{"0", "1", "2", "3", "other"}

// PriorityLabel returns the priority of a class as a metric label: 0 to 3, or other.
func PriorityLabel(c qos.Class) string {
	return priorityLabels[min(c.Priority, waitqueue.Priorities-1)]
}
