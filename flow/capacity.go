package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/capacitystate"
	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

// CapacityState returns whether the target is overloaded and what it has refused since.
func (a *Agent) CapacityState(now time.Duration) capacitystate.State {
	a.ObserveCapacity(now)
	return a.capacity.State(now)
}

// ObserveCapacity records whether openings wait. Call it after each packet, and every few
// milliseconds while openings are queued.
func (a *Agent) ObserveCapacity(now time.Duration) { a.capacity.Observe(now, a.QueueLen() > 0) }

// CountRefusal counts a verdict that is carried out, if it refuses an opening for lack of
// capacity.
func (a *Agent) CountRefusal(v *Verdict, key Key, now time.Duration) {
	if v.Action == Return && refusesForLoad(v.Reason) {
		a.capacity.Refuse(now, a.classOf(key))
	}
}

// refusesForLoad reports whether a reason means that the target lacks capacity.
func refusesForLoad(reason Reason) bool {
	switch reason {
	case ReasonQueueExpired, Reason(waitqueue.Full), Reason(waitqueue.TooLate), Reason(waitqueue.Displaced):
		return true
	}
	return false
}
