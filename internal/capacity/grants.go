package capacity

import (
	"context"
	"io/fs"
	"math"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	grantLinks   = 6
	grantWorkers = 128
	// firstProbeKey is greater than all measured keys.
	firstProbeKey = 10_000_000
)

// errNotGranted reports a grant that was not given or not recorded.
var errNotGranted = errors.New("not granted")

// measureGrants measures acquire and complete with concurrent agents against a
// group of three voters that syncs its log.
func measureGrants(ctx context.Context, tb *testbed, r *Report) error {
	d, err := tb.deploy(ctx, 3)
	if err != nil {
		return err
	}
	links, err := d.grantLinks(ctx)
	if err != nil {
		return err
	}
	return d.measureGrantSeries(ctx, links, r)
}

// grantLinks creates a service and returns links of its agents, distributed over
// the control hosts, after a first grant on each.
func (d *deployment) grantLinks(ctx context.Context) ([]*link.Client, error) {
	if err := d.putServices(ctx, newService(0, 1)); err != nil {
		return nil, err
	}
	creds, err := d.credentials(keys.RoleAgent, "agent", serviceName(0))
	if err != nil {
		return nil, err
	}
	var links []*link.Client
	for i := range grantLinks {
		c := link.NewClient([]string{d.links()[i%len(d.controls)]}, creds, link.ClientOptions{})
		d.testbed.onClose(c.Close)
		links = append(links, c)
	}
	for i, c := range links {
		key := idempotencyKey(firstProbeKey + i)
		if err := await(ctx, "first grant", func() bool { return runGrant(ctx, c, key) == nil }); err != nil {
			return nil, err
		}
	}
	return links, nil
}

func (d *deployment) measureGrantSeries(ctx context.Context, links []*link.Client, r *Report) error {
	wallTime := &series{name: "grants.time", unit: Microseconds, per: "grant", count: 1}
	cpu := &series{name: "grants.cpu", unit: Microseconds, per: "grant and host", count: 1}
	memory := &series{name: "grants.memory", unit: Bytes, per: "record", count: 200_000}
	disk := &series{name: "grants.disk", unit: Bytes, per: "grant", count: 1}
	total := 1
	for _, n := range []int{5000, 10_000, 20_000, 40_000} {
		dirBefore, err := dirSize(d.controls[0].settings.GetReplica().GetDataFolder())
		if err != nil {
			return err
		}
		before, err := d.meanUsage()
		if err != nil {
			return err
		}
		elapsed, err := runGrants(ctx, links, total, n)
		if err != nil {
			return err
		}
		wallTime.add(float64(n), micros(elapsed))
		after, err := d.meanUsage()
		if err != nil {
			return err
		}
		dirAfter, err := dirSize(d.controls[0].settings.GetReplica().GetDataFolder())
		if err != nil {
			return err
		}
		total += n
		cpu.add(float64(n), micros(after.cpu-before.cpu))
		memory.add(float64(total), after.private)
		disk.add(float64(n), dirAfter-dirBefore)
	}
	return r.addSlopes(wallTime, cpu, memory, disk)
}

// runGrants runs grants of count keys from the first one on concurrently.
func runGrants(ctx context.Context, links []*link.Client, first, count int) (time.Duration, error) {
	start := time.Now()
	p := pool.New().WithErrors().WithMaxGoroutines(grantWorkers)
	for i := range count {
		p.Go(func() error { return runGrant(ctx, links[i%len(links)], idempotencyKey(first+i)) })
	}
	err := p.Wait()
	return time.Since(start), err
}

// measureGrantGroups measures grants by the number of groups on three control
// hosts.
func measureGrantGroups(ctx context.Context, tb *testbed, r *Report) error {
	rate := &series{name: "groups.rate", unit: PerSecond, per: "group"}
	cpu := &series{name: "groups.cpu", unit: Microseconds, per: "group, a grant and host"}
	idleMemory := &series{name: "groups.rest.memory", unit: Bytes, per: "group"}
	idleCPU := &series{name: "groups.rest.cpu", unit: MicroCore, per: "group"}
	for _, groups := range []int{1, 2, 4, 8} {
		err := withTestbed(tb.binary, tb.log, func(tb *testbed) error {
			d, err := tb.deployGroups(ctx, 3, groups)
			if err != nil {
				return err
			}
			return d.measureGrantGroupsAt(ctx, float64(groups), rate, cpu, idleMemory, idleCPU)
		})
		if err != nil {
			return err
		}
	}
	return r.addSlopes(rate, cpu, idleMemory, idleCPU)
}

// measureGrantGroupsAt adds the points for one number of groups.
func (d *deployment) measureGrantGroupsAt(ctx context.Context, groups float64, rate, cpu, idleMemory, idleCPU *series) error {
	const grants, idleTime = 8000, 3 * time.Second
	links, err := d.grantLinks(ctx)
	if err != nil {
		return err
	}
	if err := await(ctx, "balanced leaders", func() bool { return d.leadersBalanced(ctx) }); err != nil {
		return err
	}
	before, err := d.meanUsage()
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, idleTime); err != nil {
		return err
	}
	idleEnd, err := d.meanUsage()
	if err != nil {
		return err
	}
	idleMemory.add(groups, idleEnd.private)
	idleCPU.add(groups, cpuLoad(before, idleEnd, idleTime))
	elapsed, err := runGrants(ctx, links, 1, grants)
	if err != nil {
		return err
	}
	after, err := d.meanUsage()
	if err != nil {
		return err
	}
	rate.add(groups, grants/elapsed.Seconds())
	cpu.add(groups, micros(after.cpu-idleEnd.cpu)/grants)
	return nil
}

// leadersBalanced reports whether all grant groups have a leader and each control
// host leads its share of them.
func (d *deployment) leadersBalanced(ctx context.Context) bool {
	led, groups, minLed := 0, 0, math.MaxInt
	for _, host := range d.client.Status(ctx) {
		if host.Err != nil {
			return false
		}
		hostLed, hostGroups := 0, 0
		for _, g := range host.Status.Groups {
			if g.Grants == nil {
				continue
			}
			hostGroups++
			if g.State == stateLeads {
				hostLed++
			}
		}
		led, groups, minLed = led+hostLed, max(groups, hostGroups), min(minLed, hostLed)
	}
	return led == groups && minLed >= groups/len(d.controls)
}

// runGrant acquires the grant of a key and records a response.
func runGrant(ctx context.Context, c *link.Client, key string) error {
	for _, command := range []*grantpb.Command{acquireCommand(1, key), completeCommand(1, key)} {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := c.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Grant{Grant: command}})
		cancel()
		if err != nil {
			return err
		}
		granted := res.GetGrant().GetDecision() == grantpb.Decision_DECISION_GRANTED
		if !granted && !res.GetGrant().GetTaken() {
			return errors.Wrapf(errNotGranted, "%v", res)
		}
	}
	return nil
}

// dirSize returns the total size of all files below a directory, in bytes.
func dirSize(root string) (float64, error) {
	var sum int64
	err := filepath.WalkDir(root, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			// Replaced by a newer file meanwhile.
			return nil
		}
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	return float64(sum), err
}
