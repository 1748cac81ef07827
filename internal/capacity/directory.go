package capacity

import (
	"context"
	"time"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// renewal is the time between two announcements of an agent.
const renewal = membership.DefaultLease / 3

// measureDirectory measures what announced targets cost control hosts: one
// alone, which only hears agents, and three, which pass records on to each
// other as well.
func measureDirectory(ctx context.Context, l *lab, r *Report) error {
	if err := measureHerd(ctx, l, r, 1, "control.announce"); err != nil {
		return err
	}
	l.close()
	return inLab(l.binary, l.log, func(l *lab) error { return measureHerd(ctx, l, r, 3, "control.target") })
}

func measureHerd(ctx context.Context, l *lab, r *Report, hosts int, name string) error {
	d, err := l.deploy(ctx, hosts)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(announcedServices, announcedServices)...); err != nil {
		return err
	}
	h, err := d.newHerd(ctx, renewal)
	if err != nil {
		return err
	}
	memory := &series{name: name + ".memory", unit: Bytes, per: "target", count: DesignSize.Targets}
	cpu := &series{name: name + ".cpu", unit: MicroCore, per: "target and host", count: DesignSize.Targets}
	wire := &series{name: name + ".bytes", unit: BytesPerSecond, per: "target", count: 1}
	for _, n := range []int{750, 1500, 3000, 6000} {
		h.grow(n)
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
		bytes := h.bytes()
		if err := sleep.For(ctx, renewal); err != nil {
			return err
		}
		wire.add(float64(n), (h.bytes()-bytes)/renewal.Seconds())
		after, err := d.meanUsage()
		if err != nil {
			return err
		}
		memory.add(float64(n), after.private)
		cpu.add(float64(n), load(before, after, renewal))
	}
	return r.addSlopes(memory, cpu, wire)
}

// meanUsage returns the mean use of the control hosts.
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
