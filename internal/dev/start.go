package dev

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/agentd"
	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/entryd"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const (
	freePort        = "127.0.0.1:0"
	loopback        = "127.0.0.0/8"
	loopbackIP      = "127.0.0.1"
	patchID         = "dev-services"
	announcePeriod  = 500 * time.Millisecond
	controlDomain   = "challenge"
	firstPublicPort = 443
)

// ErrRefused reports that the patch with the services was refused.
var ErrRefused = errors.New("the services were refused")

func domain(i int) string {
	names := [...]string{"oke-ado", "dugbe", "bodija", controlDomain}
	return names[i%len(names)]
}

func (d *Deployment) keysDir() string { return filepath.Join(d.folder, keysFolder) }

func (d *Deployment) makeKeys(context.Context) error {
	if err := keys.InitAuthority(d.keysDir()); err != nil {
		return err
	}
	authority, err := keys.LoadAuthority(d.keysDir())
	if err != nil {
		return err
	}
	d.roots.AppendCertsFromPEM(authority.CertificatePEM())
	d.operator, err = d.issue(keys.RoleOperator, operatorName, "")
	return err
}

func (d *Deployment) issue(role keys.Role, name, service string) (keys.Files, error) {
	return keys.Issue(d.keysDir(), role, name, service, nil, keyValidity)
}

// keySettings issues a certificate and returns the section that names it.
func (d *Deployment) keySettings(role keys.Role, name, service string) (*settingspb.Keys, error) {
	files, err := d.issue(role, name, service)
	if err != nil {
		return nil, err
	}
	return &settingspb.Keys{
		Authority:   files.Authority,
		Certificate: files.Certificate,
		PrivateKey:  files.PrivateKey,
		DataSecrets: files.DataSecrets,
	}, nil
}

func (d *Deployment) startControl(ctx context.Context) error {
	keySettings, err := d.keySettings(keys.RoleControl, controlName, "")
	if err != nil {
		return err
	}
	s := &settingspb.ControlSettings{
		Host: &settingspb.Host{Name: controlName, FailureDomain: controlDomain},
		Keys: keySettings,
		Replica: &settingspb.Replica{
			DataFolder:     filepath.Join(d.folder, dataFolder),
			Listen:         freePort,
			OperatorListen: freePort,
		},
	}
	settings.Defaults(s)
	d.control, err = controld.New(s, d.log.Named(controlName), d.opts.Scope)
	if err != nil {
		return err
	}
	life, stop := context.WithCancel(context.Background())
	d.stopControl = stop
	if err := d.run(ctx, life, &d.controlWG, controlName, d.control); err != nil {
		return err
	}
	creds, err := keys.Load(keys.Files{
		Authority: d.operator.Authority, Certificate: d.operator.Certificate, PrivateKey: d.operator.PrivateKey,
	})
	if err != nil {
		return err
	}
	d.client = operator.NewClient([]string{d.control.OperatorAddr()}, creds)
	return nil
}

