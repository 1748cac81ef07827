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
	// groupVoters limits the number of voters; other members are learners.
	groupVoters = 5
	// groupMeasureWindow is the duration of a measurement of an idle group. Byte
	// counters are up to half a second old.
	groupMeasureWindow = 8 * time.Second
	groupVersions      = 40
	counterAge         = time.Second
	configGroup        = "config"
	// peerBytes and linkBytes are prefixes of the byte counters of links that a
	// control host has opened and accepted.
	peerBytes = "eelgrasswharf_control_peers_bytes_"
	linkBytes = "eelgrasswharf_control_link_bytes_"
)

// errLeaderChanged reports that the leader changed during a measurement.
var errLeaderChanged = errors.New("leader changed during the measurement")

// groupSeries are the series of a group's leader by the number of members.
type groupSeries struct {
	idleCPU, idleBytes, versionCPU, versionBytes, applied *series
}

// measureGroup measures, by the number of members, the cost of a group for its
// leader and the time from the acceptance of a version until the last member has
// it. The configuration has the design size.
func measureGroup(ctx context.Context, tb *testbed, r *Report) error {
	members := DesignSize.ControlHosts
	s := groupSeries{
		idleCPU:      &series{name: "group.rest.cpu", unit: MicroCore, per: "member", count: members},
		idleBytes:    &series{name: "group.rest.bytes", unit: BytesPerSecond, per: "member", count: members},
		versionCPU:   &series{name: "group.version.cpu", unit: Microseconds, per: "member and version", count: members},
		versionBytes: &series{name: "group.version.bytes", unit: Bytes, per: "member and version", count: members},
		applied:      &series{name: "group.applied", unit: Microseconds, per: "member", count: members},
	}
	for _, n := range []int{3, 5, 9, 15} {
		err := withTestbed(tb.binary, tb.log, func(inner *testbed) error { return inner.measureGroupSize(ctx, n, &s, r) })
		if err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	return r.addSlopes(s.idleCPU, s.idleBytes, s.versionCPU, s.versionBytes, s.applied)
}

// deployMembers starts voters and learners with the given number of grant groups
// and waits until all are members of the configuration group.
func (tb *testbed) deployMembers(ctx context.Context, members, groups int) (*deployment, error) {
	d, err := tb.prepare(members)
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
	return d, await(ctx, "members of the configuration group", func() bool { return d.countMembers(ctx) == members })
}

// countMembers returns the number of members that the leader of the configuration
// group reports.
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

// usageSample is the resource usage of a control host at one time.
type usageSample struct {
	at    time.Time
	usage usage
	bytes float64
}

func (c *control) sample(ctx context.Context) (usageSample, error) {
	u, err := c.usage()
	if err != nil {
		return usageSample{}, err
	}
	bytes, err := c.sumCounters(ctx, peerBytes, linkBytes)
	return usageSample{at: time.Now(), usage: u, bytes: bytes}, err
}

// since returns the processor time in microseconds and the bytes since before,
// less the given rates per second.
func (after usageSample) since(before usageSample, cpuRate, byteRate float64) (cpu, bytes float64) {
	seconds := after.at.Sub(before.at).Seconds()
	cpu = micros(after.usage.cpu-before.usage.cpu) - cpuRate*seconds
	return cpu, after.bytes - before.bytes - byteRate*seconds
}

// sumCounters returns the sum of the counters with these name prefixes.
func (c *control) sumCounters(ctx context.Context, prefixes ...string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.settings.GetMetrics().GetListen()+"/metrics", nil)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
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

// measureGroupSize adds the points for a group of n members. Each member has one
// subscriber, which records when it has a version.
func (tb *testbed) measureGroupSize(ctx context.Context, n int, s *groupSeries, r *Report) error {
	d, err := tb.deployMembers(ctx, n, 1)
	if err != nil {
		return err
	}
	if err := d.putServices(ctx, newServices(designServices, designAddresses)...); err != nil {
		return err
	}
	hostSubscribers, err := d.hostSubscribers(ctx)
	if err != nil {
		return err
	}
	leader := d.leader(ctx)
	if leader == nil {
		return errLeaderChanged
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	start, err := leader.sample(ctx)
	if err != nil {
		return err
	}
	if err := sleep.For(ctx, groupMeasureWindow); err != nil {
		return err
	}
	idleEnd, err := leader.sample(ctx)
	if err != nil {
		return err
	}
	cpu, bytes := idleEnd.since(start, 0, 0)
	cpuRate, byteRate := cpu/groupMeasureWindow.Seconds(), bytes/groupMeasureWindow.Seconds()
	s.idleCPU.add(float64(n), cpuRate)
	s.idleBytes.add(float64(n), byteRate)
	times, err := d.timeVersions(ctx, hostSubscribers)
	if err != nil {
		return err
	}
	end, err := leader.sample(ctx)
	if err != nil {
		return err
	}
	if d.leader(ctx) != leader {
		return errLeaderChanged
	}
	cpu, bytes = end.since(idleEnd, cpuRate, byteRate)
	s.versionCPU.add(float64(n), cpu/groupVersions)
	s.versionBytes.add(float64(n), bytes/groupVersions)
	q := newQuantiles("group.applied", n, times)
	s.applied.add(float64(n), q.P50*float64(time.Millisecond/time.Microsecond))
	r.Quantiles = append(r.Quantiles, q)
	return nil
}

// hostSubscribers subscribes once to each control host and waits for the latest
// version.
func (d *deployment) hostSubscribers(ctx context.Context) ([]*subscriberPool, error) {
	var all []*subscriberPool
	for _, c := range d.controls {
		sp, err := d.newSubscriberPool()
		if err != nil {
			return nil, err
		}
		sp.addresses = []string{c.link}
		if err := sp.growTo(ctx, 1, d.version); err != nil {
			return nil, errors.Wrap(err, fmt.Sprint(c.settings.GetHost().GetName()))
		}
		all = append(all, sp)
	}
	return all, nil
}

// timeVersions creates versions one at a time. It returns the times from the
// acceptance of each until the last subscriber has it.
func (d *deployment) timeVersions(ctx context.Context, hostSubscribers []*subscriberPool) ([]time.Duration, error) {
	var times []time.Duration
	for range groupVersions {
		if err := d.changeService(ctx); err != nil {
			return nil, err
		}
		accepted := time.Now()
		err := await(ctx, "version on all members", func() bool {
			return !slices.ContainsFunc(hostSubscribers, func(sp *subscriberPool) bool { return !sp.allHave(d.version) })
		})
		if err != nil {
			return nil, err
		}
		last := time.Duration(0)
		for _, sp := range hostSubscribers {
			last = max(last, sp.subscribers[0].activeSince().Sub(accepted))
		}
		times = append(times, last)
	}
	return times, sleep.For(ctx, counterAge)
}
