package dev

import (
	"context"
	"fmt"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/agentd"
	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// target is a host with a backend server and its agent.
type target struct {
	service, name, domain string
	settings              *settingspb.AgentSettings
	agent                 *agentd.Daemon
	process               *process
	server                *backend.Server
	// frameRelays are the proxies in front of this host's agents, that of the current
	// agent last.
	frameRelays []*faultproxy.Relay
}

func (d *Deployment) startTargets(ctx context.Context) error {
	for _, s := range d.opts.Services {
		caller, err := d.issue(keys.RoleCaller, "", s.Name)
		if err != nil {
			return err
		}
		d.callers[s.Name] = caller
		d.runLogs[s.Name] = &backend.RunLog{}
		for range s.Targets {
			if _, err := d.addTarget(ctx, s.Name, backend.ColdStart{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// addTarget adds a target to a service and waits until it is registered.
func (d *Deployment) addTarget(ctx context.Context, service string, cold backend.ColdStart) (*target, error) {
	index := len(d.targetsOf(service))
	t := &target{service: service, name: targetName(service, index), domain: d.domain(index)}
	keySettings, err := d.keySettings(keys.RoleAgent, agentName(t.name), service)
	if err != nil {
		return nil, err
	}
	caller := d.callers[service]
	t.settings = &settingspb.AgentSettings{
		Host:    &settingspb.Host{Name: agentName(t.name), FailureDomain: t.domain},
		Keys:    keySettings,
		Control: &settingspb.ControlPeers{Addresses: d.controlAddresses(t.domain)},
		Agent: &settingspb.Agent{
			FrameListen:       d.network.listenAddr(t.domain),
			AnnounceListen:    freePort,
			CallerCertificate: caller.Certificate,
			CallerPrivateKey:  caller.PrivateKey,
			FlowCapacity:      d.opts.FlowCapacity,
		},
	}
	settings.ApplyDefaults(t.settings)
	if err := d.startAgent(t); err != nil {
		return nil, err
	}
	if err := d.wait(ctx, t.agent.Ready()); err != nil {
		return nil, err
	}
	// A replacement of the agent must listen on the same address.
	t.settings.Agent.AnnounceListen = t.agent.AnnounceAddr()
	if err := d.startServer(t, cold); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.targets[service] = append(d.targets[service], t)
	d.mu.Unlock()
	return t, d.wait(ctx, t.agent.Registered())
}

// startAgent starts an agent for a target. It does not stop a previous one.
func (d *Deployment) startAgent(t *target) error {
	var relay *faultproxy.Relay
	if d.opts.Network != nil {
		var err error
		if relay, err = d.network.relay(d.network.delayTo(t.domain)); err != nil {
			return err
		}
		t.settings.Agent.FrameAddress = relay.Addr().String()
	}
	agent, err := agentd.New(t.settings, d.log.Named(agentName(t.name)), d.opts.Scope)
	if err != nil {
		return err
	}
	if relay != nil {
		if err := setRelayHost(relay, agent.FrameAddr()); err != nil {
			return err
		}
		t.frameRelays = append(t.frameRelays, relay)
	}
	t.agent = agent
	t.process = d.startProcess(agentName(t.name), agent)
	d.agents = append(d.agents, t.process)
	return nil
}

// startServer starts the backend server of a target.
func (d *Deployment) startServer(t *target, cold backend.ColdStart) error {
	server, err := backend.Start(backend.Options{
		Service: t.service, Target: t.name, Listen: freePort, Announce: t.settings.Agent.AnnounceListen,
		Slots: d.slotsOf(t.service), AnnouncePeriod: announcePeriod, Cold: cold,
		RunLog: d.runLogs[t.service], Log: d.log.Named(t.name),
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.server = server
	return nil
}

func (d *Deployment) slotsOf(service string) uint32 {
	for _, s := range d.opts.Services {
		if s.Name == service {
			return s.Slots
		}
	}
	return defaultSlots
}

func (d *Deployment) targetsOf(service string) []*target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*target(nil), d.targets[service]...)
}

// Targets returns the names of all targets of a service, including drained ones.
func (d *Deployment) Targets(service string) []string {
	var names []string
	for _, t := range d.targetsOf(service) {
		names = append(names, t.name)
	}
	return names
}

// Backends returns the backend servers of a service in the order of Targets.
func (d *Deployment) Backends(service string) []*backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []*backend.Server
	for _, t := range d.targets[service] {
		servers = append(servers, t.server)
	}
	return servers
}

// RunCount returns how often an idempotency key ran on all backend servers of a service,
// including crashed and drained ones.
func (d *Deployment) RunCount(service, key string) int { return d.runLogs[service].Count(key) }

func targetName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index+1) }

func agentName(target string) string { return "agent-" + target }
