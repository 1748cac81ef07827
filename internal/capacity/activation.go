package capacity

import (
	"context"
	"slices"
	"time"
)

const (
	undisturbedChanges = 20
	leaderLosses       = 2
)

// measureActivation measures the time from the submission of a patch until each
// subscriber has activated it, without disturbance and right after the leader
// was killed.
func measureActivation(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 3)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(designServices, designAddresses)...); err != nil {
		return err
	}
	slowest := &series{name: "force.slowest", unit: Microseconds, per: "subscriber", count: DesignSize.Entries + DesignSize.Targets}
	for _, n := range []int{10, 50, 100, 200, 400} {
		if err := d.measureActivationAt(ctx, n, slowest, r); err != nil {
			return err
		}
	}
	return r.addSlopes(slowest)
}

func (d *deployment) measureActivationAt(ctx context.Context, n int, slowest *series, r *Report) error {
	sp, err := d.newSubscriberPool()
	if err != nil {
		return err
	}
	defer sp.closeAll()
	if err := sp.growTo(ctx, n, d.version); err != nil {
		return err
	}
	var undisturbed, accepted, maxTimes []time.Duration
	for range undisturbedChanges {
		times, took, err := d.timeChange(ctx, sp)
		if err != nil {
			return err
		}
		undisturbed = append(undisturbed, times...)
		accepted = append(accepted, took)
		maxTimes = append(maxTimes, slices.Max(times))
	}
	slices.Sort(maxTimes)
	slowest.add(float64(n), micros(maxTimes[len(maxTimes)/2]))
	r.Quantiles = append(r.Quantiles, newQuantiles("force.calm", n, undisturbed), newQuantiles("accept.calm", n, accepted))
	return d.measureLeaderLosses(ctx, sp, r)
}

func (d *deployment) measureLeaderLosses(ctx context.Context, sp *subscriberPool, r *Report) error {
	var active, accepted []time.Duration
	for range leaderLosses {
		times, took, err := d.timeChangeAfterKill(ctx, sp)
		if err != nil {
			return err
		}
		active = append(active, times...)
		accepted = append(accepted, took)
	}
	n := len(sp.subscribers)
	r.Quantiles = append(r.Quantiles,
		newQuantiles("force.leader-killed", n, active), newQuantiles("accept.leader-killed", n, accepted))
	return nil
}

// timeChange submits a change. It returns the time until it is active on each
// subscriber and the time until the operator has the outcome.
func (d *deployment) timeChange(ctx context.Context, sp *subscriberPool) (times []time.Duration, accepted time.Duration, err error) {
	from := time.Now()
	if err := d.changeService(ctx); err != nil {
		return nil, 0, err
	}
	accepted = time.Since(from)
	if err := await(ctx, "active version", func() bool { return sp.allHave(d.version) }); err != nil {
		return nil, 0, err
	}
	times = make([]time.Duration, len(sp.subscribers))
	for i, m := range sp.subscribers {
		times[i] = m.activeSince().Sub(from)
	}
	return times, accepted, nil
}

// timeChangeAfterKill kills the leader, submits a change and restarts the killed
// host.
func (d *deployment) timeChangeAfterKill(ctx context.Context, sp *subscriberPool) (times []time.Duration, accepted time.Duration, err error) {
	var leader *control
	err = await(ctx, "leader", func() bool {
		leader = d.leader(ctx)
		return leader != nil
	})
	if err != nil {
		return nil, 0, err
	}
	leader.kill()
	times, accepted, err = d.timeChange(ctx, sp)
	if err != nil {
		return nil, 0, err
	}
	return times, accepted, d.start(ctx, leader)
}

// closeAll closes the pool before its testbed is closed.
func (sp *subscriberPool) closeAll() {
	sp.close()
	sp.subscribers = nil
}

func newQuantiles(name string, size int, times []time.Duration) Quantiles {
	slices.Sort(times)
	at := func(q float64) float64 { return millis(times[int(q*float64(len(times)-1))]) }
	return Quantiles{Name: name, Size: size, Samples: len(times), P50: at(0.5), P99: at(0.99), Max: at(1)}
}
