package agentd

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

// standstills notices when this process was frozen. A request that waited in a
// buffer meanwhile may have been sent again elsewhere, and its caller told that
// it was not run.
type standstills struct {
	clock    clock
	counters *counters
	log      *zap.Logger
	every    time.Duration

	mu       sync.Mutex
	detector stall.Detector
}

func newStandstills(c clock, t timing, counters *counters, log *zap.Logger) *standstills {
	return &standstills{
		clock: c, counters: counters, log: log, every: t.lookEvery,
		detector: stall.Detector{Threshold: t.standstill, Grace: t.thawGrace},
	}
}

// run looks at the clock until the context ends.
func (s *standstills) run(ctx context.Context) {
	ticker := time.NewTicker(s.every)
	defer ticker.Stop()
	for {
		s.look()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// look records that the process runs, and returns the time.
func (s *standstills) look() time.Duration {
	now := s.clock.now()
	s.mu.Lock()
	stood := s.detector.Observe(now)
	s.mu.Unlock()
	if stood > 0 {
		s.counters.standstills.Inc(1)
		s.log.Warn("this process stood still", zap.Duration("for", stood))
	}
	return now
}

// held reports whether a request may have been sent before the end of a
// standstill. It looks at the clock first: the ticker may not yet have run.
func (s *standstills) held(c *call) bool {
	s.look()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.MayHaveWaited(openedAt(c.request.Context()), c.arrived)
}

// openedKey finds the time of the caller's connection in the context of a
// request.
type openedKey struct{}

// opening stamps a connection that this process is about to open. Its caller
// can send no request on it before it has the answer to its handshake, and so
// none before this time.
func (s *standstills) opening(ctx context.Context) context.Context {
	return context.WithValue(ctx, openedKey{}, s.look())
}

// openedAt returns the stamp, or the start of the clock without one.
func openedAt(ctx context.Context) time.Duration {
	at, _ := ctx.Value(openedKey{}).(time.Duration)
	return at
}
