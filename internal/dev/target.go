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
	// frames are the proxies in front of this host's agents, the present one
	// last.
	frames []*faultproxy.Relay
}

func (d *Deployment) startTargets(ctx context.Context) error {
	for _, s := range d.opts.Services {
		caller, err := d.issue(keys.RoleCaller, "", s.Name)
		if err != nil {
			return err
		}
		d.callers[s.Name] = caller
		d.ledgers[s.Name] = &backend.RunLog{}
		for range s.Targets {
			if _, err := d.addTarget(ctx, s.Name, backend.ColdStart{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// addTarget starts one more target of a service and waits until it is
// registered.
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
			FrameListen:       d.network.listenIn(t.domain),
			AnnounceListen:    freePort,
			CallerCertificate: caller.Certificate,
			CallerPrivateKey:  caller.PrivateKey,
			FlowCapacity:      d.opts.FlowCapacity,
		},
	}
	settings.ApplyDefaults(t.settings)
	if err := d.launchAgent(t); err != nil {
		return nil, err
	}
	if err := d.await(ctx, t.agent.Ready()); err != nil {
		return nil, err
	}
	// The agent that takes its place has to listen where this one did.
	t.settings.Agent.AnnounceListen = t.agent.AnnounceAddr()
	if err := d.startServer(t, cold); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.targets[service] = append(d.targets[service], t)
	d.mu.Unlock()
	return t, d.await(ctx, t.agent.Registered())
}

// launchAgent starts an agent for a target, beside the one that it may have.
func (d *Deployment) launchAgent(t *target) error {
	var relay *faultproxy.Relay
	if d.opts.Network != nil {
		var err error
		if relay, err = d.network.relay(d.network.distanceTo(t.domain)); err != nil {
			return err
		}
		t.settings.Agent.FrameAddress = relay.Addr().String()
	}
	agent, err := agentd.New(t.settings, d.log.Named(agentName(t.name)), d.opts.Scope)
	if err != nil {
		return err
	}
	if relay != nil {
		if err := lead(relay, agent.FrameAddr()); err != nil {
			return err
		}
		t.frames = append(t.frames, relay)
	}
	t.agent = agent
	t.process = d.launch(agentName(t.name), agent)
	d.agents = append(d.agents, t.process)
	return nil
}

// startServer starts the backend server of a target.
func (d *Deployment) startServer(t *target, cold backend.ColdStart) error {
	server, err := backend.Start(backend.Options{
		Service: t.service, Target: t.name, Listen: freePort, Announce: t.settings.Agent.AnnounceListen,
		Slots: d.slotsOf(t.service), AnnouncePeriod: announcePeriod, Cold: cold,
		RunLog: d.ledgers[t.service], Log: d.log.Named(t.name),
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

// Targets are the names of the targets of a service, also of those that left.
func (d *Deployment) Targets(service string) []string {
	var names []string
	for _, t := range d.targetsOf(service) {
		names = append(names, t.name)
	}
	return names
}

// Backends are the backend servers of a service, in the order of Targets.
func (d *Deployment) Backends(service string) []*backend.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var servers []*backend.Server
	for _, t := range d.targets[service] {
		servers = append(servers, t.server)
	}
	return servers
}

// RunCount tells how often an idempotency key ran at all backend servers of a
// service, those that crashed or left included.
func (d *Deployment) RunCount(service, key string) int { return d.ledgers[service].Count(key) }

func targetName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index+1) }

func agentName(target string) string { return "agent-" + target }
