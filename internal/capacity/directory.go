package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// renewal is the period between the announcements of an agent.
const renewal = membership.DefaultLease / 3

// measureDirectory measures the cost of announced targets for a single control
// host and for three, which also replicate the records to each other.
func measureDirectory(ctx context.Context, tb *testbed, r *Report) error {
	if err := measureAnnouncements(ctx, tb, r, 1, "control.announce"); err != nil {
		return err
	}
	tb.close()
	return withTestbed(tb.binary, tb.log, func(tb *testbed) error { return measureAnnouncements(ctx, tb, r, 3, "control.target") })
}

func measureAnnouncements(ctx context.Context, tb *testbed, r *Report, hosts int, name string) error {
	d, err := tb.deploy(ctx, hosts)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(announcedServices, announcedServices)...); err != nil {
		return err
	}
	ap, err := d.newAnnouncerPool(ctx, renewal)
	if err != nil {
		return err
	}
	memory := &series{name: name + ".memory", unit: Bytes, per: "target", count: DesignSize.Targets}
	cpu := &series{name: name + ".cpu", unit: MicroCore, per: "target and host", count: DesignSize.Targets}
	traffic := &series{name: name + ".bytes", unit: BytesPerSecond, per: "target", count: 1}
	for _, n := range []int{750, 1500, 3000, 6000} {
		ap.growTo(n)
		if err := d.awaitTargets(ctx, n); err != nil {
			return err
		}
		if err := sleep.For(ctx, renewal); err != nil {
			return err
		}
		before, err := d.meanUsage()
		if err != nil {
			return err
		}
		bytes := ap.bytes()
		if err := sleep.For(ctx, renewal); err != nil {
			return err
		}
		traffic.add(float64(n), (ap.bytes()-bytes)/renewal.Seconds())
		after, err := d.meanUsage()
		if err != nil {
			return err
		}
		memory.add(float64(n), after.private)
		cpu.add(float64(n), cpuLoad(before, after, renewal))
	}
	return r.addSlopes(memory, cpu, traffic)
}

// meanUsage returns the mean usage of the control hosts.
func (d *deployment) meanUsage() (usage, error) {
	var sum usage
	for _, c := range d.controls {
		u, err := c.usage()
		if err != nil {
			return usage{}, err
		}
		sum.private += u.private
		sum.cpu += u.cpu
	}
	n := len(d.controls)
	return usage{private: sum.private / float64(n), cpu: sum.cpu / time.Duration(n)}, nil
}
