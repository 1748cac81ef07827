package dev

import (
	"context"
	"crypto/x509"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/entryd"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

const (
	controlName  = "control-1"
	operatorName = "dev"
	keysFolder   = "keys"
	dataFolder   = "data"

	slots       = 4
	keyValidity = 30 * 24 * time.Hour
	pollPause   = 20 * time.Millisecond
	// endTimeout bounds the graceful end of a deployment whose sessions the
	// callers keep open.
	endTimeout = 10 * time.Second
)

// ErrEnded reports a daemon that ended before the deployment did.
var ErrEnded = errors.New("a daemon ended")

// Service is one service of a deployment.
type Service struct {
	Name string
	// Targets is how many targets it has.
	Targets int
}

// DefaultServices are two services with two targets each.
func DefaultServices() []Service {
	return []Service{{Name: "lodgement", Targets: 2}, {Name: "certificates", Targets: 2}}
}

// Options describe a deployment.
type Options struct {
	// Services default to DefaultServices.
	Services []Service
	// Entries is the number of entry hosts; 0 means 2.
	Entries int
	Log     *zap.Logger
	Scope   tally.Scope
}

// Deployment is a running deployment.
type Deployment struct {
	opts     Options
	folder   string
	log      *zap.Logger
	roots    *x509.CertPool
	operator keys.Files

	control  *controld.Daemon
	entries  []*entryd.Daemon
	backends map[string][]*backend.Server
	client   *operator.Client

	// stops end the daemons of a role, in the order of a graceful end.
	stopTargets, stopEntries, stopControl context.CancelFunc
	targetsWG, entriesWG, controlWG       conc.WaitGroup

	mu    sync.Mutex
	ended error
	// gone is closed when a daemon ended with an error.
	gone chan struct{}
}

// Start starts a deployment and waits until every target has answered a call
// through every entry host. It ends what it started when
// ctx ends first or a daemon fails.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	if len(o.Services) == 0 {
		o.Services = DefaultServices()
	}
	if o.Entries == 0 {
		o.Entries = 2
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	folder, err := os.MkdirTemp("", "eelgrasswharf-dev-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	d := &Deployment{
		opts: o, folder: folder, log: o.Log,
		roots:    x509.NewCertPool(),
		backends: map[string][]*backend.Server{},
		gone:     make(chan struct{}),
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.makeKeys, d.startControl, d.submitServices, d.startEntries, d.startTargets, d.awaitService, d.awaitTargets,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runner is what all daemons have in common.
type runner interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
}

// run runs a daemon in wg and waits until it is ready.
func (d *Deployment) run(ctx, life context.Context, wg *conc.WaitGroup, name string, r runner) error {
	wg.Go(func() {
		err := r.Run(life)
		if err != nil || life.Err() == nil {
			d.fail(errors.Wrapf(ErrEnded, "%s: %v", name, err))
		}
	})
	select {
	case <-r.Ready():
		return nil
	case <-d.gone:
		return d.failure()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Deployment) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended == nil {
		d.ended = err
		close(d.gone)
	}
}

func (d *Deployment) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// Failed is closed when a daemon ended by itself; Err then says why.
func (d *Deployment) Failed() <-chan struct{} { return d.gone }

// Err is the failure of a daemon, if any.
func (d *Deployment) Err() error { return d.failure() }

// Roots verify what callers are shown.
func (d *Deployment) Roots() *x509.CertPool { return d.roots }

// Services are the names of the services, sorted.
func (d *Deployment) Services() []string { return slices.Sorted(maps.Keys(d.backends)) }

// Targets are the names of the targets of a service.
func (d *Deployment) Targets(service string) []string {
	var names []string
	for i := range d.backends[service] {
		names = append(names, targetName(service, i))
	}
	return names
}

// Backends are the backend servers of a service.
func (d *Deployment) Backends(service string) []*backend.Server { return d.backends[service] }

// Operator is a client for the control host.
func (d *Deployment) Operator() *operator.Client { return d.client }

// OperatorArgs are the flags that let operator commands call the deployment.
func (d *Deployment) OperatorArgs() string {
	return fmt.Sprintf("--control %s --authority %s --certificate %s --key %s",
		d.control.OperatorAddr(), d.operator.Authority, d.operator.Certificate, d.operator.PrivateKey)
}

// AuthorityFile is the certificate authority, which callers need.
func (d *Deployment) AuthorityFile() string {
	return filepath.Join(d.folder, keysFolder, keys.AuthorityFile)
}

func targetName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index+1) }

// Close ends the deployment gracefully, targets first, and removes its
// folder. Sessions that callers keep open are cut off after a while.
func (d *Deployment) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	// Backend servers first: their agents have to hear of it.
	var wg conc.WaitGroup
	for _, servers := range d.backends {
		for _, s := range servers {
			wg.Go(func() { d.drain(ctx, s) })
		}
	}
	wg.Wait()
	d.end(d.stopTargets, &d.targetsWG)
	d.end(d.stopEntries, &d.entriesWG)
	if d.client != nil {
		d.client.Close()
	}
	d.end(d.stopControl, &d.controlWG)
	if err := os.RemoveAll(d.folder); err != nil {
		d.log.Warn("temporary folder left behind", zap.Error(err))
	}
}

func (d *Deployment) drain(ctx context.Context, s *backend.Server) {
	if err := s.Drain(ctx); err != nil {
		d.log.Warn("backend server cut off", zap.Error(err))
	}
}

func (d *Deployment) end(stop context.CancelFunc, wg *conc.WaitGroup) {
	if stop == nil {
		return
	}
	stop()
	wg.Wait()
}
