package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// settleTime is the pause before a measurement, for garbage collection and
	// heartbeats.
	settleTime = 2 * time.Second
	// measureWindow is the duration of a measurement of processor time and bytes.
	measureWindow = 4 * time.Second
	// designServices and designAddresses are the size of the configuration at the
	// design size.
	designServices  = 1000
	designAddresses = 5500
)

// measureSubscribers measures the cost of a subscription for its control host and
// its subscriber, when idle and for each version. The configuration has the
// design size.
func measureSubscribers(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(designServices, designAddresses)...); err != nil {
		return err
	}
	sp, err := d.newSubscriberPool()
	if err != nil {
		return err
	}
	if err := measureSubscriptions(ctx, d, sp, r); err != nil {
		return err
	}
	return measureVersions(ctx, d, sp, r)
}

func measureSubscriptions(ctx context.Context, d *deployment, sp *subscriberPool, r *Report) error {
	links := DesignSize.Subscribers()
	memory := &series{name: "control.subscriber.memory", unit: Bytes, per: "subscriber", count: links}
	cpu := &series{name: "control.subscriber.cpu", unit: MicroCore, per: "subscriber", count: links}
	traffic := &series{name: "control.subscriber.bytes", unit: BytesPerSecond, per: "subscriber", count: links}
	ownHeap := &series{name: "subscriber.heap", unit: Bytes, per: "subscription", count: 1}
	ownCPU := &series{name: "subscriber.cpu", unit: MicroCore, per: "subscription", count: 1}
	for _, n := range []int{100, 200, 400, 800} {
		if err := sp.growTo(ctx, n, d.version); err != nil {
			return err
		}
		if err := sleep.For(ctx, settleTime); err != nil {
			return err
		}
		hostUsage, ownUsage, bytes, err := d.measureUsage(ctx, sp)
		if err != nil {
			return err
		}
		memory.add(float64(n), hostUsage[1].private)
		cpu.add(float64(n), cpuLoad(hostUsage[0], hostUsage[1], measureWindow))
		traffic.add(float64(n), bytes/measureWindow.Seconds())
		ownHeap.add(float64(n), liveHeap())
		ownCPU.add(float64(n), cpuLoad(ownUsage[0], ownUsage[1], measureWindow))
	}
	return r.addSlopes(memory, cpu, traffic, ownHeap, ownCPU)
}

// measureUsage returns the usage of the first control host and of this process
// before and after measureWindow, and the bytes on the pool's links within it.
func (d *deployment) measureUsage(ctx context.Context, sp *subscriberPool) (hostUsage, ownUsage [2]usage, bytes float64, err error) {
	before := sp.bytes()
	for i := range hostUsage {
		if i > 0 {
			if err = sleep.For(ctx, measureWindow); err != nil {
				return hostUsage, ownUsage, 0, err
			}
			bytes = sp.bytes() - before
		}
		if hostUsage[i], err = d.controls[0].usage(); err != nil {
			return hostUsage, ownUsage, 0, err
		}
		if ownUsage[i], err = processUsage(ownPID); err != nil {
			return hostUsage, ownUsage, 0, err
		}
	}
	return hostUsage, ownUsage, bytes, nil
}

// measureVersions measures the cost of each version in bursts of changes without
// delay.
func measureVersions(ctx context.Context, d *deployment, sp *subscriberPool, r *Report) error {
	n := float64(len(sp.subscribers))
	cpu := &series{name: "control.version.cpu", unit: Microseconds, per: "version and subscriber", count: DesignSize.Subscribers()}
	traffic := &series{name: "control.version.bytes", unit: Bytes, per: "version and subscriber", count: DesignSize.Subscribers()}
	ownCPU := &series{name: "subscriber.version.cpu", unit: Microseconds, per: "version", count: 1}
	for _, versions := range []int{5, 10, 20, 40} {
		hostBefore, err := d.controls[0].usage()
		if err != nil {
			return err
		}
		ownBefore, err := processUsage(ownPID)
		if err != nil {
			return err
		}
		bytes := sp.bytes()
		for range versions {
			if err := d.changeService(ctx); err != nil {
				return err
			}
			if err := await(ctx, "active version", func() bool { return sp.allHave(d.version) }); err != nil {
				return err
			}
		}
		hostAfter, err := d.controls[0].usage()
		if err != nil {
			return err
		}
		ownAfter, err := processUsage(ownPID)
		if err != nil {
			return err
		}
		cpu.add(float64(versions), micros(hostAfter.cpu-hostBefore.cpu)/n)
		traffic.add(float64(versions), (sp.bytes()-bytes)/n)
		ownCPU.add(float64(versions), micros(ownAfter.cpu-ownBefore.cpu)/n)
	}
	return r.addSlopes(cpu, traffic, ownCPU)
}
