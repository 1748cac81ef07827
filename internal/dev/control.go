package dev

import (
	"context"
	"fmt"
	"net"
	"path/filepath"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// ErrRefused reports that the patch with the services was refused.
var ErrRefused = errors.New("patch with the services refused")

// controlHost is a control host. Its settings and data directory are kept across
// restarts of its daemon.
type controlHost struct {
	name, domain string
	settings     *settingspb.ControlSettings
	daemon       *controld.Daemon
	process      *process
	// peerRelay is its address for the other control hosts, domainRelays for the hosts
	// of each failure domain. Both are empty without a network.
	peerRelay    *faultproxy.Relay
	domainRelays map[string]*faultproxy.Relay
}

func (d *Deployment) startControls(ctx context.Context) error {
	var voters []string
	for i := range d.opts.ControlHosts {
		h, err := d.newControl(i)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, h)
		if h.peerRelay != nil {
			voters = append(voters, fmt.Sprintf("%s=%s", h.name, h.peerRelay.Addr()))
		}
	}
	for _, h := range d.controls {
		h.settings.Replica.InitialVoters = voters
		if err := d.startControl(ctx, h); err != nil {
			return err
		}
	}
	return d.renewClient()
}

func (d *Deployment) newControl(index int) (*controlHost, error) {
	h := &controlHost{
		name:         fmt.Sprintf("control-%d", index+1),
		domain:       d.domain(index),
		domainRelays: map[string]*faultproxy.Relay{},
	}
	keySettings, err := d.keySettings(keys.RoleControl, h.name, "")
	if err != nil {
		return nil, err
	}
	h.settings = &settingspb.ControlSettings{
		Host: &settingspb.Host{Name: h.name, FailureDomain: h.domain},
		Keys: keySettings,
		Replica: &settingspb.Replica{
			DataFolder:     filepath.Join(d.dir, dataDirName, h.name),
			Listen:         freePort,
			OperatorListen: freePort,
		},
	}
	settings.ApplyDefaults(h.settings)
	if d.opts.Network == nil {
		return h, nil
	}
	return h, d.openControlRelays(h)
}

// openControlRelays opens a relay from each failure domain to a control host, so that a
// domain can be isolated.
func (d *Deployment) openControlRelays(h *controlHost) error {
	var err error
	if h.peerRelay, err = d.network.relay(d.network.delayTo("")); err != nil {
		return err
	}
	for _, domain := range d.opts.Domains {
		delay := d.network.delayTo("")
		if domain == h.domain {
			delay = nil
		}
		if h.domainRelays[domain], err = d.network.relay(delay); err != nil {
			return err
		}
	}
	return nil
}

// startControl starts or restarts the daemon of a control host.
func (d *Deployment) startControl(ctx context.Context, h *controlHost) error {
	var err error
	h.daemon, err = controld.New(h.settings, d.log.Named(h.name), d.opts.Scope)
	if err != nil {
		return err
	}
	h.process = d.startProcess(h.name, h.daemon)
	if err := d.wait(ctx, h.daemon.Ready()); err != nil {
		return err
	}
	if h.peerRelay == nil {
		return nil
	}
	if err := setRelayHost(h.peerRelay, h.daemon.LinkAddr()); err != nil {
		return err
	}
	for _, r := range h.domainRelays {
		if err := setRelayHost(r, h.daemon.LinkAddr()); err != nil {
			return err
		}
	}
	return nil
}

// controlAddresses returns the link addresses of the control hosts for the hosts of a
// failure domain, those in the same domain first.
func (d *Deployment) controlAddresses(domain string) []string {
	var local, remote []string
	for _, h := range d.controls {
		switch {
		case h.peerRelay == nil:
			remote = append(remote, h.daemon.LinkAddr())
		case h.domain == domain:
			local = append(local, h.domainRelays[domain].Addr().String())
		default:
			remote = append(remote, h.domainRelays[domain].Addr().String())
		}
	}
	return append(local, remote...)
}

// renewClient replaces the client by one for the current operator addresses.
func (d *Deployment) renewClient() error {
	var addresses []string
	for _, h := range d.controls {
		addresses = append(addresses, h.daemon.OperatorAddr())
	}
	client, err := d.newClient(addresses)
	if err != nil {
		return err
	}
	if old := d.client.Swap(client); old != nil {
		old.Close()
	}
	return nil
}

func (d *Deployment) newClient(addresses []string) (*operator.Client, error) {
	creds, err := keys.Load(keys.Files{
		Authority: d.operator.Authority, Certificate: d.operator.Certificate, PrivateKey: d.operator.PrivateKey,
	})
	if err != nil {
		return nil, err
	}
	return operator.NewClient(addresses, creds), nil
}

// submitServices submits the services as the first patch. It retries, since the control
// hosts may still be electing a leader.
func (d *Deployment) submitServices(ctx context.Context) error {
	patch := &configpb.Patch{Id: patchID}
	for i, s := range d.opts.Services {
		patch.Operations = append(patch.Operations, &configpb.Operation{
			Body: &configpb.Operation_PutService{PutService: &configpb.Service{
				Name: s.Name, Addresses: []string{publicAddress(i)}, Slots: s.Slots, Policy: s.Policy,
			}},
		})
	}
	for {
		outcome, err := d.Operator().Submit(ctx, patch)
		switch {
		case err == nil && outcome.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED:
			return nil
		case err == nil:
			return errors.Wrapf(ErrRefused, "%v", outcome)
		}
		// The patch identifier prevents a retry from being applied twice.
		if err := d.waitPollInterval(ctx); err != nil {
			return err
		}
	}
}

// publicAddress returns the configured public address of a service. Entry hosts listen
// on a free port instead.
func publicAddress(index int) string {
	return net.JoinHostPort(loopbackIP, fmt.Sprint(firstPublicPort+index))
}

// knownTargets returns the highest number of targets that any control host knows.
func (d *Deployment) knownTargets(ctx context.Context) int {
	highest := 0
	for _, h := range d.Operator().Status(ctx) {
		if h.Err == nil {
			highest = max(highest, h.Status.Targets)
		}
	}
	return highest
}
