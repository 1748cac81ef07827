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
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// tables are shared by frame workers. They are immutable except for load reports and
// the service of each listener.
type tables struct {
	listeners map[netip.AddrPort]*listener
	loads     *routing.LoadReports
	// complete is set if the target list is complete, so that a missing target may be
	// reported to the caller.
	complete bool
}

// Forwarder forwards datagrams according to the views passed to Apply.
type Forwarder struct {
	options  Options
	log      *zap.Logger
	counters *counters
	decider  decider
	// started is the origin of the forwarder's clock.
	started time.Time

	// codecs and tables are read by workers. They are replaced, not modified.
	codecs atomic.Pointer[codecs]
	tables atomic.Pointer[tables]

	// pending is the newest view that is not yet applied.
	pending atomic.Pointer[View]
	wake    chan struct{}
	// workerErr receives the panic of a worker.
	workerErr chan error
	ready     chan struct{}

	// Owned by the goroutine of Run.
	view      *View
	directory *targets.Directory
	// serviceCache has the services with their current tables, by number.
	serviceCache map[uint32]cachedService
	addresses    map[netip.AddrPort]*servicePolicy
	// openErrors holds the last error of each address that can't be opened.
	openErrors map[netip.AddrPort]string

	refuser      *refuser
	frameConns   []*net.UDPConn
	frameAddr    netip.AddrPort
	frameWorkers conc.WaitGroup
}

// NewForwarder opens the frame sockets. Nothing is read before Run.
func NewForwarder(o Options) (*Forwarder, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	c, err := newCodecs(o.Secrets)
	if err != nil {
		return nil, err
	}

	f := &Forwarder{
		options:      o,
		log:          o.Log,
		counters:     newCounters(o.Scope.SubScope(scopeName)),
		decider:      decider{networks: o.AgentNetworks},
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		workerErr:    make(chan error, 1),
		ready:        make(chan struct{}),
		serviceCache: make(map[uint32]cachedService),
		openErrors:   make(map[netip.AddrPort]string),
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

// Apply queues a new view and returns at once. A queued view replaces an older one.
func (f *Forwarder) Apply(v *View) {
	f.pending.Store(v)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// SetSecrets replaces the secrets for connection IDs and frames. On error the old ones
// stay.
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

// FrameAddr returns the address on which frames are received.
func (f *Forwarder) FrameAddr() netip.AddrPort {
	return f.frameAddr
}

// Targets returns the number of targets of all services.
func (f *Forwarder) Targets() int {
	return f.tables.Load().loads.Len()
}

// PublicAddrs returns the local address of each open public address.
func (f *Forwarder) PublicAddrs() map[string]string {
	listeners := f.tables.Load().listeners
	out := make(map[string]string, len(listeners))
	for public, l := range listeners {
		out[public.String()] = l.local.String()
	}
	return out
}

// Run forwards until the context is done, then closes all sockets and returns nil. It
// returns an error only if a worker panics. It must be called once.
func (f *Forwarder) Run(ctx context.Context) error {
	for _, conn := range f.frameConns {
		w := &frameWorker{f: f, conn: conn}
		f.frameWorkers.Go(f.recoverPanic(w.run))
	}
	f.log.Info("frame address opened", zap.Stringer("local", f.frameAddr))

	err := f.loop(ctx)
	f.closeAll()
	return err
}

func (f *Forwarder) loop(ctx context.Context) error {
	ticker := time.NewTicker(f.options.RefreshInterval)
	defer ticker.Stop()
	applyTimer := time.NewTimer(f.options.MinApplyInterval)
	defer applyTimer.Stop()

	// wake is nil for MinApplyInterval after a view was applied.
	wake := f.wake
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-f.workerErr:
			return err
		case <-wake:
			f.apply(ctx, f.pending.Swap(nil))
			wake = nil
			applyTimer.Reset(f.options.MinApplyInterval)
		case <-applyTimer.C:
			wake = f.wake
		case <-ticker.C:
			f.refresh(ctx)
		}
	}
}

// recoverPanic turns a panic of a worker into an error of Run, as its socket would no
// longer be read.
func (f *Forwarder) recoverPanic(run func()) func() {
	return func() {
		recovered := panics.Try(run)
		if recovered == nil {
			return
		}
		select {
		case f.workerErr <- errors.Wrap(recovered.AsError(), "worker"):
		default:
		}
	}
}

// Close releases the sockets if Run is never called.
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
	return time.Since(f.started)
}

