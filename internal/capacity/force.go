package capacity

import (
	"context"
	"slices"
	"time"
)

const (
	calmChanges  = 20
	leaderLosses = 2
)

// measureForce measures the time from the submission of a patch until it is in
// force, by subscriber: calm, and with a change submitted at the moment when
// the host that leads is killed.
func measureForce(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 3)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(wireServices, wireAddresses)...); err != nil {
		return err
	}
	slowest := &series{name: "force.slowest", unit: Microseconds, per: "subscriber", count: DesignSize.Entries + DesignSize.Targets}
	for _, n := range []int{10, 50, 100, 200, 400} {
		if err := d.measureFleet(ctx, n, slowest, r); err != nil {
			return err
		}
	}
	return r.addSlopes(slowest)
}

func (d *deployment) measureFleet(ctx context.Context, n int, slowest *series, r *Report) error {
	f, err := d.newFleet()
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.grow(ctx, n, d.version); err != nil {
		return err
	}
	var calm, accepted, worst []time.Duration
	for range calmChanges {
		times, took, err := d.changeTimed(ctx, f)
		if err != nil {
			return err
		}
		calm = append(calm, times...)
		accepted = append(accepted, took)
		worst = append(worst, slices.Max(times))
	}
	slices.Sort(worst)
	slowest.add(float64(n), micros(worst[len(worst)/2]))
	r.Quantiles = append(r.Quantiles, quantiles("force.calm", n, calm), quantiles("accept.calm", n, accepted))
	return d.measureLosses(ctx, f, r)
}

func (d *deployment) measureLosses(ctx context.Context, f *fleet, r *Report) error {
	var lost, accepted []time.Duration
	for range leaderLosses {
		times, took, err := d.changeWithoutLeader(ctx, f)
		if err != nil {
			return err
		}
		lost = append(lost, times...)
		accepted = append(accepted, took)
	}
	n := len(f.members)
	r.Quantiles = append(r.Quantiles,
		quantiles("force.leader-killed", n, lost), quantiles("accept.leader-killed", n, accepted))
	return nil
}

// changeTimed makes a change. It returns how long after its submission it was
// in force on each subscriber, and accepted in the eyes of the operator.
func (d *deployment) changeTimed(ctx context.Context, f *fleet) (times []time.Duration, accepted time.Duration, err error) {
	from := time.Now()
	if err := d.change(ctx); err != nil {
		return nil, 0, err
	}
	accepted = time.Since(from)
	if err := await(ctx, "the version in force", func() bool { return f.have(d.version) }); err != nil {
		return nil, 0, err
	}
	times = make([]time.Duration, len(f.members))
	for i, m := range f.members {
		times[i] = m.inForceAt().Sub(from)
	}
	return times, accepted, nil
}

// changeWithoutLeader kills the host that leads, submits a change, and brings
// the host back.
func (d *deployment) changeWithoutLeader(ctx context.Context, f *fleet) (times []time.Duration, accepted time.Duration, err error) {
	var leader *control
	err = await(ctx, "a leader", func() bool {
		leader = d.leader(ctx)
		return leader != nil
	})
	if err != nil {
		return nil, 0, err
	}
	leader.kill()
	times, accepted, err = d.changeTimed(ctx, f)
	if err != nil {
		return nil, 0, err
	}
	return times, accepted, d.start(ctx, leader)
}

// end closes the fleet before its lab ends.
func (f *fleet) end() {
	f.close()
	f.members = nil
}

func quantiles(name string, size int, times []time.Duration) Quantiles {
	slices.Sort(times)
	at := func(q float64) float64 { return millis(times[int(q*float64(len(times)-1))]) }
	return Quantiles{Name: name, Size: size, Samples: len(times), P50: at(0.5), P99: at(0.99), Max: at(1)}
}
