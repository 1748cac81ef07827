package link

import (
	"sync"
	"time"
)

// admission limits the rate and the number of connections of peers other than control hosts.
// The caller passes the time.
type admission struct {
	perSecond     float64
	burst         float64
	capacity      int
	maxRetryAfter time.Duration

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	open       int
	// lastRetryAt is the latest retry time given to a refused peer.
	lastRetryAt time.Time
}

func newAdmission(perSecond float64, burst, capacity int, maxRetryAfter time.Duration) *admission {
	return &admission{
		perSecond:     perSecond,
		burst:         float64(burst),
		capacity:      capacity,
		maxRetryAfter: maxRetryAfter,
		tokens:        float64(burst),
	}
}

// refusal is the reason why a connection is not admitted.
type refusal string

const (
	refusalRate     refusal = "rate"
	refusalCapacity refusal = "capacity"
)

// admit reserves a place for a connection, or returns the reason why there is none.
func (a *admission) admit(now time.Time) refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.open >= a.capacity {
		return refusalCapacity
	}
	if a.tokens < 1 {
		return refusalRate
	}
	a.tokens--
	a.open++
	return ""
}

// release frees the place of an admitted connection.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

func (a *admission) refill(now time.Time) {
	if !a.refilledAt.IsZero() {
		a.tokens += now.Sub(a.refilledAt).Seconds() * a.perSecond
	}
	a.tokens = min(a.tokens, a.burst)
	a.refilledAt = now
}

// nextRetryAfter returns the time after which a refused peer may return. Peers get successive
// times at the admitted rate so that they do not return together.
func (a *admission) nextRetryAfter(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastRetryAt.Before(now) {
		a.lastRetryAt = now
	}
	step := time.Duration(float64(time.Second) / a.perSecond)
	a.lastRetryAt = a.lastRetryAt.Add(step)
	if latest := now.Add(a.maxRetryAfter); a.lastRetryAt.After(latest) {
		a.lastRetryAt = latest
	}
	return a.lastRetryAt.Sub(now)
}
