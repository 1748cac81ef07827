package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// groupVoters is how many members vote at most; the others are learners.
	groupVoters = 5
	// groupWindow is how long a group is watched at rest. Counters of bytes are
	// half a second old.
	groupWindow   = 8 * time.Second
	groupVersions = 40
	counterAge    = time.Second
	configGroup   = "config"
	// peerBytes and linkBytes begin the names of the counters of bytes that a
	// control host exchanged on links that it opened and that it took.
	peerBytes = "eelgrasswharf_control_peers_bytes_"
	linkBytes = "eelgrasswharf_control_link_bytes_"
)

// errLeaderChanged tells that the leader did not lead for a whole measurement.
var errLeaderChanged = errors.New("another host leads")

// groupSeries are the slopes by the members of a group, at its leader.
type groupSeries struct {
	restCPU, restBytes, versionCPU, versionBytes, applied *series
}

// measureGroup measures what a group costs its leader by the number of members,
// of which five at most vote, and how long after its acceptance the last member
// has a version. The configuration has the letter's size.
func measureGroup(ctx context.Context, l *lab, r *Report) error {
	members := DesignSize.ControlHosts
	s := groupSeries{
		restCPU:      &series{name: "group.rest.cpu", unit: MicroCore, per: "member", count: members},
		restBytes:    &series{name: "group.rest.bytes", unit: BytesPerSecond, per: "member", count: members},
		versionCPU:   &series{name: "group.version.cpu", unit: Microseconds, per: "member and version", count: members},
		versionBytes: &series{name: "group.version.bytes", unit: Bytes, per: "member and version", count: members},
		applied:      &series{name: "group.applied", unit: Microseconds, per: "member", count: members},
	}
	for _, n := range []int{3, 5, 9, 15} {
		err := inLab(l.binary, l.log, func(own *lab) error { return own.measureMembers(ctx, n, &s, r) })
		if err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	return r.addSlopes(s.restCPU, s.restBytes, s.versionCPU, s.versionBytes, s.applied)
}

// deployMembers starts control hosts with learners beside the voters and so many
// groups of grants, and waits until all are members of the configuration.
func (l *lab) deployMembers(ctx context.Context, members, groups int) (*deployment, error) {
	d, err := l.prepare(members)
	if err != nil {
		return nil, err
	}
	for i, c := range d.controls {
		s := c.settings.Replica
		s.InitialVoters = s.InitialVoters[:min(groupVoters, members)]
		s.Join = i >= groupVoters
		s.GrantGroups = uint32(groups)
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		c.settings.Metrics = &settingspb.Metrics{Listen: metrics}
		if err := d.start(ctx, c); err != nil {
			return nil, err
		}
	}
	return d, await(ctx, "all members", func() bool { return d.countMembers(ctx) == members })
}

// countMembers returns how many members the leader of the configuration has.
func (d *deployment) countMembers(ctx context.Context) int {
	for _, host := range d.client.Status(ctx) {
		if host.Err != nil {
			continue
		}
		for _, g := range host.Status.Groups {
			if g.Group == configGroup && g.State == stateLeads {
				return len(g.Members)
			}
		}
	}
	return 0
}

// reading is what a control host has used by a moment.
type reading struct {
	at    time.Time
	usage usage
	bytes float64
}

func (c *control) read(ctx context.Context) (reading, error) {
	u, err := c.usage()
	if err != nil {
		return reading{}, err
	}
	bytes, err := c.counted(ctx, peerBytes, linkBytes)
	return reading{at: time.Now(), usage: u, bytes: bytes}, err
}

// since returns processor time in microseconds and bytes, beyond so much of
// them a second.
func (after reading) since(before reading, cpuRate, byteRate float64) (cpu, bytes float64) {
	seconds := after.at.Sub(before.at).Seconds()
	cpu = micros(after.usage.cpu-before.usage.cpu) - cpuRate*seconds
	return cpu, after.bytes - before.bytes - byteRate*seconds
}

// counted returns the sum of the counters whose names begin so.
func (c *control) counted(ctx context.Context, prefixes ...string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.settings.GetMetrics().GetListen()+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		if !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(line, p) }) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, errors.Wrap(err, line)
		}
		sum += value
	}
	return sum, nil
}

// measureMembers adds a point for a group of so many members. Each of them has
// one subscriber, which tells when it has a version.
func (l *lab) measureMembers(ctx context.Context, n int, s *groupSeries, r *Report) error {
	d, err := l.deployMembers(ctx, n, 1)
	if err != nil {
		return err
	}
	if err := d.put(ctx, servicesOf(wireServices, wireAddresses)...); err != nil {
		return err
	}
	watchers, err := d.watchers(ctx)
	if err != nil {
		return err
	}
	leader := d.leader(ctx)
	if leader == nil {
		return errLeaderChanged
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	began, err := leader.read(ctx)
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, groupWindow); err != nil {
		return err
	}
	rested, err := leader.read(ctx)
	if err != nil {
		return err
	}
	cpu, bytes := rested.since(began, 0, 0)
	cpuRate, byteRate := cpu/groupWindow.Seconds(), bytes/groupWindow.Seconds()
	s.restCPU.add(float64(n), cpuRate)
	s.restBytes.add(float64(n), byteRate)
	times, err := d.changeMembers(ctx, watchers)
	if err != nil {
		return err
	}
	ended, err := leader.read(ctx)
	if err != nil {
		return err
	}
	if d.leader(ctx) != leader {
		return errLeaderChanged
	}
	cpu, bytes = ended.since(rested, cpuRate, byteRate)
	s.versionCPU.add(float64(n), cpu/groupVersions)
	s.versionBytes.add(float64(n), bytes/groupVersions)
	q := quantiles("group.applied", n, times)
	s.applied.add(float64(n), q.P50*float64(time.Millisecond/time.Microsecond))
	r.Quantiles = append(r.Quantiles, q)
	return nil
}

// watchers subscribes once to each control host, and waits for the newest
// version.
func (d *deployment) watchers(ctx context.Context) ([]*fleet, error) {
	var all []*fleet
	for _, c := range d.controls {
		f, err := d.newFleet()
		if err != nil {
			return nil, err
		}
		f.addresses = []string{c.link}
		if err := f.grow(ctx, 1, d.version); err != nil {
			return nil, errors.Wrap(err, fmt.Sprint(c.settings.GetHost().GetName()))
		}
		all = append(all, f)
	}
	return all, nil
}

// changeMembers makes versions one after the other. It returns how long after
// its acceptance the last member passed each of them on.
func (d *deployment) changeMembers(ctx context.Context, watchers []*fleet) ([]time.Duration, error) {
	var times []time.Duration
	for range groupVersions {
		if err := d.change(ctx); err != nil {
			return nil, err
		}
		accepted := time.Now()
		err := await(ctx, "the version on all members", func() bool {
			return !slices.ContainsFunc(watchers, func(f *fleet) bool { return !f.have(d.version) })
		})
		if err != nil {
			return nil, err
		}
		last := time.Duration(0)
		for _, f := range watchers {
			last = max(last, f.members[0].inForceAt().Sub(accepted))
		}
		times = append(times, last)
	}
	return times, sleep.For(ctx, counterAge)
}
