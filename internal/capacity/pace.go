package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// paceSubscribers is how many subscriptions share what is measured.
const paceSubscribers = 100

// pace is a rate of changes that is held for a number of them.
type pace struct {
	// period is the time from one change to the next, 0 for as fast as the
	// control host accepts them.
	period  time.Duration
	changes int
}

// paces are rest, the mean rate of the letter, and faster ones up to a burst.
// At rest the one period is only waited for.
var paces = []pace{
	{period: groupWindow},
	{period: 26 * time.Second, changes: 2},
	{period: time.Second, changes: 10},
	{period: 200 * time.Millisecond, changes: 50},
	{changes: 200},
}

// measurePace measures what one subscription to a configuration of the letter's
// size costs its own process, by the rate of changes.
func measurePace(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(wireServices, wireAddresses)...); err != nil {
		return err
	}
	empty, err := usageOf(ownPID)
	if err != nil {
		return err
	}
	f, err := d.newFleet()
	if err != nil {
		return err
	}
	if err := f.grow(ctx, paceSubscribers, d.version); err != nil {
		return err
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	const per = "change a second"
	rate := DesignSize.ChangesPerSecond()
	wire := &series{name: "subscriber.pace.bytes", unit: BytesPerSecond, per: per, count: rate}
	cpu := &series{name: "subscriber.pace.cpu", unit: MicroCore, per: per, count: rate}
	memory := &series{name: "subscriber.pace.memory", unit: Bytes, per: per, count: rate}
	for _, p := range paces {
		began, bytes := time.Now(), f.bytes()
		before, err := usageOf(ownPID)
		if err != nil {
			return err
		}
		if err := d.hold(ctx, p, f); err != nil {
			return err
		}
		after, err := usageOf(ownPID)
		if err != nil {
			return err
		}
		took := time.Since(began)
		perSecond := float64(p.changes) / took.Seconds()
		wire.add(perSecond, (f.bytes()-bytes)/paceSubscribers/took.Seconds())
		cpu.add(perSecond, load(before, after, took)/paceSubscribers)
		memory.add(perSecond, (after.private-empty.private)/paceSubscribers)
	}
	return r.addSlopes(wire, cpu, memory)
}

// hold makes the changes of a pace, each followed by its period, and waits
// until all have the last one.
func (d *deployment) hold(ctx context.Context, p pace, f *fleet) error {
	for i := 0; i < max(p.changes, 1); i++ {
		due := time.Now().Add(p.period)
		if i < p.changes {
			if err := d.change(ctx); err != nil {
				return err
			}
		}
		if err := sleep.For(ctx, time.Until(due)); err != nil {
			return err
		}
	}
	return await(ctx, "the last version of a pace", func() bool { return f.have(d.version) })
}
