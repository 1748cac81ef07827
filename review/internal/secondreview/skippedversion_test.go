//go:build review

package secondreview

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// upTime is how long the entry hosts run before the changes: longer than flow_max_s, 60 s.
	upTime = 62 * time.Second
	// freezeTime is how long one machine stands still.
	freezeTime = 4 * time.Second
	// stableWindow is stable_window_ms of the settings of small deployments.
	stableWindow = 4 * time.Second
	// flowsInBetween is the number of flows that are opened while the route leads elsewhere.
	flowsInBetween = 60
	// changePause is the time between the two changes and the openings.
	changePause = 250 * time.Millisecond
)

// skippedVersion freezes one machine with a control host while a route leads to another service
// and back. An entry host that gets its configuration from that control host misses the version in
// between. Flows that were opened meanwhile reach it later, when other entry hosts are restarted in
// turn. A reset by the system breaks the rule: no target was touched.
func skippedVersion(r *run) (broken bool, err error) {
	ips, err := freeAddresses(14)
	if err != nil {
		return false, err
	}
	d, err := standin.Start(standin.Options{
		Binary: r.wrapper, Dir: r.dir, IPs: ips, ControlHosts: 3, EntryHosts: 4, ToleratedLosses: 1, Zones: 3,
		Services: []standin.Service{{Name: "lodgement", Targets: 2}, {Name: "certificates", Targets: 2}},
	})
	if err != nil {
		return false, err
	}
	defer d.Stop()
	v := &versions{run: r, deployment: d, public: netip.AddrPortFrom(ips[13], 443)}
	if err := v.send(7, "lodgement", d.OperatorURLs(), startTimeout); err != nil {
		return false, err
	}
	if err := awaitReady(d); err != nil {
		return false, err
	}
	if v.caller, err = newCaller(r, d.Router, d.CallerIPs()[0]); err != nil {
		return false, err
	}
	defer v.caller.close()
	v.caller.quiet = true
	time.Sleep(upTime)
	if err := v.chooseMachine(); err != nil {
		return false, err
	}
	defer func() { r.noteRuns(d.Targets) }()
	flows, err := v.changeAndBack()
	if err != nil {
		return false, err
	}
	return v.restartOthers(flows)
}

// versions is the state of the case.
type versions struct {
	run        *run
	deployment *standin.Deployment
	caller     *caller
	public     netip.AddrPort
	// machine is the index of the control host that is frozen, kept are the entry hosts of other
	// machines that get their configuration from it.
	machine int
	kept    map[*standin.Process]bool
	// working are the operators' addresses of the other control hosts.
	working []string
}

// send sends a configuration whose route leads to a service.
func (v *versions) send(version int, service string, urls []string, timeout time.Duration) error {
	config := standin.Config{Version: version, Services: []string{"lodgement", "certificates"}, Routes: []standin.Route{{
		Address: v.public, Service: service, NotRepeatable: true, Priority: 1, Objective: 200 * time.Millisecond, Timeout: requestTime,
	}}}
	if err := standin.Replace(urls, config.Document(), timeout); err != nil {
		return fmt.Errorf("config version %d: %w", version, err)
	}
	v.run.note("config version %d acknowledged, the route leads to %s", version, service)
	return nil
}

// chooseMachine chooses a control host that does not lead and that an entry host of another
// machine gets its configuration from.
func (v *versions) chooseMachine() error {
	d, leads := v.deployment, leader(v.deployment)
	for i, c := range d.ControlHosts {
		kept := map[*standin.Process]bool{}
		for j, e := range d.EntryHosts {
			if i != j && subscribedTo(d, e) == c.Host {
				kept[e] = true
			}
		}
		if c.Host == leads || len(kept) == 0 {
			continue
		}
		v.machine, v.kept = i, kept
		for j, url := range d.OperatorURLs() {
			if j != i {
				v.working = append(v.working, url)
			}
		}
		v.run.note("machine %s is chosen, %d entry hosts of other machines get their configuration there", c.Host, len(kept))
		return nil
	}
	return errors.New("no follower serves an entry host of another machine")
}

// signal sends a signal to the processes of the chosen machine, if the disruption is played.
func (v *versions) signal(s syscall.Signal) {
	if !v.run.trouble {
		return
	}
	v.deployment.ControlHosts[v.machine].Signal(s)
	v.deployment.EntryHosts[v.machine].Signal(s)
	v.run.note("machine %s: %s", v.deployment.ControlHosts[v.machine].Host, s)
}

// changeAndBack freezes the machine, moves the route to the other service, opens flows, and moves
// the route back. It returns after the machine has run again for more than the stable window.
func (v *versions) changeAndBack() ([]*openFlow, error) {
	v.signal(syscall.SIGSTOP)
	defer v.signal(syscall.SIGCONT)
	frozen := time.Now()
	if err := v.send(9, "certificates", v.working, orderTimeout); err != nil {
		return nil, err
	}
	time.Sleep(changePause)
	var opening sync.WaitGroup
	var mu sync.Mutex
	var flows []*openFlow
	for i := range flowsInBetween {
		opening.Go(func() {
			f, err := v.caller.open(fmt.Sprint(i), v.public)
			if err != nil {
				return // sent to the frozen entry host, which is still in rotation
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
	}
	time.Sleep(changePause)
	if err := v.send(12, "lodgement", v.working, orderTimeout); err != nil {
		return nil, err
	}
	opening.Wait()
	for _, f := range flows {
		if err := f.request("first-"+f.name, requestTime); err != nil {
			return nil, fmt.Errorf("first request on flow %s: %w", f.name, err)
		}
	}
	v.run.note("%d flows are open and have answered a request", len(flows))
	time.Sleep(time.Until(frozen.Add(freezeTime)))
	v.signal(syscall.SIGCONT)
	time.Sleep(stableWindow + time.Second)
	return flows, nil
}

// restartOthers restarts the other entry hosts in turn and sends a request on each flow while one
// of them is down.
func (v *versions) restartOthers(flows []*openFlow) (broken bool, err error) {
	lost := 0
	for round, p := range v.deployment.EntryHosts {
		if v.kept[p] {
			continue
		}
		v.run.note("entry host %s gets SIGTERM", p.Host)
		if err := p.Stop(stopTime); err != nil {
			return false, fmt.Errorf("stop an entry host: %w", err)
		}
		open := flows[:0]
		for _, f := range flows {
			id := fmt.Sprintf("round-%d-%s", round, f.name)
			if err := f.request(id, requestTime); errors.Is(err, errReset) {
				lost++
				continue
			}
			open = append(open, f)
		}
		flows = open
		if err := p.Start(); err != nil {
			return false, fmt.Errorf("start an entry host: %w", err)
		}
		if err := awaitReady(v.deployment); err != nil {
			return false, err
		}
	}
	v.run.note("%d open flows were reset, %d were not; all targets live", lost, len(flows))
	return lost > 0, nil
}