// apply activates a view.
func (f *Forwarder) apply(ctx context.Context, v *View) {
	if v == nil || v.Config == nil {
		return
	}
	if f.view != nil && v.Config.GetVersion() < f.view.Config.GetVersion() {
		// The active version never reverts to an older one.
		f.counters.viewsOlder.Inc(1)
		return
	}

	newVersion := f.view == nil || v.Config.GetVersion() != f.view.Config.GetVersion()
	if newVersion {
		f.addresses = f.publicAddresses(v.Config)
		f.log.Info("configuration applied", zap.Uint64("version", v.Config.GetVersion()))
	}
	f.view = v
	if !v.Complete {
		f.markIncomplete()
	}
	f.directory = targets.New(f.directory, v.Targets, f.now(), f.usable)
	f.counters.unusableTargets.Inc(int64(f.directory.Unusable()))
	f.dropChanged()
	if newVersion || len(f.openErrors) > 0 {
		f.reconcile(ctx)
	} else {
		f.updateListeners()
	}

	f.counters.viewsApplied.Inc(1)
	f.counters.version.Update(float64(v.Config.GetVersion()))
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// refresh updates tables with ages and load reports and retries addresses that could
// not be opened.
func (f *Forwarder) refresh(ctx context.Context) {
	if f.view == nil {
		return
	}
	f.directory.Loads().Decay()
	f.refreshTables()
	if len(f.openErrors) > 0 {
		f.reconcile(ctx)
		return
	}
	f.updateListeners()
}

// refreshTables updates tables with load reports and drops those that must be rebuilt.
func (f *Forwarder) refreshTables() {
	now := f.now()
	for number, cached := range f.serviceCache {
		table, ok := cached.service.table.Refresh(now)
		switch {
		case !ok:
			delete(f.serviceCache, number)
		case table != cached.service.table:
			f.serviceCache[number] = cachedService{cached.policy, &service{number: number, table: table}}
		}
	}
}

// dropChanged drops the tables of services whose targets have changed.
func (f *Forwarder) dropChanged() {
	maps.DeleteFunc(f.serviceCache, func(number uint32, _ cachedService) bool { return f.directory.Changed(number) })
}

// updateGauges updates the gauges of candidates and damped targets.
func (f *Forwarder) updateGauges() {
	sum := 0
	for _, cached := range f.serviceCache {
		sum += cached.service.table.Len()
	}
	f.counters.candidates.Update(float64(sum))
	f.counters.damped.Update(float64(f.directory.Damped()))
}

// updateListeners sets the current tables on the open listeners. It is called when no
// address has changed, and saves a lookup per address.
func (f *Forwarder) updateListeners() {
	now := f.now()
	listeners := f.tables.Load().listeners
	for _, l := range listeners {
		if s := f.service(l.policy, now); l.service.Load() != s {
			l.service.Store(s)
		}
	}
	f.tables.Store(&tables{listeners: listeners, loads: f.directory.Loads(), complete: f.view.Complete})
	f.updateGauges()
}

// markIncomplete marks the target list as possibly incomplete. It is called before the
// list is activated, as workers read the flag after they found no target.
func (f *Forwarder) markIncomplete() {
	t := *f.tables.Load()
	t.complete = false
	f.tables.Store(&t)
}

// dropUnused drops the tables of services without an address.
func (f *Forwarder) dropUnused() {
	used := make(map[uint32]bool, len(f.serviceCache))
	for _, policy := range f.addresses {
		used[policy.number] = true
	}
	maps.DeleteFunc(f.serviceCache, func(number uint32, _ cachedService) bool { return !used[number] })
}

// cachedService is a service with the policy from which its table was built.
type cachedService struct {
	policy  *configpb.Policy
	service *service
}

// service returns the cached service of a policy and builds its table if there is none
// or the policy has changed.
func (f *Forwarder) service(policy *servicePolicy, now time.Duration) *service {
	cached, ok := f.serviceCache[policy.number]
	if !ok || cached.policy != policy.policy {
		cached = cachedService{policy.policy, &service{number: policy.number, table: f.directory.Table(policy.policy, policy.number, now)}}
		f.serviceCache[policy.number] = cached
	}
	return cached.service
}

func (f *Forwarder) usable(address netip.AddrPort) bool {
	return address.Port() != 0 && f.decider.isAgentAddress(unmap(address).Addr())
}

// reconcile opens and closes public addresses to match the configuration and updates
// their services.
func (f *Forwarder) reconcile(ctx context.Context) {
	before := f.tables.Load().listeners
	after := make(map[netip.AddrPort]*listener, len(f.addresses))
	now := f.now()
	f.closeRemoved(before)

	for address, policy := range f.addresses {
		s := f.service(policy, now)
		l := before[address]
		if l != nil {
			f.setService(l, s, policy)
		} else {
			l = f.open(ctx, address, s, policy)
		}
		if l != nil {
			after[address] = l
		}
	}

	f.tables.Store(&tables{listeners: after, loads: f.directory.Loads(), complete: f.view.Complete})
	f.counters.openAddresses.Update(float64(len(after)))
	f.dropUnused()
	f.updateGauges()
	maps.DeleteFunc(f.openErrors, func(address netip.AddrPort, _ string) bool {
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

func (f *Forwarder) setService(l *listener, s *service, policy *servicePolicy) {
	l.policy = policy
	if l.service.Swap(s).number == s.number {
		return
	}
	f.log.Info("public address reassigned to another service",
		zap.Stringer("public", l.public),
		zap.String("service", policy.name),
	)
}

// open opens a public address and starts its workers. It returns nil on failure.
func (f *Forwarder) open(ctx context.Context, public netip.AddrPort, s *service, policy *servicePolicy) *listener {
	conns, local, err := openSockets(ctx, f.localFor(public), f.options.Workers)
	if err != nil {
		f.openFailed(public, policy, err)
		return nil
	}
	delete(f.openErrors, public)

	l := &listener{public: public, local: local, conns: conns, policy: policy}
	l.service.Store(s)
	for i, conn := range conns {
		w := &publicWorker{f: f, l: l, conn: conn, frameConn: f.frameConns[i%len(f.frameConns)]}
		l.workers.Go(f.recoverPanic(w.run))
	}
	f.log.Info("public address opened",
		zap.Stringer("public", public),
		zap.Stringer("local", local),
		zap.String("service", policy.name),
	)
	return l
}

// openFailed counts each failure and logs it if the error is a new one.
func (f *Forwarder) openFailed(public netip.AddrPort, policy *servicePolicy, err error) {
	f.counters.openFailed.Inc(1)
	if f.openErrors[public] == err.Error() {
		return
	}
	f.openErrors[public] = err.Error()
	f.log.Error("failed to open public address, will retry",
		zap.Stringer("public", public),
		zap.String("service", policy.name),
		zap.Error(err),
	)
}

// localFor returns the local address to open for a public address.
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
