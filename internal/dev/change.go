package dev

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
)

// fabricDelay is how long the fabric goes on to spray packets over an entry
// host that fell silent.
const fabricDelay = time.Second

// ErrNoSuchTarget reports an index that names no target.
var ErrNoSuchTarget = errors.New("no such target")

// ControlHosts is the number of control hosts.
func (d *Deployment) ControlHosts() int { return len(d.controls) }

// EntryHosts is the number of entry hosts.
func (d *Deployment) EntryHosts() int { return len(d.entries) }

// RestartControl ends a control host gracefully, starts it again on its disk
// and waits until a quorum confirms the configuration through it.
func (d *Deployment) RestartControl(ctx context.Context, index int) error {
	h := d.controls[index]
	h.process.stop()
	if err := d.launchControl(ctx, h); err != nil {
		return err
	}
	if err := d.renewClient(); err != nil {
		return err
	}
	own, err := d.newClient([]string{h.daemon.OperatorAddr()})
	if err != nil {
		return err
	}
	defer own.Close()
	return d.until(ctx, func() bool {
		_, confirmed, err := own.Config(ctx, 0)
		return err == nil && confirmed
	})
}

// RestartEntry withdraws an entry host from the fabric, restarts it, waits
// until it knows every target, and has the fabric use it again.
func (d *Deployment) RestartEntry(ctx context.Context, index int) error {
	h := d.entries[index]
	known := h.daemon.Targets()
	d.withdraw(h, true)
	h.process.stop()
	if err := d.launchEntry(ctx, h); err != nil {
		return err
	}
	if err := d.until(ctx, func() bool { return d.entryServes(h, known) }); err != nil {
		return err
	}
	d.withdraw(h, false)
	return nil
}

func (d *Deployment) withdraw(h *entryHost, yes bool) {
	d.mu.Lock()
	h.withdrawn = yes
	d.mu.Unlock()
	d.spread()
}

// RestartAgent starts a new agent beside the one of a target and has the old
// one leave, which goes on until its last session has ended. It waits until
// the new agent takes flows.
func (d *Deployment) RestartAgent(ctx context.Context, service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	old := t.process
	if err := d.launchAgent(t); err != nil {
		return err
	}
	old.leave()
	return d.await(ctx, t.agent.Registered())
}

// DrainTarget has a backend server leave, which goes on until its last session
// has ended, or Close.
func (d *Deployment) DrainTarget(service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	server := t.server
	d.draining.Go(func() { d.drain(d.life, server) })
	return nil
}

// AddTarget starts one more target of a service, with a cold start, and waits
// until it takes flows. It returns the name of the target.
func (d *Deployment) AddTarget(ctx context.Context, service string, cold backend.ColdStart) (string, error) {
	t, err := d.addTarget(ctx, service, cold)
	if err != nil {
		return "", err
	}
	return t.name, nil
}

// CrashServer ends a backend server at once, with all that it does.
func (d *Deployment) CrashServer(service string, index int) error {
	t, err := d.target(service, index)
	if err != nil {
		return err
	}
	return t.server.Close()
}

// StartServer starts a backend server again in the place of one that crashed,
// with a cold start.
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

// TargetsIn are the names of the targets of a service in a failure domain.
func (d *Deployment) TargetsIn(service, domain string) []string {
	var names []string
	for _, t := range d.targetsOf(service) {
		if t.domain == domain {
			names = append(names, t.name)
		}
	}
	return names
}

// IsolateDomain silences all hosts of a failure domain: nothing that they send
// arrives, and nothing reaches them. Its control hosts are stopped. The fabric
// notices a while later. It needs a Network.
func (d *Deployment) IsolateDomain(ctx context.Context, domain string) error {
	for _, t := range d.allTargets() {
		if t.domain != domain {
			continue
		}
		for _, r := range t.frames {
			r.Cut()
		}
	}
	for _, h := range d.controls {
		h.byDomain[domain].Cut()
		if h.domain == domain {
			d.silence(h)
		}
	}
	for _, h := range d.entries {
		if h.domain != domain {
			continue
		}
		for _, address := range h.daemon.PublicAddrs() {
			d.network.silence(netip.MustParseAddrPort(address))
		}
	}
	d.log.Info("failure domain lost", zap.String("domain", domain))
	return d.noticeLoss(ctx, domain)
}

// silence cuts a control host off and stops it.
func (d *Deployment) silence(h *controlHost) {
	h.peers.Cut()
	for _, r := range h.byDomain {
		r.Cut()
	}
	d.draining.Go(h.process.stop)
}

// noticeLoss has the fabric withdraw silent entry hosts after a while.
func (d *Deployment) noticeLoss(ctx context.Context, domain string) error {
	select {
	case <-time.After(fabricDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, h := range d.entries {
		if h.domain == domain {
			d.withdraw(h, true)
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
