package link

import (
	"sync"
	"time"
)

// admission limits how many connections of peers other than control hosts a
// server admits a second and how many it holds. It has no clock of its own.
type admission struct {
	perSecond float64
	burst     float64
	capacity  int
	longest   time.Duration

	mu     sync.Mutex
	tokens float64
	last   time.Time
	open   int
	// promised is the time that the last refused peer was told.
	promised time.Time
}

func newAdmission(perSecond float64, burst, capacity int, longest time.Duration) *admission {
	return &admission{
		perSecond: perSecond,
		burst:     float64(burst),
		capacity:  capacity,
		longest:   longest,
		tokens:    float64(burst),
	}
}

// refusal says why a connection is not admitted.
type refusal string

const (
	refusalRate     refusal = "rate"
	refusalCapacity refusal = "capacity"
)

// admit takes a place for a connection. If there is none it returns the
// reason and when the peer shall come back: refused peers get times of their
// own, one after another at the admitted rate, so that they do not return
// together.
func (a *admission) admit(now time.Time) (refusal, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.open >= a.capacity {
		return refusalCapacity, a.promise(now)
	}
	if a.tokens < 1 {
		return refusalRate, a.promise(now)
	}
	a.tokens--
	a.open++
	return "", 0
}

// leave gives the place of an admitted connection back.
func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

func (a *admission) refill(now time.Time) {
	if !a.last.IsZero() {
		a.tokens += now.Sub(a.last).Seconds() * a.perSecond
	}
	a.tokens = min(a.tokens, a.burst)
	a.last = now
}

func (a *admission) promise(now time.Time) time.Duration {
	if a.promised.Before(now) {
		a.promised = now
	}
	step := time.Duration(float64(time.Second) / a.perSecond)
	a.promised = a.promised.Add(step)
	if latest := now.Add(a.longest); a.promised.After(latest) {
		a.promised = latest
	}
	return a.promised.Sub(now)
}
