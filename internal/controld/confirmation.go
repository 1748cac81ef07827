package controld

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// confirmation records when a quorum last confirmed that this host has applied every
// committed version.
type confirmation struct {
	mu sync.Mutex
	// at is the start of the last read barrier that succeeded, zero if there was none: what
	// was committed later may be missing here.
	at time.Time
	// overdue is set while the age exceeds confirmationOverdue.
	overdue bool
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

// setOverdue stores whether the confirmation is overdue and reports whether that changed.
func (c *confirmation) setOverdue(overdue bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.overdue != overdue
	c.overdue = overdue
	return changed
}

// confirmationLoop confirms the local state at least every confirmationPeriod, so that its
// age is known also if no subscriber needs a version.
func (d *Daemon) confirmationLoop() {
	gauge := d.scope.Gauge("confirmation_age_seconds")
	d.every(confirmationRetry, func() {
		if d.isStandby() {
			return
		}
		age, known := d.confirmation.age(time.Now())
		if !known || age >= confirmationPeriod {
			d.confirmState()
			age, known = d.confirmation.age(time.Now())
		}
		gauge.Update(age.Seconds())
		d.logOverdue(known && age >= confirmationOverdue, age)
	})
}

// confirmState runs a read barrier. A failure shows in the age of the confirmation.
func (d *Daemon) confirmState() {
	ctx, cancel := context.WithTimeout(d.ctx, barrierTimeout)
	defer cancel()
	_ = d.readBarrier.wait(ctx)
}

func (d *Daemon) logOverdue(overdue bool, age time.Duration) {
	if !d.confirmation.setOverdue(overdue) {
		return
	}
	s := d.replicas[controlpb.Group_GROUP_CONFIG].Status()
	d.log.Info("confirmation state changed", zap.Bool("overdue", overdue), zap.Duration("age", age),
		zap.String("leader", s.Leader.GetName()), zap.Uint64("applied", s.Applied), zap.Uint64("version", d.configs.version()))
}
