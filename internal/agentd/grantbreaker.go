package agentd

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// grantBreakers holds the circuit breaker of each possible grant group.
type grantBreakers [grant.MaxGroups]*grantBreaker

func newGrantBreakers(c clock, t timing, log *zap.Logger) grantBreakers {
	var breakers grantBreakers
	for group := range breakers {
		breakers[group] = newGrantBreaker(c, t, log.With(zap.Int("group", group+1)))
	}
	return breakers
}

// grantBreaker is the circuit breaker for calls to one grant group. While it is open,
// requests with an idempotency key are refused without a call.
type grantBreaker struct {
	clock clock
	log   *zap.Logger

	mu           sync.Mutex
	breaker      retry.CircuitBreaker
	disconnected bool
	// lastCheck is the time of the last updateLink.
	lastCheck time.Duration
	// loggedOpen is the state that was last logged.
	loggedOpen bool
}

func newGrantBreaker(c clock, t timing, log *zap.Logger) *grantBreaker {
	return &grantBreaker{
		clock: c, log: log, lastCheck: c.now(),
		breaker: retry.CircuitBreaker{OpenAfter: t.grantTimeout, ProbeInterval: t.grantProbeInterval},
	}
}

// allow decides on a call for a grant.
func (b *grantBreaker) allow() retry.Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.Allow(b.clock.now())
}

// open reports whether the grant group is known to be unavailable.
func (b *grantBreaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.Open()
}

// record records the result of a call that began at the given time.
func (b *grantBreaker) record(began time.Duration, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if succeeded {
		b.breaker.RecordSuccess()
	} else {
		b.breaker.RecordFailure(began, b.clock.now())
	}
	b.logChange()
}

// updateLink records whether a control host is connected. A new connection makes a
// probe due at once.
func (b *grantBreaker) updateLink(connected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	switch {
	case !connected:
		b.breaker.RecordFailure(b.lastCheck, now)
	case b.disconnected:
		b.breaker.ProbeNow(now)
	}
	b.disconnected = !connected
	b.lastCheck = now
	b.logChange()
}

// logChange must be called with the lock held.
func (b *grantBreaker) logChange() {
	if open := b.breaker.Open(); open != b.loggedOpen {
		b.loggedOpen = open
		b.log.Info("grant group availability changed", zap.Bool("available", !open))
	}
}
