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
	keysFolder   = "keys"
	dataFolder   = "data"
	patchID      = "dev-services"

	freePort        = "127.0.0.1:0"
	loopback        = "127.0.0.0/8"
	loopbackIP      = "127.0.0.1"
	firstPublicPort = 443

	defaultSlots   = 4
	defaultEntries = 2
	announcePeriod = 500 * time.Millisecond
	keyValidity    = 30 * 24 * time.Hour
	pollPause      = 20 * time.Millisecond
	// endTimeout bounds the graceful end of a deployment whose sessions the
	// callers keep open.
	endTimeout = 10 * time.Second
)

// ErrDaemonExited reports a daemon that ended before the deployment did.
var ErrDaemonExited = errors.New("a daemon ended")

// Service is one service of a deployment.
type Service struct {
	Name string
	// Targets is how many targets it has.
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

// DefaultDomains are the failure domains when the options name none.
func DefaultDomains() []string { return []string{"oke-ado", "dugbe", "bodija", "challenge"} }

// Options describe a deployment.
type Options struct {
	// Services default to DefaultServices.
	Services []Service
	// Domains are the failure domains; the hosts of each role stand in them
	// in turn. They default to DefaultDomains.
	Domains []string
	// EntryHosts is the number of entry hosts; 0 means 2.
	EntryHosts int
	// ControlHosts is the number of control hosts; 0 means 1.
	ControlHosts int
	// FlowCapacity is the number of open flows that count as a full target; 0
	// means the agents' default.
	FlowCapacity uint32
	// Network puts proxies between the hosts. Nil means none, but for more
	// than one control host, which need them.
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

// Deployment is a running deployment. Load may run beside the methods that
// change it; those themselves are called one at a time.
type Deployment struct {
	opts     Options
	folder   string
	log      *zap.Logger
	roots    *x509.CertPool
	operator keys.Files
	network  *network
	client   atomic.Pointer[operator.Client]

	controls []*controlHost
	// agents are all agents ever started; old ones may still have sessions.
	agents  []*process
	callers map[string]keys.Files
	ledgers map[string]*backend.RunLog

	// life ends with Close.
	life     context.Context
	endLife  context.CancelFunc
	running  conc.WaitGroup
	draining conc.WaitGroup
	// gone is closed when a daemon ended with an error.
	gone chan struct{}

	// mu guards what Load reads while the deployment changes.
	mu      sync.Mutex
	entries []*entryHost
	targets map[string][]*target
	ended   error
}

// Start starts a deployment and waits until every entry host serves every
// service and knows every target, and without a network also until every
// target has answered a call through every entry host. It ends what it started when ctx ends first
// or a daemon fails.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	o = o.withDefaults()
	folder, err := os.MkdirTemp("", "eelgrasswharf-dev-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	d := &Deployment{
		opts: o, folder: folder, log: o.Log,
		roots:   x509.NewCertPool(),
		network: newNetwork(Network{}, nil),
		callers: map[string]keys.Files{},
		ledgers: map[string]*backend.RunLog{},
		targets: map[string][]*target{},
		gone:    make(chan struct{}),
	}
	if o.Network != nil {
		d.network = newNetwork(*o.Network, o.Domains)
	}
	d.life, d.endLife = context.WithCancel(context.Background())
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.makeKeys, d.startControls, d.submitServices, d.startEntries, d.startTargets, d.awaitService, d.awaitTargets,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitService waits until every entry host serves, and has the fabric use
// them.
func (d *Deployment) awaitService(ctx context.Context) error {
	want := len(d.allTargets())
	err := d.until(ctx, func() bool {
		for _, h := range d.entries {
			if !d.entryServes(h, want) {
				return false
			}
		}
		return d.knownTargets(ctx) >= want
	})
	if err != nil {
		return err
	}
	d.spread()
	d.log.Info("deployment ready", zap.Int("targets", want), zap.Int("entries", len(d.entries)))
	return nil
}

// domain returns the failure domain of the host at an index of its role.
func (d *Deployment) domain(index int) string { return d.opts.Domains[index%len(d.opts.Domains)] }

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

// Failed is closed when a daemon ended by itself; Err then says why.
func (d *Deployment) Failed() <-chan struct{} { return d.gone }

// Err is the failure of a daemon, if any.
func (d *Deployment) Err() error { return d.failure() }

// Roots verify what callers are shown.
func (d *Deployment) Roots() *x509.CertPool { return d.roots }

// Services are the names of the services, sorted.
func (d *Deployment) Services() []string {
	var names []string
	for _, s := range d.opts.Services {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}

// Operator is a client for the control hosts.
func (d *Deployment) Operator() *operator.Client { return d.client.Load() }

// OperatorArgs are the flags that let operator commands call the deployment.
func (d *Deployment) OperatorArgs() string {
	return fmt.Sprintf("--control %s --authority %s --certificate %s --key %s",
		d.controls[0].daemon.OperatorAddr(), d.operator.Authority, d.operator.Certificate, d.operator.PrivateKey)
}

// AuthorityFile is the certificate authority, which callers need.
func (d *Deployment) AuthorityFile() string {
	return filepath.Join(d.folder, keysFolder, keys.AuthorityFile)
}

// Close ends the deployment gracefully, targets first, and removes its
// folder. Sessions that callers keep open are cut off after a while.
func (d *Deployment) Close() {
	d.endTargets()
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
	if err := os.RemoveAll(d.folder); err != nil {
		d.log.Warn("temporary folder left behind", zap.Error(err))
	}
}

// endTargets drains backend servers first, as their agents have to hear of it.
func (d *Deployment) endTargets() {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	context.AfterFunc(ctx, d.endLife)
	for _, t := range d.allTargets() {
		if t.server != nil {
			d.draining.Go(func() { d.drain(ctx, t.server) })
		}
	}
	d.draining.Wait()
	for _, p := range d.agents {
		p.leave()
	}
	for _, p := range d.agents {
		<-p.ended
	}
}

func (d *Deployment) drain(ctx context.Context, s *backend.Server) {
	if err := s.Drain(ctx); err != nil {
		d.log.Warn("backend server cut off", zap.Error(err))
	}
}
