package subscriber

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/freshness"
)

const (
	// freshnessPeriod is the interval of checks whether to leave the control host.
	freshnessPeriod = 100 * time.Millisecond
	// maxCheckGap is the longest interval between two checks of a running process. After a
	// longer one the messages that waited are read first.
	maxCheckGap = 500 * time.Millisecond
)

// moveError ends a subscription because the control host does not prove that the active
// version is the newest.
type moveError struct{ reason freshness.Reason }

// Error implements error.
func (e *moveError) Error() string { return "control host left: " + string(e.reason) }

// requestedMove is a move to another control host.
type requestedMove struct {
	cause error
	// reconnected is closed once the client is connected to another control host.
	reconnected <-chan struct{}
}

// requestMove makes the client connect to another control host, to any if address is empty.
// The subscription goes on until it has. The caller holds mu.
func (s *Subscriber) requestMove(address string, cause error) {
	s.move = &requestedMove{cause: cause, reconnected: s.opts.Client.Reconnected()}
	s.opts.Client.Move(address)
	select {
	case s.moveRequested <- struct{}{}:
	default:
	}
}

// reconnected returns the channel of the requested move, nil if there is none.
func (s *Subscriber) reconnected() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move == nil {
		return nil
	}
	return s.move.reconnected
}

// moveCause returns the cause of the move that has ended the subscription, nil if none has.
func (s *Subscriber) moveCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.move == nil {
		return nil
	}
	return s.move.cause
}

// stateOf translates a heartbeat. A control host of an earlier release reports no age; it
// counts as confirmed unless it reports that it is isolated.
func stateOf(h *controlpb.Heartbeat) freshness.State {
	return freshness.State{
		Version:   h.GetVersion(),
		Confirmed: h.GetConfirmedAgeMs() != math.MaxUint32 && (h.ConfirmedAgeMs != nil || !h.GetIsolated()),
		Age:       time.Duration(h.GetConfirmedAgeMs()) * time.Millisecond,
		Isolated:  h.GetIsolated(),
	}
}

// recordState records what the control host reports of itself. The caller holds mu.
func (s *Subscriber) recordState(h *controlpb.Heartbeat, now time.Time) {
	s.freshness.Observe(stateOf(h), s.versions.latest().GetVersion(), now)
	if age, known := s.freshness.Age(now); known {
		at := now.Add(-age)
		s.confirmedAt.Store(&at)
	}
}

func (s *Subscriber) recordOpened(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.move = nil
	s.freshness.Opened(now)
}

// watchControlHost checks regularly whether to leave the control host, and ends the
// subscription once the client is connected to another one.
func (s *Subscriber) watchControlHost(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(freshnessPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reconnected():
			cancel()
			return
		case <-s.moveRequested:
			continue
		case <-ticker.C:
		}
		now := time.Now()
		gap := now.Sub(last)
		last = now
		if gap <= maxCheckGap {
			s.checkFreshness(now)
		}
	}
}

func (s *Subscriber) checkFreshness(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, _ := s.freshness.Age(now)
	s.counters.confirmedAge.Update(age.Seconds())
	s.moveIfStale(now)
}

// moveIfStale requests a move to another control host if nothing proves that the active
// version is the newest. The caller holds mu.
func (s *Subscriber) moveIfStale(now time.Time) {
	move, reason := s.freshness.Decide(now)
	if !move {
		return
	}
	age, known := s.freshness.Age(now)
	s.opts.Log.Info("leaving a control host without a confirmed version",
		zap.String("address", s.opts.Client.Address()), zap.String("reason", string(reason)),
		zap.Uint64("version", s.versions.latest().GetVersion()), zap.Duration("age", age), zap.Bool("age_known", known))
	s.freshness.Moved(now, func(d time.Duration) time.Duration { return jitter(s.opts.Rand, d) })
	s.requestMove("", &moveError{reason: reason})
}

// ConfirmedAge returns how long ago the active version was known to be the newest. It is not
// known before the first confirmation.
func (s *Subscriber) ConfirmedAge() (age time.Duration, known bool) {
	at := s.confirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}
