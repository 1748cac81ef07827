package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// rateSubscribers is the number of subscriptions that the results are divided by.
const rateSubscribers = 100

// changeRate is a number of changes at a rate.
type changeRate struct {
	// period is the time between two changes; 0 means no delay.
	period  time.Duration
	changes int
}

// changeRates range from no changes over the expected mean rate to a burst.
// Without changes, makeChanges only waits for one period.
var changeRates = []changeRate{
	{period: groupMeasureWindow},
	{period: 26 * time.Second, changes: 2},
	{period: time.Second, changes: 10},
	{period: 200 * time.Millisecond, changes: 50},
	{changes: 200},
}

// measureChangeRates measures the cost of a subscription to a configuration of
// the design size for its own process, by the rate of changes.
func measureChangeRates(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(designServices, designAddresses)...); err != nil {
		return err
	}
	empty, err := processUsage(ownPID)
	if err != nil {
		return err
	}
	sp, err := d.newSubscriberPool()
	if err != nil {
		return err
	}
	if err := sp.growTo(ctx, rateSubscribers, d.version); err != nil {
		return err
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	const per = "change a second"
	rate := DesignSize.ChangesPerSecond()
	traffic := &series{name: "subscriber.pace.bytes", unit: BytesPerSecond, per: per, count: rate}
	cpu := &series{name: "subscriber.pace.cpu", unit: MicroCore, per: per, count: rate}
	memory := &series{name: "subscriber.pace.memory", unit: Bytes, per: per, count: rate}
	for _, p := range changeRates {
		start, bytes := time.Now(), sp.bytes()
		before, err := processUsage(ownPID)
		if err != nil {
			return err
		}
		if err := d.makeChanges(ctx, p, sp); err != nil {
			return err
		}
		after, err := processUsage(ownPID)
		if err != nil {
			return err
		}
		elapsed := time.Since(start)
		perSecond := float64(p.changes) / elapsed.Seconds()
		traffic.add(perSecond, (sp.bytes()-bytes)/rateSubscribers/elapsed.Seconds())
		cpu.add(perSecond, cpuLoad(before, after, elapsed)/rateSubscribers)
		memory.add(perSecond, (after.private-empty.private)/rateSubscribers)
	}
	return r.addSlopes(traffic, cpu, memory)
}

// makeChanges makes the changes of a rate and waits until all subscribers have
// the last one.
func (d *deployment) makeChanges(ctx context.Context, p changeRate, sp *subscriberPool) error {
	for i := 0; i < max(p.changes, 1); i++ {
		due := time.Now().Add(p.period)
		if i < p.changes {
			if err := d.changeService(ctx); err != nil {
				return err
			}
		}
		if err := sleep.For(ctx, time.Until(due)); err != nil {
			return err
		}
	}
	return await(ctx, "last version of a change rate", func() bool { return sp.allHave(d.version) })
}
