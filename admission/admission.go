package admission

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

const (
	// DefaultSlots is used when neither configuration nor announcement names
	// the number of slots.
	DefaultSlots = 4
	// minUseful is the shortest time to the deadline with which a request is
	// still handed to the backend server.
	minUseful = 2 * time.Millisecond
	// firstGuess stands in for the duration of requests until one was seen.
	firstGuess = 20 * time.Millisecond
	// smoothing is the weight of one more duration, one in so many.
	smoothing = 8
	// minComeBack and maxComeBack bound the time to come back.
	minComeBack = 50 * time.Millisecond
	maxComeBack = 10 * time.Second
)

// Action is what becomes of a request.
type Action uint8

// Actions of a Verdict.
const (
	// Admitted means that the request has a slot now.
	Admitted Action = iota + 1
	// Queued means that the request is queued; the caller calls Start or Leave.
	Queued
	// Shed means that the request is refused at once.
	Shed
)

// Decision is the decision on one request.
type Decision struct {
	Action Action
	// Reason is set when the request is shed.
	Reason reason.Code
	// RetryAfter is the time after which a shed request may be tried again.
	RetryAfter time.Duration
	// MaxWait is the longest time that a queued request may wait.
	MaxWait time.Duration
}

// Limits bounds a Gate.
type Limits struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the number of requests that may wait.
	Queue int
	// MaxWait is the longest time that a request may wait.
	MaxWait time.Duration
}

// Limiter counts the requests that run and wait on one backend server.
type Limiter struct {
	limits  Limits
	running int
	waiting int
	typical time.Duration
}

// NewLimiter returns an empty gate.
func NewLimiter(limits Limits) *Limiter {
	g := &Limiter{}
	g.SetLimits(limits)
	return g
}

// SetLimits changes the limits. Requests that run or wait are not affected.
func (g *Limiter) SetLimits(limits Limits) {
	if limits.Slots <= 0 {
		limits.Slots = DefaultSlots
	}
	g.limits = limits
}

// Running returns the number of requests that have a slot.
func (g *Limiter) Running() int { return g.running }

// Waiting returns the number of requests in the queue.
func (g *Limiter) Waiting() int { return g.waiting }

// Slots returns the number of slots.
func (g *Limiter) Slots() int { return g.limits.Slots }

// ServiceTime returns the smoothed duration of requests.
func (g *Limiter) ServiceTime() time.Duration {
	if g.typical == 0 {
		return firstGuess
	}
	return g.typical
}

// Load returns the requests that run or wait, in per mille of the slots.
func (g *Limiter) Load() uint32 {
	return uint32((g.running + g.waiting) * 1000 / g.limits.Slots)
}

// Admit decides on a request that has remaining time to its deadline.
func (g *Limiter) Admit(remaining time.Duration) Decision {
	if remaining < minUseful {
		return g.shed(reason.DeadlineTooClose)
	}
	if g.running < g.limits.Slots && g.waiting == 0 {
		return g.arriveFree(remaining)
	}
	if g.limits.Queue <= 0 {
		return g.shed(reason.SlotsFull)
	}
	if g.waiting >= g.limits.Queue {
		return g.shed(reason.QueueFull)
	}
	expected := g.ExpectedWait()
	if expected > g.limits.MaxWait {
		return g.shed(reason.WaitTooLong)
	}
	if expected+g.ServiceTime() > remaining {
		return g.shed(reason.DeadlineTooClose)
	}
	g.waiting++
	return Decision{Action: Queued, MaxWait: min(g.limits.MaxWait, remaining)}
}

// arriveFree decides when a slot is free. An idle backend server always gets
// the request: without it the typical duration would never be observed again.
func (g *Limiter) arriveFree(remaining time.Duration) Decision {
	if g.running > 0 && g.ServiceTime() > remaining {
		return g.shed(reason.DeadlineTooClose)
	}
	g.running++
	return Decision{Action: Admitted}
}

// Dequeue moves a waiting request to a free slot and reports whether there was
// one.
func (g *Limiter) Dequeue() bool {
	if g.waiting == 0 || g.running >= g.limits.Slots {
		return false
	}
	g.waiting--
	g.running++
	return true
}

// Abandon removes a waiting request that gave up. It returns a shed verdict.
func (g *Limiter) Abandon(why reason.Code) Decision {
	g.waiting--
	return g.shed(why)
}

// Release gives a slot back. took is the time that the request ran; 0 records no
// duration, for requests that did not run to their end.
func (g *Limiter) Release(took time.Duration) {
	g.running--
	if took <= 0 {
		return
	}
	if g.typical == 0 {
		g.typical = took
		return
	}
	g.typical += (took - g.typical) / smoothing
}

// ExpectedWait returns how long one more request would wait for a slot.
func (g *Limiter) ExpectedWait() time.Duration {
	ahead := g.running + g.waiting + 1 - g.limits.Slots
	if ahead <= 0 {
		return 0
	}
	return g.ServiceTime() * time.Duration(ahead) / time.Duration(g.limits.Slots)
}

// RetryAfter returns the time after which a refused request may be tried again.
func (g *Limiter) RetryAfter() time.Duration {
	return min(max(g.ExpectedWait(), minComeBack), maxComeBack)
}

func (g *Limiter) shed(why reason.Code) Decision {
	return Decision{Action: Shed, Reason: why, RetryAfter: g.RetryAfter()}
}
