package dev

import (
	"context"
	"fmt"
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/entryd"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// entryHost is an entry host. Its settings are kept across restarts of its daemon.
type entryHost struct {
	name, domain string
	settings     *settingspb.EntrySettings
	daemon       *entryd.Daemon
	process      *process
	// withdrawn means that the fabric sends it no packets of callers.
	withdrawn bool
}

func (d *Deployment) startEntries(ctx context.Context) error {
	for i := range d.opts.EntryHosts {
		h, err := d.newEntry(i)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, h)
		if err := d.startEntry(ctx, h); err != nil {
			return err
		}
	}
	if d.opts.Network == nil {
		return nil
	}
	for _, s := range d.opts.Services {
		if err := d.network.openFabric(s.Name); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) newEntry(index int) (*entryHost, error) {
	h := &entryHost{name: fmt.Sprintf("entry-%d", index+1), domain: d.domain(index)}
	keySettings, err := d.keySettings(keys.RoleEntry, h.name, "")
	if err != nil {
		return nil, err
	}
	listen := d.network.listenAddr(h.domain)
	h.settings = &settingspb.EntrySettings{
		Host:    &settingspb.Host{Name: h.name, FailureDomain: h.domain},
		Keys:    keySettings,
		Control: &settingspb.ControlPeers{Addresses: d.controlAddresses(h.domain)},
		Forwarding: &settingspb.Forwarding{
			PublicIp:      netip.MustParseAddrPort(listen).Addr().String(),
			FreePorts:     true,
			FrameListen:   listen,
			AgentNetworks: []string{loopback},
		},
	}
	settings.ApplyDefaults(h.settings)
	return h, nil
}

// startEntry starts or restarts the daemon of an entry host.
func (d *Deployment) startEntry(ctx context.Context, h *entryHost) error {
	daemon, err := entryd.New(h.settings, d.log.Named(h.name), d.opts.Scope)
	if err != nil {
		return err
	}
	d.mu.Lock()
	h.daemon = daemon
	d.mu.Unlock()
	h.process = d.startProcess(h.name, daemon)
	return d.wait(ctx, daemon.Ready())
}

// entryReady reports whether an entry host has opened every public address and knows
// enough targets.
func (d *Deployment) entryReady(h *entryHost, targets int) bool {
	return len(h.daemon.PublicAddrs()) >= len(d.opts.Services) && h.daemon.Targets() >= targets
}

// updateFabric makes the fabrics send to all entry hosts that are not withdrawn.
func (d *Deployment) updateFabric() {
	for name, relay := range d.network.fabricRelays {
		var hosts []netip.AddrPort
		for _, address := range d.entryAddresses(name) {
			hosts = append(hosts, netip.MustParseAddrPort(address))
		}
		relay.SetHosts(hosts...)
	}
}

// entryAddresses returns the addresses of a service on the entry hosts that are not
// withdrawn.
func (d *Deployment) entryAddresses(service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for i, s := range d.opts.Services {
		if s.Name != service {
			continue
		}
		for _, h := range d.entries {
			if address := h.daemon.PublicAddrs()[publicAddress(i)]; address != "" && !h.withdrawn {
				out = append(out, address)
			}
		}
	}
	return out
}

// Addresses returns the addresses of a service for callers: the fabric if there is one,
// else one address on each entry host.
func (d *Deployment) Addresses(service string) []string {
	if relay := d.network.fabricRelays[service]; relay != nil {
		return []string{relay.Addr().String()}
	}
	return d.entryAddresses(service)
}
