package dev

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
)

// withdrawalDelay is the time for which the fabric still sends packets to an unresponsive
// entry host.
const withdrawalDelay = time.Second

// ErrNoSuchTarget reports an invalid index of a target.
var ErrNoSuchTarget = errors.New("no such target")

// ControlHosts returns the number of control hosts.
func (d *Deployment) ControlHosts() int { return len(d.controls) }

// EntryHosts returns the number of entry hosts.
func (d *Deployment) EntryHosts() int { return len(d.entries) }

// RestartControl restarts a control host gracefully on its data and waits until a quorum
// confirms the configuration through it.
func (d *Deployment) RestartControl(ctx context.Context, index int) error {
	h := d.controls[index]
	h.process.stop()
	if err := d.startControl(ctx, h); err != nil {
		return err
	}
	if err := d.renewClient(); err != nil {
		return err
	}
	client, err := d.newClient([]string{h.daemon.OperatorAddr()})
	if err != nil {
		return err
	}
	defer client.Close()
	return d.waitUntil(ctx, func() bool {
		_, confirmed, err := client.Config(ctx, 0)
		return err == nil && confirmed
	})
}

// RestartEntry withdraws an entry host from the fabric, restarts it, waits until it knows
// as many targets as before, and returns it to the fabric.
func (d *Deployment) RestartEntry(ctx context.Context, index int) error {
	h := d.entries[index]
	known := h.daemon.Targets()
	d.setWithdrawn(h, true)
	h.process.stop()
	if err := d.startEntry(ctx, h); err != nil {
		return err
	}
	if err := d.waitUntil(ctx, func() bool { return d.entryReady(h, known) }); err != nil {
		return err
	}
	d.setWithdrawn(h, false)
	return nil
}

func (d *Deployment) setWithdrawn(h *entryHost, value bool) {
	d.mu.Lock()
	h.withdrawn = value
	d.mu.Unlock()
	d.updateFabric()
}

// RestartAgent replaces the agent of a target and waits until the new one is registered.
// The old one drains until its last session has ended.
func (d *Deployment) RestartAgent(ctx context.Context, service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	old := t.process
	if err := d.startAgent(t); err != nil {
		return err
	}
	old.requestStop()
	return d.wait(ctx, t.agent.Registered())
}

// DrainTarget starts to drain a backend server, which lasts until its last session has
// ended, or until Close.
func (d *Deployment) DrainTarget(service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	server := t.server
	d.draining.Go(func() { d.drain(d.runCtx, server) })
	return nil
}

// AddTarget adds a target to a service, with a cold start, and waits until it is
// registered. It returns the name of the target.
func (d *Deployment) AddTarget(ctx context.Context, service string, cold backend.ColdStart) (string, error) {
	t, err := d.addTarget(ctx, service, cold)
	if err != nil {
		return "", err
	}
	return t.name, nil
}

// CrashServer stops a backend server abruptly, with all its requests.
func (d *Deployment) CrashServer(service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	return t.server.Close()
}

// StartServer starts a backend server in place of one that crashed, with a cold start.
func (d *Deployment) StartServer(service string, index int, cold backend.ColdStart) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	return d.startServer(t, cold)
}

func (d *Deployment) target(service string, index int) (*target, error) {
	all := d.targetsOf(service)
	if index < 0 || index >= len(all) {
		return nil, errors.Wrapf(ErrNoSuchTarget, "%s %d", service, index)
	}
	return all[index], nil
}

// TargetsIn returns the names of the targets of a service in a failure domain.
func (d *Deployment) TargetsIn(service, domain string) []string {
	var names []string
	for _, t := range d.targetsOf(service) {
		if t.domain == domain {
			names = append(names, t.name)
		}
	}
	return names
}

// IsolateDomain drops all traffic to and from the hosts of a failure domain and stops its
// control hosts. The fabric withdraws its entry hosts after withdrawalDelay. It needs a
// Network.
func (d *Deployment) IsolateDomain(ctx context.Context, domain string) error {
	for _, t := range d.allTargets() {
		if t.domain != domain {
			continue
		}
		for _, r := range t.frameRelays {
			r.Cut()
		}
	}
	for _, h := range d.controls {
		h.domainRelays[domain].Cut()
		if h.domain == domain {
			d.isolate(h)
		}
	}
	for _, h := range d.entries {
		if h.domain != domain {
			continue
		}
		for _, address := range h.daemon.PublicAddrs() {
			d.network.isolate(netip.MustParseAddrPort(address))
		}
	}
	d.log.Info("failure domain isolated", zap.String("domain", domain))
	return d.withdrawIsolatedEntries(ctx, domain)
}

// isolate cuts the relays to a control host and stops it.
func (d *Deployment) isolate(h *controlHost) {
	h.peerRelay.Cut()
	for _, r := range h.domainRelays {
		r.Cut()
	}
	d.draining.Go(h.process.stop)
}

// withdrawIsolatedEntries withdraws the entry hosts of a failure domain from the fabric
// after withdrawalDelay.
func (d *Deployment) withdrawIsolatedEntries(ctx context.Context, domain string) error {
	select {
	case <-time.After(withdrawalDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, h := range d.entries {
		if h.domain == domain {
			d.setWithdrawn(h, true)
		}
	}
	return nil
}

func (d *Deployment) allTargets() []*target {
	var all []*target
	for _, s := range d.opts.Services {
		all = append(all, d.targetsOf(s.Name)...)
	}
	return all
}
