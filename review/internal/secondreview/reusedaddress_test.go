//go:build review

package secondreview

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// lodgementTargets and certificatesTargets are the targets of the two services.
	lodgementTargets    = 16
	certificatesTargets = 2
	// reusedAddresses is a quarter of the targets of the first service.
	reusedAddresses = 4
	// reuseAfter is longer than reuse_after_s, 2 s.
	reuseAfter = 2500 * time.Millisecond
	// reuseFlows is the number of flows that are opened before.
	reuseFlows = 600
)

// reusedAddress lets a quarter of the targets of one service crash for good, together with the
// machines beside which they run, and their addresses go to the other service. Then entry hosts are
// restarted in turn, and a request is sent on each flow of the targets that were not touched. A
// reset by the system breaks the rule.
func reusedAddress(r *run) (broken bool, err error) {
	ips, err := freeAddresses(4 + lodgementTargets + certificatesTargets + 2)
	if err != nil {
		return false, err
	}
	d, err := standin.Start(standin.Options{
		Binary: r.wrapper, Dir: r.dir, IPs: ips, ControlHosts: 3, EntryHosts: 1, ToleratedLosses: 1, Zones: 3,
		Services: []standin.Service{{Name: "lodgement", Targets: lodgementTargets}, {Name: "certificates", Targets: certificatesTargets}},
	})
	if err != nil {
		return false, err
	}
	defer d.Stop()
	public := netip.AddrPortFrom(ips[len(ips)-1], 443)
	config := standin.Config{Version: 7, Services: []string{"lodgement", "certificates"}, Routes: []standin.Route{
		{Address: public, Service: "lodgement", NotRepeatable: true, Priority: 1, Objective: 200 * time.Millisecond, Timeout: requestTime},
		{Address: netip.AddrPortFrom(public.Addr(), 8443), Service: "certificates", Priority: 2, Objective: 500 * time.Millisecond, Timeout: requestTime},
	}}
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
	c.quiet = true
	time.Sleep(3 * time.Second)
	flows, err := openMany(c, public)
	if err != nil {
		return false, err
	}
	r.note("%d flows are open and have answered a request", len(flows))
	replaced := &replacement{run: r, deployment: d, addresses: map[string]bool{}}
	defer replaced.stop()
	defer func() { r.noteRuns(append(d.Targets, replaced.targets...)) }()
	if r.trouble {
		if err := replaced.play(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(reuseAfter)
	}
	time.Sleep(stableWindow + time.Second)
	return r.restartInTurn(d, replaced.untouched(flows))
}

// openMany opens flows and sends a request on each.
func openMany(c *caller, public netip.AddrPort) ([]*openFlow, error) {
	var flows []*openFlow
	for i := range reuseFlows {
		f, err := c.open(fmt.Sprint(i), public)
		if err != nil {
			return nil, fmt.Errorf("open a flow: %w", err)
		}
		if err := f.request("first-"+f.name, requestTime); err != nil {
			return nil, fmt.Errorf("first request: %w", err)
		}
		flows = append(flows, f)
	}
	return flows, nil
}

// replacement is the disruption.
type replacement struct {
	run        *run
	deployment *standin.Deployment
	// addresses are those that the other service uses now.
	addresses map[string]bool
	targets   []*standin.Target
	agents    []*exec.Cmd
}

// play ends the first targets and their agents, and starts targets of the other service with
// agents of their own at the same addresses.
func (p *replacement) play() error {
	d := p.deployment
	for i := range reusedAddresses {
		d.Targets[i].Crash()
		d.Agents[i].Kill()
		p.addresses[d.Agents[i].Host] = true
		p.run.note("target and machine %s are gone", d.Agents[i].Host)
	}
	time.Sleep(reuseAfter)
	for i := range reusedAddresses {
		if err := p.startAgent(d.Agents[i].Host); err != nil {
			return err
		}
		ip := d.Targets[i].IP
		target, err := standin.NewTarget("certificates", ip, d.ZoneOf(ip.String()))
		if err != nil {
			return err
		}
		p.targets = append(p.targets, target)
		p.run.note("address %s is that of a target of certificates now", ip)
	}
	return nil
}

// startAgent starts an agent with the settings of the former one but for the service.
func (p *replacement) startAgent(host string) error {
	former := filepath.Join(p.run.dir, "agent-"+strings.ReplaceAll(host, ".", "-")+".toml")
	settings, err := os.ReadFile(former)
	if err != nil {
		return err
	}
	path := filepath.Join(p.run.dir, "reused-"+host+".toml")
	text := strings.ReplaceAll(string(settings), `service = "lodgement"`, `service = "certificates"`)
	text = strings.ReplaceAll(text, "bootstrap = true", "bootstrap = false")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(p.run.wrapper, "platform", "agent")
	cmd.Env = append(os.Environ(), "EELGRASSWHARF_BOOT="+path)
	if err := cmd.Start(); err != nil {
		return err
	}
	p.agents = append(p.agents, cmd)
	return nil
}

func (p *replacement) stop() {
	for _, t := range p.targets {
		t.Stop()
	}
	for _, cmd := range p.agents {
		// They exit by themselves, or were ended before.
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}
}

// untouched returns the flows of targets whose address was not reused.
func (p *replacement) untouched(flows []*openFlow) []*openFlow {
	var out []*openFlow
	for _, f := range flows {
		if !p.addresses[f.targetAddress()] {
			out = append(out, f)
		}
	}
	p.run.note("%d of the flows are with targets that were not touched", len(out))
	return out
}

// restartInTurn restarts all entry hosts in turn, and sends a request on each flow while one is
// down and when it has started again.
func (r *run) restartInTurn(d *standin.Deployment, flows []*openFlow) (broken bool, err error) {
	lost := 0
	ask := func(round string) {
		var mu sync.Mutex
		var open []*openFlow
		var asking sync.WaitGroup
		for _, f := range flows {
			asking.Go(func() {
				err := f.request(round+"-"+f.name, requestTime)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, errReset) {
					lost++
					return
				}
				open = append(open, f)
			})
		}
		asking.Wait()
		flows = open
	}
	for i, p := range d.EntryHosts {
		r.note("entry host %s gets SIGTERM", p.Host)
		if err := p.Stop(stopTime); err != nil {
			return false, fmt.Errorf("stop an entry host: %w", err)
		}
		ask(fmt.Sprintf("down-%d", i))
		if err := p.Start(); err != nil {
			return false, fmt.Errorf("start an entry host: %w", err)
		}
		if err := awaitReady(d); err != nil {
			return false, err
		}
		ask(fmt.Sprintf("up-%d", i))
	}
	r.note("%d open flows were reset, %d were not; their targets live and were not touched", lost, len(flows))
	return lost > 0, nil
}
