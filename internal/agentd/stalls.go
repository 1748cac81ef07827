package agentd

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

// stalls detects when this process was stalled. A request that waited in a buffer
// during a stall may have been retried elsewhere and reported to its caller as not
// run.
type stalls struct {
	clock    clock
	counters *counters
	log      *zap.Logger
	interval time.Duration

	mu       sync.Mutex
	detector stall.Detector
}

func newStalls(c clock, t timing, counters *counters, log *zap.Logger) *stalls {
	return &stalls{
		clock: c, counters: counters, log: log, interval: t.stallCheckInterval,
		detector: stall.Detector{Threshold: t.stallThreshold, Grace: t.stallGrace},
	}
}

// run checks for stalls until the context ends.
func (s *stalls) run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		s.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick records that the process runs and returns the time.
func (s *stalls) tick() time.Duration {
	now := s.clock.now()
	s.mu.Lock()
	stalled := s.detector.Observe(now)
	s.mu.Unlock()
	if stalled > 0 {
		s.counters.stalls.Inc(1)
		s.log.Warn("process stalled", zap.Duration("duration", stalled))
	}
	return now
}

// mayPredateStall reports whether a request may have been sent before the end of a
// stall. It calls tick because the ticker may not have run yet.
func (s *stalls) mayPredateStall(c *call) bool {
	s.tick()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.MayHaveWaited(connOpenedAt(c.request.Context()), c.receivedAt)
}

// connOpenedKey is the context key of the time at which a connection was opened.
type connOpenedKey struct{}

// withConnOpened records in the context when a connection is opened. The caller
// cannot send a request on it before.
func (s *stalls) withConnOpened(ctx context.Context) context.Context {
	return context.WithValue(ctx, connOpenedKey{}, s.tick())
}

// connOpenedAt returns the time recorded by stampConnection, 0 without one.
func connOpenedAt(ctx context.Context) time.Duration {
	at, _ := ctx.Value(connOpenedKey{}).(time.Duration)
	return at
}
