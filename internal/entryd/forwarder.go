package entryd

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// tables are what frame workers share. They are immutable, but for the load
// figures and the service of each listener.
type tables struct {
	listeners map[netip.AddrPort]*listener
	loads     *routing.LoadReports
	// current tells whether a caller may be told that there is no target.
	current bool
}

// Forwarder forwards datagrams by the views that it is given.
type Forwarder struct {
	options  Options
	log      *zap.Logger
	counters *counters
	decider  decider
	// began is the origin of the forwarder's clock.
	began time.Time

	// Read by workers, swapped whole.
	codecs atomic.Pointer[codecs]
	tables atomic.Pointer[tables]

	// pending is the newest view that is not applied yet.
	pending atomic.Pointer[View]
	wake    chan struct{}
	// failed gets the panic of a worker.
	failed chan error
	ready  chan struct{}

	// Owned by the goroutine of Run.
	view      *View
	directory *directory
	// built has the services with the tables that are in use, by number.
	built     map[uint32]builtService
	addresses map[netip.AddrPort]*servicePolicy
	// refusedOpen holds the last error of each address that can't be opened.
	refusedOpen map[netip.AddrPort]string

	refuser      *refuser
	frameConns   []*net.UDPConn
	frameAddr    netip.AddrPort
	frameWorkers conc.WaitGroup
}

// NewForwarder opens the frame sockets. Nothing is read before Run.
func NewForwarder(o Options) (*Forwarder, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	c, err := newCodecs(o.Secrets)
	if err != nil {
		return nil, err
	}

	f := &Forwarder{
		options:     o,
		log:         o.Log,
		counters:    newCounters(o.Scope.SubScope(scopeName)),
		decider:     decider{networks: o.AgentNetworks},
		began:       time.Now(),
		wake:        make(chan struct{}, 1),
		failed:      make(chan error, 1),
		ready:       make(chan struct{}),
		built:       make(map[uint32]builtService),
		refusedOpen: make(map[netip.AddrPort]string),
	}
	f.codecs.Store(c)
	f.tables.Store(&tables{loads: routing.NewLoadReports(nil, nil)})

	f.frameConns, f.frameAddr, err = openSockets(context.Background(), o.FrameListen, o.Workers)
	if err != nil {
		return nil, errors.Wrap(err, "frame address")
	}
	f.refuser, err = newRefuser(f.counters, o.MaxRefusalsPerSecond)
	if err != nil {
		closeAll(f.frameConns)
		return nil, err
	}
	return f, nil
}

// Apply hands over a new view and returns at once. Of several views only the
// newest is applied.
func (f *Forwarder) Apply(v *View) {
	f.pending.Store(v)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// SetSecrets replaces the secrets for connection IDs and frames. On an error
// the old ones stay.
func (f *Forwarder) SetSecrets(secrets []connid.Secret) error {
	c, err := newCodecs(secrets)
	if err != nil {
		return err
	}
	f.codecs.Store(c)
	return nil
}

// Ready is closed when the first view has been applied.
func (f *Forwarder) Ready() <-chan struct{} {
	return f.ready
}

// FrameAddr returns the address that frames are received on.
func (f *Forwarder) FrameAddr() netip.AddrPort {
	return f.frameAddr
}

// Targets returns the number of targets that new flows are decided on, of all
// services.
func (f *Forwarder) Targets() int {
	return f.tables.Load().loads.Len()
}

// PublicAddrs returns the local address of each public address that is open.
func (f *Forwarder) PublicAddrs() map[string]string {
	listeners := f.tables.Load().listeners
	out := make(map[string]string, len(listeners))
	for public, l := range listeners {
		out[public.String()] = l.local.String()
	}
	return out
}

// Run forwards until the context is done, then closes all sockets and returns
// nil. It returns an error only if a worker panics. It must be called once.
func (f *Forwarder) Run(ctx context.Context) error {
	for _, conn := range f.frameConns {
		w := &frameWorker{f: f, conn: conn}
		f.frameWorkers.Go(f.guard(w.run))
	}
	f.log.Info("frame address opened", zap.Stringer("local", f.frameAddr))

	err := f.loop(ctx)
	f.closeAll()
	return err
}

func (f *Forwarder) loop(ctx context.Context) error {
	ticker := time.NewTicker(f.options.RefreshInterval)
	defer ticker.Stop()
	pause := time.NewTimer(f.options.MinApplyInterval)
	defer pause.Stop()

	// wake is nil during the pause after a view was applied.
	wake := f.wake
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-f.failed:
			return err
		case <-wake:
			f.apply(ctx, f.pending.Swap(nil))
			wake = nil
			pause.Reset(f.options.MinApplyInterval)
		case <-pause.C:
			wake = f.wake
		case <-ticker.C:
			f.refresh(ctx)
		}
	}
}

