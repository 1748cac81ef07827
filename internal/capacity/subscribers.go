package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// settle lets collections and heartbeats go round before figures are read.
	settle = 2 * time.Second
	// window is how long processor time and bytes are counted.
	window = 4 * time.Second
	// wireServices and wireAddresses are the configuration of the letter's
	// size: 12 targets a service.
	wireServices  = 1000
	wireAddresses = 5500
)

// measureSubscribers measures what a subscription costs its control host and
// its subscriber, at rest and for each version. The host holds a configuration
// of the letter's size.
func measureSubscribers(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(wireServices, wireAddresses)...); err != nil {
		return err
	}
	f, err := d.newFleet()
	if err != nil {
		return err
	}
	if err := measureAtRest(ctx, d, f, r); err != nil {
		return err
	}
	return measureVersions(ctx, d, f, r)
}

func measureAtRest(ctx context.Context, d *deployment, f *fleet, r *Report) error {
	links := DesignSize.Subscribers()
	memory := &series{name: "control.subscriber.memory", unit: Bytes, per: "subscriber", count: links}
	cpu := &series{name: "control.subscriber.cpu", unit: MicroCore, per: "subscriber", count: links}
	wire := &series{name: "control.subscriber.bytes", unit: BytesPerSecond, per: "subscriber", count: links}
	nearHeap := &series{name: "subscriber.heap", unit: Bytes, per: "subscription", count: 1}
	nearCPU := &series{name: "subscriber.cpu", unit: MicroCore, per: "subscription", count: 1}
	for _, n := range []int{100, 200, 400, 800} {
		if err := f.grow(ctx, n, d.version); err != nil {
			return err
		}
		if err := sleep.For(ctx, settle); err != nil {
			return err
		}
		far, near, bytes, err := d.watch(ctx, f)
		if err != nil {
			return err
		}
		memory.add(float64(n), far[1].private)
		cpu.add(float64(n), load(far[0], far[1], window))
		wire.add(float64(n), bytes/window.Seconds())
		nearHeap.add(float64(n), heap())
		nearCPU.add(float64(n), load(near[0], near[1], window))
	}
	return r.addSlopes(memory, cpu, wire, nearHeap, nearCPU)
}

// watch reads the use of the first control host and of this process before
// and after a window, and the bytes that the fleet's links carried in it.
func (d *deployment) watch(ctx context.Context, f *fleet) (far, near [2]usage, bytes float64, err error) {
	before := f.bytes()
	for i := range far {
		if i > 0 {
			if err = sleep.For(ctx, window); err != nil {
				return far, near, 0, err
			}
			bytes = f.bytes() - before
		}
		if far[i], err = d.controls[0].usage(); err != nil {
			return far, near, 0, err
		}
		if near[i], err = usageOf(ownPID); err != nil {
			return far, near, 0, err
		}
	}
	return far, near, bytes, nil
}

// measureVersions makes bursts of changes, as fast as the control host accepts
// them, and counts what each version costs beyond rest.
func measureVersions(ctx context.Context, d *deployment, f *fleet, r *Report) error {
	n := float64(len(f.members))
	cpu := &series{name: "control.version.cpu", unit: Microseconds, per: "version and subscriber", count: DesignSize.Subscribers()}
	wire := &series{name: "control.version.bytes", unit: Bytes, per: "version and subscriber", count: DesignSize.Subscribers()}
	near := &series{name: "subscriber.version.cpu", unit: Microseconds, per: "version", count: 1}
	for _, versions := range []int{5, 10, 20, 40} {
		farBefore, err := d.controls[0].usage()
		if err != nil {
			return err
		}
		nearBefore, err := usageOf(ownPID)
		if err != nil {
			return err
		}
		bytes := f.bytes()
		for range versions {
			if err := d.change(ctx); err != nil {
				return err
			}
			if err := await(ctx, "version in force", func() bool { return f.have(d.version) }); err != nil {
				return err
			}
		}
		farAfter, err := d.controls[0].usage()
		if err != nil {
			return err
		}
		nearAfter, err := usageOf(ownPID)
		if err != nil {
			return err
		}
		cpu.add(float64(versions), micros(farAfter.cpu-farBefore.cpu)/n)
		wire.add(float64(versions), (f.bytes()-bytes)/n)
		near.add(float64(versions), micros(nearAfter.cpu-nearBefore.cpu)/n)
	}
	return r.addSlopes(cpu, wire, near)
}
