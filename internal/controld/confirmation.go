package controld

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// confirmation records when a quorum last confirmed that this host has applied every
// committed version. Subscribers are told how long ago that was, and leave a host on which
// it is too long ago.
type confirmation struct {
	// changed is notified when isolated changes.
	changed *notifier

	mu sync.Mutex
	// at is the start of the last read barrier that succeeded, zero if there was none: what
	// was committed later may be missing here.
	at time.Time
	// startedAt is the start of this host.
	startedAt time.Time
	// isolated is set while the last confirmation, or the start, is longer ago than
	// isolationDelay.
	isolated bool
}

// record stores the result of a read barrier.
func (c *confirmation) record(began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && began.After(c.at) {
		c.at = began
	}
}

// age returns the time since the last confirmation. It is not known before the first one.
func (c *confirmation) age(now time.Time) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0, false
	}
	return now.Sub(c.at), true
}

// since returns how long after a moment the last confirmation began, negative if there was
// none after it.
func (c *confirmation) since(moment time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return -1
	}
	return c.at.Sub(moment)
}

// isIsolated reports whether this host has not been able to confirm its state for a while.
func (c *confirmation) isIsolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated
}

// update sets whether this host is isolated and reports whether that changed.
func (c *confirmation) update(now time.Time) (isolated, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.startedAt
	if c.at.After(last) {
		last = c.at
	}
	isolated = now.Sub(last) >= isolationDelay
	changed = isolated != c.isolated
	c.isolated = isolated
	return isolated, changed
}

// confirmationLoop confirms the local state at least every confirmationPeriod, so that its
// age is known also if no subscriber needs a version.
func (d *Daemon) confirmationLoop() {
	d.every(confirmationRetry, func() {
		age, known := d.confirmation.age(time.Now())
		if d.isStandby() || known && age < confirmationPeriod {
			return
		}
		ctx, cancel := context.WithTimeout(d.ctx, barrierTimeout)
		defer cancel()
		// A failure shows in the age of the confirmation.
		_ = d.readBarrier.wait(ctx)
	})
}

// firstConfirmationLoop confirms the local state as soon as there is a leader after a start,
// which wakes the subscriptions that wait for it.
func (d *Daemon) firstConfirmationLoop() {
	wait := leaderRetry
	for !d.stateConfirmed.Load() && d.replicas[controlpb.Group_GROUP_CONFIG].WaitForLeader(d.ctx) {
		ctx, cancel := context.WithTimeout(d.ctx, barrierTimeout)
		err := d.readBarrier.wait(ctx)
		cancel()
		if err == nil || sleep.For(d.ctx, wait) != nil {
			return
		}
		wait = min(2*wait, confirmationRetry)
	}
}

// isolationLoop notifies subscriptions when this host becomes isolated and when it no longer
// is. It runs beside confirmationLoop, which waits for a confirmation.
func (d *Daemon) isolationLoop() {
	gauge := d.scope.Gauge("confirmation_age_seconds")
	d.every(isolationPeriod, func() {
		now := time.Now()
		age, _ := d.confirmation.age(now)
		gauge.Update(age.Seconds())
		if isolated, changed := d.confirmation.update(now); changed {
			d.logIsolation(isolated, age)
			d.confirmation.changed.notify()
		}
	})
}

func (d *Daemon) logIsolation(isolated bool, age time.Duration) {
	s := d.replicas[controlpb.Group_GROUP_CONFIG].Status()
	d.log.Info("isolation state changed", zap.Bool("isolated", isolated), zap.Duration("confirmed_age", age),
		zap.String("leader", s.Leader.GetName()), zap.Uint64("applied", s.Applied), zap.Uint64("version", d.configs.version()))
}

// hasBecomeIsolated reports whether this host is isolated after a quorum had confirmed its state
// at least once. A host that was never confirmed may belong to a group that is still forming;
// the other hosts then know no more than this one.
func (d *Daemon) hasBecomeIsolated() bool {
	return d.confirmation.isIsolated() && d.stateConfirmed.Load()
}

// heartbeat returns the state of this host for subscribers. The age is read before the
// version, which therefore has all that the confirmation covers.
func (d *Daemon) heartbeat() *controlpb.Heartbeat {
	age, known := d.confirmation.age(time.Now())
	ms := uint32(math.MaxUint32)
	if known {
		ms = uint32(min(age.Milliseconds(), math.MaxUint32-1))
	}
	return &controlpb.Heartbeat{
		Version:        d.configs.version(),
		Isolated:       d.confirmation.isIsolated(),
		ConfirmedAgeMs: &ms,
	}
}