// guard makes a panic of a worker end Run: a worker that is missing would
// leave its address silent.
func (f *Forwarder) guard(run func()) func() {
	return func() {
		recovered := panics.Try(run)
		if recovered == nil {
			return
		}
		select {
		case f.failed <- errors.Wrap(recovered.AsError(), "worker"):
		default:
		}
	}
}

// Close releases the sockets of a forwarder whose Run is never called.
func (f *Forwarder) Close() {
	closeAll(f.frameConns)
	f.refuser.stop()
}

func (f *Forwarder) closeAll() {
	for _, l := range f.tables.Load().listeners {
		l.close()
		f.log.Info("public address closed", zap.Stringer("public", l.public))
	}
	closeAll(f.frameConns)
	f.frameWorkers.Wait()
	f.refuser.stop()
}

func (f *Forwarder) now() time.Duration {
	return time.Since(f.began)
}

// apply brings a view into force.
func (f *Forwarder) apply(ctx context.Context, v *View) {
	if v == nil || v.Config == nil {
		return
	}
	if f.view != nil && v.Config.GetVersion() < f.view.Config.GetVersion() {
		// A version that was in force never reverts.
		f.counters.viewsOlder.Inc(1)
		return
	}

	newVersion := f.view == nil || v.Config.GetVersion() != f.view.Config.GetVersion()
	if newVersion {
		f.addresses = f.publicAddresses(v.Config)
		f.log.Info("configuration in force", zap.Uint64("version", v.Config.GetVersion()))
	}
	f.view = v
	if !v.Complete {
		f.doubt()
	}
	f.directory = directoryFrom(f.directory, v.Targets, f.now(), f.usable)
	f.counters.badTarget.Inc(int64(f.directory.unusable))
	f.dropChanged()
	if newVersion || len(f.refusedOpen) > 0 {
		f.reconcile(ctx)
	} else {
		f.renew()
	}

	f.counters.viewsApplied.Inc(1)
	f.counters.version.Update(float64(v.Config.GetVersion()))
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// refresh takes in ages and load figures and tries addresses that could not be
// opened again.
func (f *Forwarder) refresh(ctx context.Context) {
	if f.view == nil {
		return
	}
	f.directory.loads.Decay()
	f.refreshTables()
	if len(f.refusedOpen) > 0 {
		f.reconcile(ctx)
		return
	}
	f.renew()
}

// refreshTables takes in load figures, and forgets the tables that have to be
// made anew because of ages and reports.
func (f *Forwarder) refreshTables() {
	now := f.now()
	for number, b := range f.built {
		table, ok := b.service.table.Refresh(now)
		switch {
		case !ok:
			delete(f.built, number)
		case table != b.service.table:
			f.built[number] = builtService{b.policy, &service{number: number, table: table}}
		}
	}
}

// dropChanged forgets the tables of the services whose targets have changed.
func (f *Forwarder) dropChanged() {
	if f.directory.changed == nil {
		clear(f.built)
	}
	for number := range f.directory.changed {
		delete(f.built, number)
	}
}

// countCandidates tells between how many targets the tables in force decide.
func (f *Forwarder) countCandidates() {
	sum := 0
	for _, b := range f.built {
		sum += b.service.table.Len()
	}
	f.counters.candidates.Update(float64(sum))
	f.counters.damped.Update(float64(f.directory.damped()))
}

// renew gives the open public addresses the tables of the services that they
// have. Which address has which service can't have changed, and looking every
// address up again would cost more than the tables.
func (f *Forwarder) renew() {
	now := f.now()
	listeners := f.tables.Load().listeners
	for _, l := range listeners {
		if s := f.service(l.policy, now); l.service.Load() != s {
			l.service.Store(s)
		}
	}
	f.tables.Store(&tables{listeners: listeners, loads: f.directory.loads, current: f.view.Complete})
	f.countCandidates()
}

// doubt tells workers that the targets may not be all, before the list comes into
// force: a worker that finds no target in it looks at this afterwards.
func (f *Forwarder) doubt() {
	t := *f.tables.Load()
	t.current = false
	f.tables.Store(&t)
}

// dropUnused forgets the tables of services that no address stands for.
func (f *Forwarder) dropUnused() {
	used := make(map[uint32]bool, len(f.built))
	for _, policy := range f.addresses {
		used[policy.number] = true
	}
	maps.DeleteFunc(f.built, func(number uint32, _ builtService) bool { return !used[number] })
}

// builtService is a service with the policy that its table was built by.
type builtService struct {
	policy  *configpb.Policy
	service *service
}

// service returns the service of a policy. Its table is built once for all its
// addresses, and again when its targets or its policy have changed or it is
// time to take in ages and load figures.
func (f *Forwarder) service(policy *servicePolicy, now time.Duration) *service {
	b, ok := f.built[policy.number]
	if !ok || b.policy != policy.policy {
		b = builtService{policy.policy, &service{number: policy.number, table: f.directory.table(policy, now)}}
		f.built[policy.number] = b
	}
	return b.service
}

func (f *Forwarder) usable(address netip.AddrPort) bool {
	return address.Port() != 0 && f.decider.inside(unmap(address).Addr())
}

// reconcile makes the open public addresses those of the configuration, each
// with a fresh table of its service.
func (f *Forwarder) reconcile(ctx context.Context) {
	before := f.tables.Load().listeners
	after := make(map[netip.AddrPort]*listener, len(f.addresses))
	now := f.now()
	f.closeRemoved(before)

	for address, policy := range f.addresses {
		s := f.service(policy, now)
		l := before[address]
		if l != nil {
			f.swap(l, s, policy)
		} else {
			l = f.open(ctx, address, s, policy)
		}
		if l != nil {
			after[address] = l
		}
	}

	f.tables.Store(&tables{listeners: after, loads: f.directory.loads, current: f.view.Complete})
	f.counters.openAddresses.Update(float64(len(after)))
	f.dropUnused()
	f.countCandidates()
	maps.DeleteFunc(f.refusedOpen, func(address netip.AddrPort, _ string) bool {
		return f.addresses[address] == nil
	})
}

func (f *Forwarder) closeRemoved(before map[netip.AddrPort]*listener) {
	for address, l := range before {
		if f.addresses[address] != nil {
			continue
		}
		l.close()
		f.log.Info("public address closed", zap.Stringer("public", address))
	}
}

func (f *Forwarder) swap(l *listener, s *service, policy *servicePolicy) {
	l.policy = policy
	if l.service.Swap(s).number == s.number {
		return
	}
	f.log.Info("public address passed to another service",
		zap.Stringer("public", l.public),
		zap.String("service", policy.name),
	)
}

// open opens a public address and starts its workers. It returns nil if the
// address can't be opened now.
func (f *Forwarder) open(ctx context.Context, public netip.AddrPort, s *service, policy *servicePolicy) *listener {
	conns, local, err := openSockets(ctx, f.localFor(public), f.options.Workers)
	if err != nil {
		f.openFailed(public, policy, err)
		return nil
	}
	delete(f.refusedOpen, public)

	l := &listener{public: public, local: local, conns: conns, policy: policy}
	l.service.Store(s)
	for i, conn := range conns {
		w := &publicWorker{f: f, l: l, conn: conn, out: f.frameConns[i%len(f.frameConns)]}
		l.workers.Go(f.guard(w.run))
	}
	f.log.Info("public address opened",
		zap.Stringer("public", public),
		zap.Stringer("local", local),
		zap.String("service", policy.name),
	)
	return l
}

// openFailed counts each failure and logs the first of a kind.
func (f *Forwarder) openFailed(public netip.AddrPort, policy *servicePolicy, err error) {
	f.counters.openFailed.Inc(1)
	if f.refusedOpen[public] == err.Error() {
		return
	}
	f.refusedOpen[public] = err.Error()
	f.log.Error("public address can't be opened, retrying",
		zap.Stringer("public", public),
		zap.String("service", policy.name),
		zap.Error(err),
	)
}

// localFor returns the address to open for a public address.
func (f *Forwarder) localFor(public netip.AddrPort) netip.AddrPort {
	ip, port := public.Addr(), public.Port()
	if f.options.PublicIP.IsValid() {
		ip = f.options.PublicIP
	}
	if f.options.FreePorts {
		port = 0
	}
	return netip.AddrPortFrom(ip, port)
}
