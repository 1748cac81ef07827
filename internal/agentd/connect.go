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

// directory is the agent's view of the deployment.
type directory interface {
	// Service returns the service with the number, nil if unknown.
	Service(number uint32) *configpb.Service
	// Targets returns the known targets of the agent's service.
	Targets() []*controlpb.TargetRecord
	// Evacuated reports whether targets of a failure domain get no new flows.
	Evacuated(failureDomain string) bool
	Close()
}

// announcer registers the target and keeps its lease at the control hosts.
// subscriber.Announcer implements it.
type announcer interface {
	Registered() <-chan struct{}
	Registration() *configpb.Registration
	Update(status subscriber.Status)
	Restarted(at time.Time)
	WaitAnnounced(ctx context.Context) error
	Close()
}

// announcerOptions configures an announcer.
type announcerOptions struct {
	service, target string
	process         []byte
	failureDomain   string
	address         string
	started         time.Time
	status          subscriber.Status
	capacity        func() *controlpb.CapacityState
}

// deps holds the dependencies of the daemon.
type deps struct {
	control controlClient
	// connected reports whether there is a connection to a control host.
	connected      func() bool
	startAnnouncer func(announcerOptions) announcer
	subscribe      func(service uint32) directory
	// secrets returns the data secrets. The first one is used for encoding.
	secrets func() []connid.Secret
	// onSecretsChange registers a function to call when the secrets may have changed.
	onSecretsChange func(func())
	certificate     func() *tls.Certificate
	// service is the one in the agent's certificate.
	service string
	// now returns the current time.
	now func() time.Time
	// close releases the dependencies.
	close func()
}

// connect creates the client of the control hosts and loads the keys.
func connect(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope) (deps, error) {
	if len(s.GetControl().GetAddresses()) == 0 {
		return deps{}, errors.Wrap(ErrSettings, "control addresses are missing")
	}
	credentials, err := keys.FromSettings(s.GetKeys())
	if err != nil {
		return deps{}, errors.Wrap(err, "keys")
	}
	caller, err := loadCallerCertificate(s.GetAgent())
	if err != nil {
		return deps{}, err
	}
	client := link.NewClient(s.GetControl().GetAddresses(), credentials, link.ClientOptions{Scope: scope, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	go credentials.Watch(ctx, keys.ReloadInterval, keys.LogReload(log))
	go caller.watch(ctx, log)
	return deps{
		control:         client,
		connected:       func() bool { return client.Address() != "" },
		startAnnouncer:  startAnnouncerWith(client, log, scope),
		subscribe:       subscribeWith(client, s.GetHost().GetFailureDomain(), log, scope),
		secrets:         func() []connid.Secret { return dataSecrets(credentials) },
		onSecretsChange: credentials.OnChange,
		certificate:     caller.get,
		service:         credentials.Identity().Service,
		now:             time.Now,
		close: func() {
			cancel()
			client.Close()
		},
	}, nil
}

func startAnnouncerWith(client *link.Client, log *zap.Logger, scope tally.Scope) func(announcerOptions) announcer {
	return func(o announcerOptions) announcer {
		return subscriber.StartAnnouncer(subscriber.AnnouncerOptions{
			Client: client, Scope: scope, Log: log,
			Service: o.service, Target: o.target, Process: o.process,
			FailureDomain: o.failureDomain, Address: o.address, Started: o.started, Status: o.status,
			Capacity: o.capacity,
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

// subscribed implements directory with a subscription.
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

// callerCertificate is the certificate for callers' connections. It is reloaded when
// its files change. Established connections are not affected.
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

// watch reloads the files until the context ends. While they are inconsistent, for
// example during their replacement, the previous certificate stays in use.
func (c *callerCertificate) watch(ctx context.Context, log *zap.Logger) {
	failed := false
	for pause(ctx, keys.ReloadInterval) {
		previous := c.get()
		err := c.load()
		if err != nil && !failed {
			log.Warn("caller certificate not reloaded, the previous one stays in use", zap.Error(err))
		}
		if err == nil && !bytes.Equal(previous.Leaf.Raw, c.get().Leaf.Raw) {
			log.Info("caller certificate reloaded")
		}
		failed = err != nil
	}
}

// Evacuated implements directory.
func (s subscribed) Evacuated(failureDomain string) bool {
	return config.IsEvacuated(s.View().Config, failureDomain)
}
