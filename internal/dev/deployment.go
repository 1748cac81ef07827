package dev

import (
	"context"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

const (
	operatorName = "dev"
	keysDirName  = "keys"
	dataDirName  = "data"
	patchID      = "dev-services"

	freePort        = "127.0.0.1:0"
	loopback        = "127.0.0.0/8"
	loopbackIP      = "127.0.0.1"
	firstPublicPort = 443

	defaultSlots   = 4
	defaultEntries = 2
	announcePeriod = 500 * time.Millisecond
	keyValidity    = 30 * 24 * time.Hour
	pollInterval   = 20 * time.Millisecond
	// shutdownTimeout bounds the wait for sessions that callers keep open.
	shutdownTimeout = 10 * time.Second
)

// ErrDaemonExited reports a daemon that exited before the deployment was closed.
var ErrDaemonExited = errors.New("daemon exited")

// Service is one service of a deployment.
type Service struct {
	Name string
	// Targets is the number of targets.
	Targets int
	// Slots of each target; 0 means 4.
	Slots uint32
	// Policy of the service; nil means the defaults.
	Policy *configpb.Policy
}

// DefaultServices are two services with two targets each.
func DefaultServices() []Service {
	return []Service{{Name: "lodgement", Targets: 2}, {Name: "certificates", Targets: 2}}
}

// DefaultDomains are the default failure domains.
func DefaultDomains() []string { return []string{"oke-ado", "dugbe", "bodija", "challenge"} }

// Options describe a deployment.
type Options struct {
	// Services default to DefaultServices.
	Services []Service
	// Domains are the failure domains; the hosts of each role are assigned to them
	// round robin. They default to DefaultDomains.
	Domains []string
	// EntryHosts is the number of entry hosts; 0 means 2.
	EntryHosts int
	// ControlHosts is the number of control hosts; 0 means 1.
	ControlHosts int
	// FlowCapacity is the number of open flows at which a target is full; 0 means
	// the agents' default.
	FlowCapacity uint32
	// Network puts proxies between the hosts. Nil means none, unless there are
	// several control hosts, which need them.
	Network *Network
	Log     *zap.Logger
	Scope   tally.Scope
}

func (o Options) withDefaults() Options {
	if len(o.Services) == 0 {
		o.Services = DefaultServices()
	}
	o.Services = slices.Clone(o.Services)
	for i := range o.Services {
		if o.Services[i].Slots == 0 {
			o.Services[i].Slots = defaultSlots
		}
	}
	if len(o.Domains) == 0 {
		o.Domains = DefaultDomains()
	}
	if o.EntryHosts == 0 {
		o.EntryHosts = defaultEntries
	}
	if o.ControlHosts == 0 {
		o.ControlHosts = 1
	}
	if o.ControlHosts > 1 && o.Network == nil {
		o.Network = &Network{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// Deployment is a running deployment. Load may run concurrently with the methods that
// change the deployment; those must be called one at a time.
type Deployment struct {
	opts     Options
	dir      string
	log      *zap.Logger
	roots    *x509.CertPool
	operator keys.Files
	network  *network
	client   atomic.Pointer[operator.Client]

	controls []*controlHost
	// agents are all agents started; replaced ones may still have sessions.
	agents  []*process
	callers map[string]keys.Files
	runLogs map[string]*backend.RunLog

	// runCtx is canceled by Close.
	runCtx    context.Context
	cancelRun context.CancelFunc
	running   conc.WaitGroup
	draining  conc.WaitGroup
	// failed is closed when a daemon exits unexpectedly.
	failed chan struct{}

	// mu guards the state that Load reads while the deployment changes.
	mu        sync.Mutex
	entries   []*entryHost
	targets   map[string][]*target
	daemonErr error
}

// Start starts a deployment and waits until every entry host serves every service and
// knows every target. Without a network it also waits until every target has answered
// a call through every entry host. On failure, or when ctx ends first, it stops
// everything that it started.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	o = o.withDefaults()
	dir, err := os.MkdirTemp("", "eelgrasswharf-dev-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary directory")
	}
	d := &Deployment{
		opts: o, dir: dir, log: o.Log,
		roots:   x509.NewCertPool(),
		network: newNetwork(Network{}, nil),
		callers: map[string]keys.Files{},
		runLogs: map[string]*backend.RunLog{},
		targets: map[string][]*target{},
		failed:  make(chan struct{}),
	}
	if o.Network != nil {
		d.network = newNetwork(*o.Network, o.Domains)
	}
	d.runCtx, d.cancelRun = context.WithCancel(context.Background())
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.createKeys, d.startControls, d.submitServices, d.startEntries, d.startTargets, d.waitForEntryHosts, d.waitForTargets,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitForEntryHosts waits until every entry host is ready, and then adds them to the
// fabric.
func (d *Deployment) waitForEntryHosts(ctx context.Context) error {
	want := len(d.allTargets())
	err := d.waitUntil(ctx, func() bool {
		for _, h := range d.entries {
			if !d.entryReady(h, want) {
				return false
			}
		}
		return d.knownTargets(ctx) >= want
	})
	if err != nil {
		return err
	}
	d.updateFabric()
	d.log.Info("deployment ready", zap.Int("targets", want), zap.Int("entries", len(d.entries)))
	return nil
}

// domain returns the failure domain of the host at an index of its role.
func (d *Deployment) domain(index int) string { return d.opts.Domains[index%len(d.opts.Domains)] }

// waitPollInterval waits for the poll interval, a failure, or the end of ctx.
func (d *Deployment) waitPollInterval(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-d.failed:
		return d.failure()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Failed returns a channel that is closed when a daemon exits unexpectedly; Err then
// returns the reason.
func (d *Deployment) Failed() <-chan struct{} { return d.failed }

// Err returns the failure of a daemon, if any.
func (d *Deployment) Err() error { return d.failure() }

// Roots returns the roots that verify the caller certificates.
func (d *Deployment) Roots() *x509.CertPool { return d.roots }

// Services returns the sorted names of the services.
func (d *Deployment) Services() []string {
	var names []string
	for _, s := range d.opts.Services {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}

// Operator returns a client for the control hosts.
func (d *Deployment) Operator() *operator.Client { return d.client.Load() }

// OperatorArgs returns the flags with which operator commands call the deployment.
func (d *Deployment) OperatorArgs() string {
	return fmt.Sprintf("--control %s --authority %s --certificate %s --key %s",
		d.controls[0].daemon.OperatorAddr(), d.operator.Authority, d.operator.Certificate, d.operator.PrivateKey)
}

// AuthorityFile returns the path of the certificate authority for callers.
func (d *Deployment) AuthorityFile() string {
	return filepath.Join(d.dir, keysDirName, keys.AuthorityFile)
}

// Close shuts the deployment down gracefully, targets first, and removes its directory.
// Sessions that callers keep open are closed after shutdownTimeout.
func (d *Deployment) Close() {
	d.stopTargets()
	for _, h := range d.entries {
		if h.process != nil {
			h.process.stop()
		}
	}
	if client := d.client.Load(); client != nil {
		client.Close()
	}
	for _, h := range d.controls {
		if h.process != nil {
			h.process.stop()
		}
	}
	d.running.Wait()
	d.network.close()
	if err := os.RemoveAll(d.dir); err != nil {
		d.log.Warn("temporary directory not removed", zap.Error(err))
	}
}

// stopTargets drains the backend servers before it stops their agents, which must
// receive the announcement.
func (d *Deployment) stopTargets() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	context.AfterFunc(ctx, d.cancelRun)
	for _, t := range d.allTargets() {
		if t.server != nil {
			d.draining.Go(func() { d.drain(ctx, t.server) })
		}
	}
	d.draining.Wait()
	for _, p := range d.agents {
		p.requestStop()
	}
	for _, p := range d.agents {
		<-p.exited
	}
}

func (d *Deployment) drain(ctx context.Context, s *backend.Server) {
	if err := s.Drain(ctx); err != nil {
		d.log.Warn("backend server drain failed", zap.Error(err))
	}
}
