package entryd

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// Errors of New for invalid settings.
var (
	ErrNoControlHosts = errors.New("no control hosts: there would be no configuration")
	ErrWrongRole      = errors.New("certificate is not that of an entry host")
)

// Daemon is an entry host: a Forwarder that follows the views of a Subscriber.
type Daemon struct {
	settings  *settingspb.EntrySettings
	log       *zap.Logger
	scope     tally.Scope
	creds     *keys.Credentials
	forwarder *Forwarder
	// keysReloadInterval is the time between two checks of the key files. Tests shorten it.
	keysReloadInterval time.Duration
}

// New reads the keys and opens the frame address. It opens no connection before Run.
func New(s *settingspb.EntrySettings, log *zap.Logger, scope tally.Scope) (*Daemon, error) {
	if len(s.GetControl().GetAddresses()) == 0 {
		return nil, ErrNoControlHosts
	}
	o, err := optionsFrom(s.GetForwarding())
	if err != nil {
		return nil, errors.Wrap(err, "forwarding")
	}
	creds, err := keys.FromSettings(s.GetKeys())
	if err != nil {
		return nil, errors.Wrap(err, "keys")
	}
	if role := creds.Identity().Role; role != keys.RoleEntry {
		return nil, errors.Wrapf(ErrWrongRole, "role %q", role)
	}

	o.Secrets = dataSecrets(creds)
	o.Log = log
	o.Scope = scope
	f, err := NewForwarder(o)
	if err != nil {
		return nil, err
	}
	return &Daemon{
		settings:           s,
		log:                log,
		scope:              scope,
		creds:              creds,
		forwarder:          f,
		keysReloadInterval: keys.ReloadInterval,
	}, nil
}

// Run forwards until the context is done and returns nil after a graceful shutdown. It
// must be called once.
func (d *Daemon) Run(ctx context.Context) error {
	d.creds.OnChange(d.replaceSecrets)
	client := link.NewClient(d.settings.GetControl().GetAddresses(), d.creds, link.ClientOptions{
		Scope: d.scope,
		Log:   d.log,
	})
	defer client.Close()
	sub := subscriber.Start(subscriber.Options{
		Client:         client,
		Scope:          d.scope,
		Log:            d.log,
		OnView:         d.onView,
		FailureDomain:  d.settings.GetHost().GetFailureDomain(),
		FailureDomains: d.settings.GetDirectory().GetFailureDomains(),
	})
	defer sub.Close()

	watching, stop := context.WithCancel(ctx)
	var watch conc.WaitGroup
	watch.Go(func() { d.creds.Watch(watching, d.keysReloadInterval, keys.LogReload(d.log)) })
	defer watch.Wait()
	defer stop()
	return d.forwarder.Run(ctx)
}

// Ready is closed when the first configuration is active.
func (d *Daemon) Ready() <-chan struct{} {
	return d.forwarder.Ready()
}

// PublicAddrs returns the local address of each open public address.
func (d *Daemon) PublicAddrs() map[string]string {
	return d.forwarder.PublicAddrs()
}

// Targets returns the number of known targets of all services.
func (d *Daemon) Targets() int {
	return d.forwarder.Targets()
}

// FrameAddr returns the address on which frames are received.
func (d *Daemon) FrameAddr() string {
	return d.forwarder.FrameAddr().String()
}

func (d *Daemon) onView(v *subscriber.View) {
	d.forwarder.Apply(newView(v, len(d.settings.GetDirectory().GetFailureDomains()) > 0))
}

// newView converts a view of the subscription. If that is limited to some failure
// domains, there may be targets elsewhere, so the view is not complete. Targets in
// evacuated failure domains are excluded; established flows do not need the list.
func newView(v *subscriber.View, limited bool) *View {
	return &View{Config: v.Config, Targets: v.AvailableTargets(), Complete: v.DirectoryComplete && !limited}
}

func (d *Daemon) replaceSecrets() {
	if err := d.forwarder.SetSecrets(dataSecrets(d.creds)); err != nil {
		d.log.Error("data secrets not reloaded", zap.Error(err))
	}
}

func dataSecrets(creds *keys.Credentials) []connid.Secret {
	list := creds.DataSecrets()
	out := make([]connid.Secret, len(list))
	for i, s := range list {
		out[i] = connid.Secret(s)
	}
	return out
}
