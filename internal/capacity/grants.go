package capacity

import (
	"context"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

const (
	grantLinks   = 4
	grantWorkers = 128
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
	if err := d.put(ctx, service(0, 1)); err != nil {
		return err
	}
	creds, err := d.credentials(keys.RoleAgent, "agent", serviceName(0))
	if err != nil {
		return err
	}
	var links []*link.Client
	for range grantLinks {
		c := link.NewClient(d.links(), creds, link.ClientOptions{})
		l.onClose(c.Close)
		links = append(links, c)
	}
	if err := await(ctx, "a first grant", func() bool { return grantOnce(ctx, links[0], keyOf(0)) == nil }); err != nil {
		return err
	}
	return d.measureGrantSeries(ctx, links, r)
}

func (d *deployment) measureGrantSeries(ctx context.Context, links []*link.Client, r *Report) error {
	wall := &series{name: "grants.time", unit: Microseconds, per: "grant", count: 1}
	cpu := &series{name: "grants.cpu", unit: Microseconds, per: "grant and host", count: 1}
	memory := &series{name: "grants.memory", unit: Bytes, per: "record", count: 200_000}
	disk := &series{name: "grants.disk", unit: Bytes, per: "grant", count: 1}
	made := 1
	for _, n := range []int{1000, 2000, 4000, 8000} {
		size, err := folderSize(d.controls[0].settings.GetReplica().GetDataFolder())
		if err != nil {
			return err
		}
		before, err := d.meanUsage()
		if err != nil {
			return err
		}
		began := time.Now()
		p := pool.New().WithErrors().WithMaxGoroutines(grantWorkers)
		for i := range n {
			p.Go(func() error { return grantOnce(ctx, links[i%grantLinks], keyOf(made+i)) })
		}
		if err := p.Wait(); err != nil {
			return err
		}
		wall.add(float64(n), micros(time.Since(began)))
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
