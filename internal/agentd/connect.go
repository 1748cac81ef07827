package agentd

import (
	"bytes"
	"context"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// directory is what the agent knows of the deployment.
type directory interface {
	// Service returns the service of that number, nil if it is not known.
	Service(number uint32) *configpb.Service
	// Targets returns the known targets of the own service.
	Targets() []*controlpb.TargetRecord
	// Evacuated reports whether the targets of a failure domain get no new flows.
	Evacuated(failureDomain string) bool
	Close()
}

// announcer registers the own target and keeps its lease at the control
// hosts. subscriber.Announcer implements it.
type announcer interface {
	Registered() <-chan struct{}
	Registration() *configpb.Registration
	Update(status subscriber.Status)
	Restarted(at time.Time)
	WaitAnnounced(ctx context.Context) error
	Close()
}

// enlistment is what a target is announced with.
type enlistment struct {
	service, target string
	process         []byte
	failureDomain   string
	address         string
	started         time.Time
	status          subscriber.Status
}

// parts are what the daemon is connected to.
type parts struct {
	control controlCaller
	// linked reports whether there is a connection to a control host.
	linked    func() bool
	enlist    func(enlistment) announcer
	subscribe func(service uint32) directory
	// secrets returns what protects connection IDs and frames; the first one
	// encodes.
	secrets func() []connid.Secret
	// onSecrets registers what is called when the secrets may have changed.
	onSecrets   func(func())
	certificate func() *tls.Certificate
	// service is the one that the agent's certificate names.
	service string
	// now reads the clock of the daemon.
	now func() time.Time
	// close frees the parts once the daemon has ended.
	close func()
}

// connect opens the links to the control hosts and loads the keys.
func connect(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope) (parts, error) {
	if len(s.GetControl().GetAddresses()) == 0 {
		return parts{}, errors.Wrap(ErrSettings, "control addresses are missing")
	}
	credentials, err := keys.FromSettings(s.GetKeys())
	if err != nil {
		return parts{}, errors.Wrap(err, "keys")
	}
	caller, err := loadCallerCertificate(s.GetAgent())
	if err != nil {
		return parts{}, err
	}
	client := link.NewClient(s.GetControl().GetAddresses(), credentials, link.ClientOptions{Scope: scope, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	go credentials.Watch(ctx, keys.ReloadInterval, keys.LogReload(log))
	go caller.watch(ctx, log)
	return parts{
		control:     client,
		linked:      func() bool { return client.Address() != "" },
		enlist:      enlistWith(client, log, scope),
		subscribe:   subscribeWith(client, s.GetHost().GetFailureDomain(), log, scope),
		secrets:     func() []connid.Secret { return dataSecrets(credentials) },
		onSecrets:   credentials.OnChange,
		certificate: caller.get,
		service:     credentials.Identity().Service,
		now:         time.Now,
		close: func() {
			cancel()
			client.Close()
		},
	}, nil
}

func enlistWith(client *link.Client, log *zap.Logger, scope tally.Scope) func(enlistment) announcer {
	return func(e enlistment) announcer {
		return subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
			Client: client, Scope: scope, Log: log,
			Service: e.service, Target: e.target, Process: e.process,
			FailureDomain: e.failureDomain, Address: e.address, Started: e.started, Status: e.status,
		})
	}
}

func subscribeWith(client *link.Client, domain string, log *zap.Logger, scope tally.Scope) func(uint32) directory {
	return func(service uint32) directory {
		return subscribed{subscriber.Start(subscriber.Options{
			Client: client, Scope: scope, Log: log,
			Services: []uint32{service}, ScopedConfig: true, FailureDomain: domain,
		})}
	}
}

// subscribed is the directory of a subscription.
type subscribed struct {
	*subscriber.Subscriber
}

// Service implements directory.
func (s subscribed) Service(number uint32) *configpb.Service {
	for _, service := range s.View().Config.GetServices() {
		if service.GetNumber() == number {
			return service
		}
	}
	return nil
}

// Targets implements directory.
func (s subscribed) Targets() []*controlpb.TargetRecord {
	return s.View().Targets
}

func dataSecrets(credentials *keys.Credentials) []connid.Secret {
	var secrets []connid.Secret
	for _, secret := range credentials.DataSecrets() {
		secrets = append(secrets, connid.Secret{ID: secret.ID, Key: secret.Key})
	}
	return secrets
}

// callerCertificate is the certificate shown to callers, read anew when its
// files change. Established connections keep the one they began with.
type callerCertificate struct {
	settings *settingspb.Agent
	current  atomic.Pointer[tls.Certificate]
}

func loadCallerCertificate(s *settingspb.Agent) (*callerCertificate, error) {
	c := &callerCertificate{settings: s}
	return c, c.load()
}

func (c *callerCertificate) get() *tls.Certificate {
	return c.current.Load()
}

func (c *callerCertificate) load() error {
	certificate, err := keys.CallerCertificate(c.settings.GetCallerCertificate(), c.settings.GetCallerPrivateKey())
	if err != nil {
		return errors.Wrap(err, "caller certificate")
	}
	c.current.Store(certificate)
	return nil
}

// watch reads the files anew until the context ends. While they do not fit
// together, as during their replacement, the former certificate stays.
func (c *callerCertificate) watch(ctx context.Context, log *zap.Logger) {
	failed := false
	for pause(ctx, keys.ReloadInterval) {
		former := c.get()
		err := c.load()
		if err != nil && !failed {
			log.Warn("caller certificate not renewed, the former one stays in use", zap.Error(err))
		}
		if err == nil && !bytes.Equal(former.Leaf.Raw, c.get().Leaf.Raw) {
			log.Info("caller certificate renewed")
		}
		failed = err != nil
	}
}

// Evacuated implements directory.
func (s subscribed) Evacuated(failureDomain string) bool {
	return config.IsEvacuated(s.View().Config, failureDomain)
}
