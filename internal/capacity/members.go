package capacity

import (
	"context"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// memberSeries are the slopes by the groups of grants, at the busiest of the
// control hosts set aside.
type memberSeries struct {
	cpu, bytes, memory *series
}

// measureMemberGroups measures what further groups of grants cost at rest where
// all control hosts that the letter sets aside are members of each.
func measureMemberGroups(ctx context.Context, l *lab, r *Report) error {
	s := memberSeries{
		cpu:    &series{name: "members.groups.cpu", unit: MicroCore, per: "group of grants, at the busiest host", count: grant.MaxGroups},
		bytes:  &series{name: "members.groups.bytes", unit: BytesPerSecond, per: "group of grants, at the busiest host", count: grant.MaxGroups},
		memory: &series{name: "members.groups.memory", unit: Bytes, per: "group of grants, at the largest host", count: grant.MaxGroups},
	}
	for _, groups := range []int{1, 4, 8, grant.MaxGroups} {
		err := inLab(l.binary, l.log, func(own *lab) error { return own.measureGroupsOfMembers(ctx, groups, s) })
		if err != nil {
			return errors.Wrapf(err, "%d groups", groups)
		}
	}
	return r.addSlopes(s.cpu, s.bytes, s.memory)
}

// measureGroupsOfMembers adds the points of one number of groups.
func (l *lab) measureGroupsOfMembers(ctx context.Context, groups int, s memberSeries) error {
	hosts := int(DesignSize.ControlHosts)
	d, err := l.deployMembers(ctx, hosts, groups)
	if err != nil {
		return err
	}
	// The configuration has a group of its own.
	err = await(ctx, "members of all groups", func() bool { return d.countWhole(ctx, hosts) == groups+1 })
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	before, err := d.readAll(ctx)
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, groupWindow); err != nil {
		return err
	}
	after, err := d.readAll(ctx)
	if err != nil {
		return err
	}
	var mostCPU, mostBytes, mostMemory float64
	for i := range after {
		cpu, bytes := after[i].since(before[i], 0, 0)
		mostCPU = max(mostCPU, cpu/groupWindow.Seconds())
		mostBytes = max(mostBytes, bytes/groupWindow.Seconds())
		mostMemory = max(mostMemory, after[i].usage.private)
	}
	s.cpu.add(float64(groups), mostCPU)
	s.bytes.add(float64(groups), mostBytes)
	s.memory.add(float64(groups), mostMemory)
	return nil
}

// countWhole returns how many groups have a leader that counts so many members.
func (d *deployment) countWhole(ctx context.Context, members int) int {
	whole := 0
	for _, host := range d.client.Status(ctx) {
		if host.Err != nil {
			continue
		}
		for _, g := range host.Status.Groups {
			if g.State == stateLeads && len(g.Members) == members {
				whole++
			}
		}
	}
	return whole
}

// readAll reads all control hosts.
func (d *deployment) readAll(ctx context.Context) ([]reading, error) {
	all := make([]reading, 0, len(d.controls))
	for _, c := range d.controls {
		r, err := c.read(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
