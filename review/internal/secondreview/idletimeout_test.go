//go:build review

package secondreview

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// usualIdleTimeout is the idle_timeout_ms of the example of the users' pages.
	usualIdleTimeout = 15 * time.Second
	// longIdleTimeout is what the change sets. It is below flow_max_s, 60 s.
	longIdleTimeout = 45 * time.Second
	// longPause is between the two limits, shortPause below both.
	longPause  = 28 * time.Second
	shortPause = 10 * time.Second
)

// idleTimeout pauses flows for less than the idle timeout of the newest acknowledged
// configuration. A reset by the system breaks the rule, unless the flow was idle for longer than
// that timeout.
func idleTimeout(r *run) (broken bool, err error) {
	ips, err := freeAddresses(9)
	if err != nil {
		return false, err
	}
	d, err := standin.Start(standin.Options{
		Binary: r.wrapper, Dir: r.dir, IPs: ips, ControlHosts: 3, ToleratedLosses: 1, Zones: 3,
		Services: []standin.Service{{Name: "lodgement", Targets: 3}},
	})
	if err != nil {
		return false, err
	}
	defer d.Stop()
	public := netip.AddrPortFrom(ips[8], 443)
	config := standin.Config{Version: 7, Services: []string{"lodgement"}, Routes: []standin.Route{{
		Address: public, Service: "lodgement", NotRepeatable: true, Priority: 1, Objective: 200 * time.Millisecond, Timeout: requestTime,
	}}}
	if err := r.apply(d, config, limits{usualIdleTimeout}, startTimeout); err != nil {
		return false, err
	}
	if err := awaitReady(d); err != nil {
		return false, err
	}
	c, err := newCaller(r, d.Router, d.CallerIPs()[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	allowed := usualIdleTimeout
	if r.trouble {
		config.Version = 8
		if err := r.apply(d, config, limits{longIdleTimeout}, orderTimeout); err != nil {
			return false, err
		}
		allowed = longIdleTimeout
	}
	time.Sleep(applyTime + time.Second)
	var flows []*openFlow
	for i := range 4 {
		f, err := c.open(fmt.Sprint(i), public)
		if err != nil {
			return false, fmt.Errorf("open a flow: %w", err)
		}
		if err := f.request(fmt.Sprintf("first-%d", i), requestTime); err != nil {
			return false, fmt.Errorf("first request: %w", err)
		}
		flows = append(flows, f)
	}
	defer func() { r.noteRuns(d.Targets) }()
	return r.pauseAndAsk(flows, allowed)
}

// pauseAndAsk pauses one flow shortly and the others longer, and sends another request on each.
func (r *run) pauseAndAsk(flows []*openFlow, allowed time.Duration) (broken bool, err error) {
	time.Sleep(shortPause)
	if err := flows[0].request("second-0", requestTime); err != nil {
		return false, fmt.Errorf("after a pause below both limits: %w", err)
	}
	time.Sleep(longPause - shortPause)
	for i, f := range flows[1:] {
		id := fmt.Sprintf("second-%d", i+1)
		err := f.request(id, requestTime)
		r.note("flow %s: idle for %s, allowed are %s: %s", f.name, longPause, allowed, describe(err))
		if errors.Is(err, errReset) && longPause < allowed {
			broken = true
		}
	}
	return broken, nil
}
