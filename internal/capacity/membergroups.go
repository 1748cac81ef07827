package capacity

import (
	"context"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// membershipSeries are the series of the busiest control host by the number of
// grant groups.
type membershipSeries struct {
	cpu, bytes, memory *series
}

// measureGroupMembership measures the idle cost of grant groups that all control
// hosts of the design size are members of.
func measureGroupMembership(ctx context.Context, tb *testbed, r *Report) error {
	s := membershipSeries{
		cpu:    &series{name: "members.groups.cpu", unit: MicroCore, per: "group of grants, at the busiest host", count: grant.MaxGroups},
		bytes:  &series{name: "members.groups.bytes", unit: BytesPerSecond, per: "group of grants, at the busiest host", count: grant.MaxGroups},
		memory: &series{name: "members.groups.memory", unit: Bytes, per: "group of grants, at the largest host", count: grant.MaxGroups},
	}
	for _, groups := range []int{1, 4, 8, grant.MaxGroups} {
		err := withTestbed(tb.binary, tb.log, func(inner *testbed) error { return inner.measureMembershipAt(ctx, groups, s) })
		if err != nil {
			return errors.Wrapf(err, "%d groups", groups)
		}
	}
	return r.addSlopes(s.cpu, s.bytes, s.memory)
}

// measureMembershipAt adds the points for one number of groups.
func (tb *testbed) measureMembershipAt(ctx context.Context, groups int, s membershipSeries) error {
	hosts := int(DesignSize.ControlHosts)
	d, err := tb.deployMembers(ctx, hosts, groups)
	if err != nil {
		return err
	}
	// One more group is that of the configuration.
	err = await(ctx, "members of all groups", func() bool { return d.countCompleteGroups(ctx, hosts) == groups+1 })
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	before, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, groupMeasureWindow); err != nil {
		return err
	}
	after, err := d.sampleAll(ctx)
	if err != nil {
		return err
	}
	var mostCPU, mostBytes, mostMemory float64
	for i := range after {
		cpu, bytes := after[i].since(before[i], 0, 0)
		mostCPU = max(mostCPU, cpu/groupMeasureWindow.Seconds())
		mostBytes = max(mostBytes, bytes/groupMeasureWindow.Seconds())
		mostMemory = max(mostMemory, after[i].usage.private)
	}
	s.cpu.add(float64(groups), mostCPU)
	s.bytes.add(float64(groups), mostBytes)
	s.memory.add(float64(groups), mostMemory)
	return nil
}

// countCompleteGroups returns the number of groups whose leader reports this many
// members.
func (d *deployment) countCompleteGroups(ctx context.Context, members int) int {
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

// sampleAll samples all control hosts.
func (d *deployment) sampleAll(ctx context.Context) ([]usageSample, error) {
	all := make([]usageSample, 0, len(d.controls))
	for _, c := range d.controls {
		r, err := c.sample(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