// submitServices puts the services into the configuration. The control host
// may still be electing itself, so a patch that was not done goes again.
func (d *Deployment) submitServices(ctx context.Context) error {
	patch := &configpb.Patch{Id: patchID}
	for i, s := range d.opts.Services {
		// Entry hosts open a free port in place of the public one.
		addr := net.JoinHostPort(loopbackIP, fmt.Sprint(firstPublicPort+i))
		patch.Operations = append(patch.Operations, &configpb.Operation{
			Body: &configpb.Operation_PutService{PutService: &configpb.Service{
				Name: s.Name, Addresses: []string{addr}, Slots: slots,
			}},
		})
	}
	for {
		outcome, err := d.client.Submit(ctx, patch)
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

func (d *Deployment) startEntries(ctx context.Context) error {
	life, stop := context.WithCancel(context.Background())
	d.stopEntries = stop
	for i := range d.opts.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		keySettings, err := d.keySettings(keys.RoleEntry, name, "")
		if err != nil {
			return err
		}
		s := &settingspb.EntrySettings{
			Host:    &settingspb.Host{Name: name, FailureDomain: domain(i)},
			Keys:    keySettings,
			Control: &settingspb.ControlPeers{Addresses: []string{d.control.LinkAddr()}},
			Forwarding: &settingspb.Forwarding{
				PublicIp:      loopbackIP,
				FreePorts:     true,
				FrameListen:   freePort,
				AgentNetworks: []string{loopback},
			},
		}
		settings.Defaults(s)
		e, err := entryd.New(s, d.log.Named(name), d.opts.Scope)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		if err := d.run(ctx, life, &d.entriesWG, name, e); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startTargets(ctx context.Context) error {
	life, stop := context.WithCancel(context.Background())
	d.stopTargets = stop
	for _, s := range d.opts.Services {
		caller, err := d.issue(keys.RoleCaller, "", s.Name)
		if err != nil {
			return err
		}
		for i := range s.Targets {
			if err := d.startTarget(ctx, life, s.Name, i, caller); err != nil {
				return err
			}
		}
	}
	return nil
}

// startTarget starts an agent and its backend server.
func (d *Deployment) startTarget(ctx, life context.Context, service string, index int, caller keys.Files) error {
	target := targetName(service, index)
	name := "agent-" + target
	keySettings, err := d.keySettings(keys.RoleAgent, name, service)
	if err != nil {
		return err
	}
	s := &settingspb.AgentSettings{
		Host:    &settingspb.Host{Name: name, FailureDomain: domain(index)},
		Keys:    keySettings,
		Control: &settingspb.ControlPeers{Addresses: []string{d.control.LinkAddr()}},
		Agent: &settingspb.Agent{
			FrameListen:       freePort,
			AnnounceListen:    freePort,
			CallerCertificate: caller.Certificate,
			CallerPrivateKey:  caller.PrivateKey,
		},
	}
	settings.Defaults(s)
	a, err := agentd.New(s, d.log.Named(name), d.opts.Scope)
	if err != nil {
		return err
	}
	if err := d.run(ctx, life, &d.targetsWG, name, a); err != nil {
		return err
	}
	b, err := backend.Start(backend.Options{
		Service: service, Target: target, Listen: freePort, Announce: a.AnnounceAddr(),
		Slots: slots, AnnouncePeriod: announcePeriod, Log: d.log.Named(target),
	})
	if err != nil {
		return err
	}
	d.backends[service] = append(d.backends[service], b)
	return nil
}

// pause waits a moment, or returns why there is nothing to wait for.
func (d *Deployment) pause(ctx context.Context) error {
	select {
	case <-time.After(pollPause):
		return nil
	case <-d.gone:
		return d.failure()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitService waits until every entry host has opened every public address
// and the control host knows every target.
func (d *Deployment) awaitService(ctx context.Context) error {
	want := 0
	for _, s := range d.opts.Services {
		want += s.Targets
	}
	for {
		if d.addressesOpen() && d.knownTargets(ctx) >= want {
			d.log.Info("deployment ready", zap.Int("targets", want), zap.Int("entries", len(d.entries)))
			return nil
		}
		if err := d.pause(ctx); err != nil {
			return err
		}
	}
}

func (d *Deployment) addressesOpen() bool {
	for _, e := range d.entries {
		if len(e.PublicAddrs()) < len(d.opts.Services) {
			return false
		}
	}
	return true
}

func (d *Deployment) knownTargets(ctx context.Context) int {
	for _, h := range d.client.Status(ctx) {
		if h.Err == nil {
			return h.Status.Targets
		}
	}
	return 0
}

// Addresses are where callers reach a service, one on each entry host.
func (d *Deployment) Addresses(service string) []string {
	var out []string
	for i, s := range d.opts.Services {
		if s.Name != service {
			continue
		}
		public := net.JoinHostPort(loopbackIP, fmt.Sprint(firstPublicPort+i))
		for _, e := range d.entries {
			if addr := e.PublicAddrs()[public]; addr != "" {
				out = append(out, addr)
			}
		}
	}
	return out
}
