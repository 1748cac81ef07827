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
	// probeKeys are beyond the keys that are measured.
	probeKeys = 10_000_000
)

// errNotGranted tells that a right was not given or not recorded.
var errNotGranted = errors.New("not granted")

// measureGrants measures acquire and complete against a group of three that
// syncs, with many agents asking at a time.
func measureGrants(ctx context.Context, l *lab, r *Report) error {
	d, err := l.deploy(ctx, 3)
	if err != nil {
		return err
	}
	links, err := d.grantLinks(ctx)
	if err != nil {
		return err
	}
	return d.measureGrantSeries(ctx, links, r)
}

// grantLinks makes a service and returns links of agents of it, each to another
// control host in turn, once the first grant was had.
func (d *deployment) grantLinks(ctx context.Context) ([]*link.Client, error) {
	if err := d.put(ctx, service(0, 1)); err != nil {
		return nil, err
	}
	creds, err := d.credentials(keys.RoleAgent, "agent", serviceName(0))
	if err != nil {
		return nil, err
	}
	var links []*link.Client
	for i := range grantLinks {
		c := link.NewClient([]string{d.links()[i%len(d.controls)]}, creds, link.ClientOptions{})
		d.lab.onClose(c.Close)
		links = append(links, c)
	}
	for i, c := range links {
		key := keyOf(probeKeys + i)
		if err := await(ctx, "a first grant", func() bool { return grantOnce(ctx, c, key) == nil }); err != nil {
			return nil, err
		}
	}
	return links, nil
}

func (d *deployment) measureGrantSeries(ctx context.Context, links []*link.Client, r *Report) error {
	wall := &series{name: "grants.time", unit: Microseconds, per: "grant", count: 1}
	cpu := &series{name: "grants.cpu", unit: Microseconds, per: "grant and host", count: 1}
	memory := &series{name: "grants.memory", unit: Bytes, per: "record", count: 200_000}
	disk := &series{name: "grants.disk", unit: Bytes, per: "grant", count: 1}
	made := 1
	for _, n := range []int{5000, 10_000, 20_000, 40_000} {
		size, err := folderSize(d.controls[0].settings.GetReplica().GetDataFolder())
		if err != nil {
			return err
		}
		before, err := d.meanUsage()
		if err != nil {
			return err
		}
		took, err := grantMany(ctx, links, made, n)
		if err != nil {
			return err
		}
		wall.add(float64(n), micros(took))
		after, err := d.meanUsage()
		if err != nil {
			return err
		}
		grown, err := folderSize(d.controls[0].settings.GetReplica().GetDataFolder())
		if err != nil {
			return err
		}
		made += n
		cpu.add(float64(n), micros(after.cpu-before.cpu))
		memory.add(float64(made), after.private)
		disk.add(float64(n), grown-size)
	}
	return r.addSlopes(wall, cpu, memory, disk)
}

// grantMany makes grants of so many keys from the first one on, many at a time.
func grantMany(ctx context.Context, links []*link.Client, first, count int) (time.Duration, error) {
	began := time.Now()
	p := pool.New().WithErrors().WithMaxGoroutines(grantWorkers)
	for i := range count {
		p.Go(func() error { return grantOnce(ctx, links[i%len(links)], keyOf(first+i)) })
	}
	err := p.Wait()
	return time.Since(began), err
}

// measureGrantGroups measures grants with more and more groups on three control
// hosts.
func measureGrantGroups(ctx context.Context, l *lab, r *Report) error {
	rate := &series{name: "groups.rate", unit: PerSecond, per: "group"}
	cpu := &series{name: "groups.cpu", unit: Microseconds, per: "group, a grant and host"}
	rest := &series{name: "groups.rest.memory", unit: Bytes, per: "group"}
	idle := &series{name: "groups.rest.cpu", unit: MicroCore, per: "group"}
	for _, groups := range []int{1, 2, 4, 8} {
		err := inLab(l.binary, l.log, func(l *lab) error {
			d, err := l.deployGroups(ctx, 3, groups)
			if err != nil {
				return err
			}
			return d.measureGroups(ctx, float64(groups), rate, cpu, rest, idle)
		})
		if err != nil {
			return err
		}
	}
	return r.addSlopes(rate, cpu, rest, idle)
}

// measureGroups adds the points of one number of groups.
func (d *deployment) measureGroups(ctx context.Context, groups float64, rate, cpu, rest, idle *series) error {
	const grants, atRest = 8000, 3 * time.Second
	links, err := d.grantLinks(ctx)
	if err != nil {
		return err
	}
	if err := await(ctx, "leaders spread", func() bool { return d.spread(ctx) }); err != nil {
		return err
	}
	before, err := d.meanUsage()
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, atRest); err != nil {
		return err
	}
	rested, err := d.meanUsage()
	if err != nil {
		return err
	}
	rest.add(groups, rested.private)
	idle.add(groups, load(before, rested, atRest))
	took, err := grantMany(ctx, links, 1, grants)
	if err != nil {
		return err
	}
	after, err := d.meanUsage()
	if err != nil {
		return err
	}
	rate.add(groups, grants/took.Seconds())
	cpu.add(groups, micros(after.cpu-rested.cpu)/grants)
	return nil
}

// spread reports whether each control host leads its share of the groups of
// grants, which all have a leader.
func (d *deployment) spread(ctx context.Context) bool {
	led, groups, least := 0, 0, math.MaxInt
	for _, host := range d.client.Status(ctx) {
		if host.Err != nil {
			return false
		}
		mine, all := 0, 0
		for _, g := range host.Status.Groups {
			if g.Grants == nil {
				continue
			}
			all++
			if g.State == stateLeads {
				mine++
			}
		}
		led, groups, least = led+mine, max(groups, all), min(least, mine)
	}
	return led == groups && least >= groups/len(d.controls)
}

// grantOnce acquires the right to run a key and records an answer.
func grantOnce(ctx context.Context, c *link.Client, key string) error {
	for _, command := range []*grantpb.Command{acquire(1, key), complete(1, key)} {
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

// folderSize returns the bytes of all files below a folder.
func folderSize(folder string) (float64, error) {
	var sum int64
	err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			// Removed in favour of a newer one.
			return nil
		}
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	return float64(sum), err
}
