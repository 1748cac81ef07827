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
var ErrRefused = errors.New("the services were refused")

// controlHost is a control host. Its settings and disk outlive its daemon.
type controlHost struct {
	name, domain string
	settings     *settingspb.ControlSettings
	daemon       *controld.Daemon
	process      *process
	// peers leads the other control hosts to it, byDomain the hosts of each
	// failure domain. Both are empty without a network.
	peers    *faultproxy.Relay
	byDomain map[string]*faultproxy.Relay
}

func (d *Deployment) startControls(ctx context.Context) error {
	var voters []string
	for i := range d.opts.ControlHosts {
		h, err := d.newControl(i)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, h)
		if h.peers != nil {
			voters = append(voters, fmt.Sprintf("%s=%s", h.name, h.peers.Addr()))
		}
	}
	for _, h := range d.controls {
		h.settings.Replica.InitialVoters = voters
		if err := d.launchControl(ctx, h); err != nil {
			return err
		}
	}
	return d.renewClient()
}

func (d *Deployment) newControl(index int) (*controlHost, error) {
	h := &controlHost{
		name:     fmt.Sprintf("control-%d", index+1),
		domain:   d.domain(index),
		byDomain: map[string]*faultproxy.Relay{},
	}
	keySettings, err := d.keySettings(keys.RoleControl, h.name, "")
	if err != nil {
		return nil, err
	}
	h.settings = &settingspb.ControlSettings{
		Host: &settingspb.Host{Name: h.name, FailureDomain: h.domain},
		Keys: keySettings,
		Replica: &settingspb.Replica{
			DataFolder:     filepath.Join(d.folder, dataFolder, h.name),
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

// openControlRelays gives each failure domain a way of its own to a control
// host, so that the loss of the domain cuts it.
func (d *Deployment) openControlRelays(h *controlHost) error {
	var err error
	if h.peers, err = d.network.relay(d.network.distanceTo("")); err != nil {
		return err
	}
	for _, domain := range d.opts.Domains {
		delay := d.network.distanceTo("")
		if domain == h.domain {
			delay = nil
		}
		if h.byDomain[domain], err = d.network.relay(delay); err != nil {
			return err
		}
	}
	return nil
}

// launchControl starts the daemon of a control host, again after it ended.
func (d *Deployment) launchControl(ctx context.Context, h *controlHost) error {
	var err error
	h.daemon, err = controld.New(h.settings, d.log.Named(h.name), d.opts.Scope)
	if err != nil {
		return err
	}
	h.process = d.launch(h.name, h.daemon)
	if err := d.await(ctx, h.daemon.Ready()); err != nil {
		return err
	}
	if h.peers == nil {
		return nil
	}
	if err := lead(h.peers, h.daemon.LinkAddr()); err != nil {
		return err
	}
	for _, r := range h.byDomain {
		if err := lead(r, h.daemon.LinkAddr()); err != nil {
			return err
		}
	}
	return nil
}

// controlAddresses are the link addresses of the control hosts as the hosts
// of a failure domain reach them, the near ones first.
func (d *Deployment) controlAddresses(domain string) []string {
	var near, far []string
	for _, h := range d.controls {
		switch {
		case h.peers == nil:
			far = append(far, h.daemon.LinkAddr())
		case h.domain == domain:
			near = append(near, h.byDomain[domain].Addr().String())
		default:
			far = append(far, h.byDomain[domain].Addr().String())
		}
	}
	return append(near, far...)
}

// renewClient makes a client for the operator addresses that are open now.
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

// submitServices puts the services into the configuration. The control hosts
// may still be electing a leader, so a patch that was not done goes again.
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
		// The identifier keeps a resend from applying twice.
		if err := d.pause(ctx); err != nil {
			return err
		}
	}
}

// publicAddress is the public address of a service. Entry hosts open a free
// port in its place.
func publicAddress(index int) string {
	return net.JoinHostPort(loopbackIP, fmt.Sprint(firstPublicPort+index))
}

// knownTargets is the greatest number of targets that a control host knows.
func (d *Deployment) knownTargets(ctx context.Context) int {
	most := 0
	for _, h := range d.Operator().Status(ctx) {
		if h.Err == nil {
			most = max(most, h.Status.Targets)
		}
	}
	return most
}
