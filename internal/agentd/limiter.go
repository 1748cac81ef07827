package agentd

import (
	"context"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/capacitystate"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// limiter assigns the slots of the backend server in order of arrival.
type limiter struct {
	mu    sync.Mutex
	state *admission.Limiter
	queue []*waiter
	// busyTime is the sum over requests of their running and queued time up to
	// lastChange.
	busyTime   time.Duration
	lastChange time.Time
	// capacity tells whether the backend server is overloaded, on a clock that starts at
	// createdAt.
	capacity  capacitystate.Tracker
	createdAt time.Time
}

// waiter is a queued request. Its channel is closed when it gets a slot.
type waiter struct {
	ready chan struct{}
}

func newLimiter(limits admission.Limits) *limiter {
	now := time.Now()
	return &limiter{state: admission.NewLimiter(limits), lastChange: now, createdAt: now}
}

func (l *limiter) setLimits(limits admission.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.SetLimits(limits)
	l.dispatch()
}

// acquire waits for a slot within the limits of the admission decision. The caller
// releases the slot.
func (l *limiter) acquire(ctx context.Context, remaining time.Duration) admission.Decision {
	decision, w := l.admit(remaining)
	if decision.Action != admission.Queued {
		return decision
	}
	timer := time.NewTimer(decision.MaxWait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return admission.Decision{Action: admission.Admitted}
	case <-timer.C:
		return l.abandon(w, reason.WaitTooLong)
	case <-ctx.Done():
		return l.abandon(w, ctxReason(ctx, reason.DeadlineInQueue, reason.CallerGone))
	}
}

func (l *limiter) admit(remaining time.Duration) (admission.Decision, *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBusyTime()
	decision := l.state.Admit(remaining)
	l.countRefusal(decision)
	if decision.Action != admission.Queued {
		return decision, nil
	}
	w := &waiter{ready: make(chan struct{})}
	l.queue = append(l.queue, w)
	return decision, w
}

// abandon removes a request from the queue. If it has got a slot in the meantime, it
// keeps the slot.
func (l *limiter) abandon(w *waiter, why reason.Code) admission.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBusyTime()
	for i, other := range l.queue {
		if other == w {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			decision := l.state.Abandon(why)
			l.countRefusal(decision)
			return decision
		}
	}
	return admission.Decision{Action: admission.Admitted}
}

// release frees a slot. took is 0 for a request that did not complete.
func (l *limiter) release(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBusyTime()
	l.state.Release(took)
	l.dispatch()
}

// updateBusyTime must be called before each change of the running or queued requests.
func (l *limiter) updateBusyTime() {
	now := time.Now()
	l.busyTime += time.Duration(l.state.Running()+l.state.Waiting()) * now.Sub(l.lastChange)
	l.lastChange = now
	l.capacity.Observe(now.Sub(l.createdAt), l.state.Waiting() > 0)
}

// countRefusal counts a request that is refused at lastChange for lack of capacity. Requests
// have no class on this data path.
func (l *limiter) countRefusal(d admission.Decision) {
	switch d.Reason {
	case reason.QueueFull, reason.WaitTooLong, reason.SlotsFull:
		l.capacity.Refuse(l.lastChange.Sub(l.createdAt), qos.Class{})
	}
}

// capacityState returns the state to announce of the backend server's capacity.
func (l *limiter) capacityState() *controlpb.CapacityState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBusyTime()
	now := l.lastChange.Sub(l.createdAt)
	return subscriber.NewCapacityState(l.capacity.State(now), now, l.state.Load())
}

// dispatch assigns free slots to the requests at the head of the queue.
func (l *limiter) dispatch() {
	for len(l.queue) > 0 && l.state.Dequeue() {
		close(l.queue[0].ready)
		l.queue = l.queue[1:]
	}
}

// limiterSnapshot is the state of a limiter at one time.
type limiterSnapshot struct {
	running, waiting, slots int
	retryAfter              time.Duration
	// busyTime is limiter.busyTime at takenAt.
	busyTime time.Duration
	takenAt  time.Time
}

// meanSince returns the mean number of running and queued requests since an earlier
// snapshot, and the time in between.
func (s limiterSnapshot) meanSince(earlier limiterSnapshot) (requests float64, over time.Duration) {
	over = s.takenAt.Sub(earlier.takenAt)
	if over <= 0 {
		return float64(s.running + s.waiting), 0
	}
	return float64(s.busyTime-earlier.busyTime) / float64(over), over
}

func (l *limiter) snapshot() limiterSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateBusyTime()
	return limiterSnapshot{
		busyTime:   l.busyTime,
		takenAt:    l.lastChange,
		running:    l.state.Running(),
		waiting:    l.state.Waiting(),
		slots:      l.state.Slots(),
		retryAfter: l.state.RetryAfter(),
	}
}
