package admission

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

const (
	// DefaultSlots is used when neither configuration nor announcement names
	// the number of slots.
	DefaultSlots = 4
	// minRemaining is the least time to the deadline with which a request is
	// admitted.
	minRemaining = 2 * time.Millisecond
	// initialServiceTime is assumed until the first request has completed.
	initialServiceTime = 20 * time.Millisecond
	// ewmaDivisor is the inverse of the weight of a new sample.
	ewmaDivisor = 8
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Action is the result of admission.
type Action uint8

// Actions of a Decision.
const (
	// Admitted means that the request has a slot now.
	Admitted Action = iota + 1
	// Queued means that the request waits for a slot; Dequeue or Abandon follows.
	Queued
	// Shed means that the request is refused.
	Shed
)

// Decision specifies how to handle one request.
type Decision struct {
	Action Action
	// Reason is set when the request is shed.
	Reason reason.Code
	// RetryAfter is the time after which a shed request may be retried.
	RetryAfter time.Duration
	// MaxWait is the longest time that a queued request may wait.
	MaxWait time.Duration
}

// Limits bounds a Limiter.
type Limits struct {
	// Slots is the number of requests that may run at the same time.
	Slots int
	// Queue is the number of requests that may wait.
	Queue int
	// MaxWait is the longest time that a request may wait.
	MaxWait time.Duration
}

// Limiter limits the concurrent and queued requests of one backend server.
type Limiter struct {
	limits      Limits
	running     int
	waiting     int
	serviceTime time.Duration
}

// NewLimiter returns a limiter without requests.
func NewLimiter(limits Limits) *Limiter {
	l := &Limiter{}
	l.SetLimits(limits)
	return l
}

// SetLimits changes the limits. Requests that run or wait are not affected.
func (l *Limiter) SetLimits(limits Limits) {
	if limits.Slots <= 0 {
		limits.Slots = DefaultSlots
	}
	l.limits = limits
}

// Running returns the number of requests that have a slot.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int { return l.waiting }

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.limits.Slots }

// ServiceTime returns the moving average of request durations.
func (l *Limiter) ServiceTime() time.Duration {
	if l.serviceTime == 0 {
		return initialServiceTime
	}
	return l.serviceTime
}

// Load returns the requests that run or wait, in per mille of the slots.
func (l *Limiter) Load() uint32 {
	return uint32((l.running + l.waiting) * 1000 / l.limits.Slots)
}

// Admit decides on a new request. remaining is the time to its deadline.
func (l *Limiter) Admit(remaining time.Duration) Decision {
	if remaining < minRemaining {
		return l.shed(reason.DeadlineTooClose)
	}
	if l.running < l.limits.Slots && l.waiting == 0 {
		return l.admitFree(remaining)
	}
	if l.limits.Queue <= 0 {
		return l.shed(reason.SlotsFull)
	}
	if l.waiting >= l.limits.Queue {
		return l.shed(reason.QueueFull)
	}
	expected := l.ExpectedWait()
	if expected > l.limits.MaxWait {
		return l.shed(reason.WaitTooLong)
	}
	if expected+l.ServiceTime() > remaining {
		return l.shed(reason.DeadlineTooClose)
	}
	l.waiting++
	return Decision{Action: Queued, MaxWait: min(l.limits.MaxWait, remaining)}
}

// admitFree decides on a request when a slot is free. An idle backend server
// always gets the request: otherwise no new service time would be observed.
func (l *Limiter) admitFree(remaining time.Duration) Decision {
	if l.running > 0 && l.ServiceTime() > remaining {
		return l.shed(reason.DeadlineTooClose)
	}
	l.running++
	return Decision{Action: Admitted}
}

// Dequeue moves a queued request to a free slot. It reports false if no slot is
// free or the queue is empty.
func (l *Limiter) Dequeue() bool {
	if l.waiting == 0 || l.running >= l.limits.Slots {
		return false
	}
	l.waiting--
	l.running++
	return true
}

// Abandon removes a request from the queue and returns the decision to shed it.
func (l *Limiter) Abandon(why reason.Code) Decision {
	l.waiting--
	return l.shed(why)
}

// Release frees a slot. took is the duration of the request, or 0 if it did not
// complete.
func (l *Limiter) Release(took time.Duration) {
	l.running--
	if took <= 0 {
		return
	}
	if l.serviceTime == 0 {
		l.serviceTime = took
		return
	}
	l.serviceTime += (took - l.serviceTime) / ewmaDivisor
}

// ExpectedWait returns the time that a new request would wait for a slot.
func (l *Limiter) ExpectedWait() time.Duration {
	ahead := l.running + l.waiting + 1 - l.limits.Slots
	if ahead <= 0 {
		return 0
	}
	return l.ServiceTime() * time.Duration(ahead) / time.Duration(l.limits.Slots)
}

// RetryAfter returns the time after which a refused request may be retried.
func (l *Limiter) RetryAfter() time.Duration {
	return min(max(l.ExpectedWait(), minRetryAfter), maxRetryAfter)
}

func (l *Limiter) shed(why reason.Code) Decision {
	return Decision{Action: Shed, Reason: why, RetryAfter: l.RetryAfter()}
}
