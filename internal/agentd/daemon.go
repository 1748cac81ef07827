package agentd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// defaultRetryPercent is the retry budget without a configured one.
const defaultRetryPercent = 10

// Daemon is the agent of one backend server.
type Daemon struct {
	settings *settingspb.AgentSettings
	limits   limits
	log      *zap.Logger
	scope    tally.Scope
	deps     deps
	timing   timing
	clock    clock
	process  []byte

	socket *net.UDPConn
	// listenAddr is the local address of the socket, address the one that others send to.
	listenAddr           netip.AddrPort
	address              netip.AddrPort
	announceIP           netip.Addr
	announceAddr         atomic.Pointer[net.TCPAddr]
	ready                chan struct{}
	registered           chan struct{}
	announcementReceived chan struct{}

	counters     *counters
	backend      *backendTracker
	limiter      *limiter
	health       *healthState
	proxy        *proxy
	stallMonitor *stalls
	dataPlane    atomic.Pointer[dataPlane]
	stopping     atomic.Bool

	// Set by enroll, used by housekeeping only. status and started are the last values
	// published to the control hosts.
	announcer    announcer
	directory    directory
	status       subscriber.Status
	requestsEWMA health.EWMA
	lastSnapshot limiterSnapshot
	started      time.Duration
	drainRamp    drainRamp
	shedRamp     shedRamp
	wait         conc.WaitGroup
}

// New opens the frame socket and returns a daemon. It returns ErrSettings, wrapped,
// or errors of keys and sockets.
func New(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope) (*Daemon, error) {
	p, err := connect(s, log, scope)
	if err != nil {
		return nil, err
	}
	d, err := newDaemon(s, log, scope, p, defaultTiming())
	if err != nil {
		p.close()
		return nil, err
	}
	return d, nil
}

func newDaemon(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope, p deps, t timing) (*Daemon, error) {
	l := limitsOf(s.GetAgent())
	socket, listenAddr, err := openFrameSocket(s.GetAgent().GetFrameListen())
	if err != nil {
		return nil, err
	}
	address, err := frameAddress(s.GetAgent(), listenAddr)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	clock := clockOf(p.now)
	d := &Daemon{
		settings: s, limits: l, log: log, scope: scope, deps: p, timing: t, clock: clock,
		process: newAttemptID(), socket: socket, listenAddr: listenAddr, address: address,
		ready: make(chan struct{}), registered: make(chan struct{}), announcementReceived: make(chan struct{}, 1),
		counters: newCounters(scope),
		backend:  &backendTracker{},
		health:   newHealthState(clock),
	}
	d.limiter = newLimiter(d.limiterLimits(0))
	d.lastSnapshot = d.limiter.snapshot()
	d.stallMonitor = newStalls(clock, t, d.counters, log)
	d.proxy = &proxy{
		stallMonitor: d.stallMonitor,
		backend:      d.backend.view,
		limiter:      d.limiter,
		bodyLimiter:  &bodyLimiter{limit: l.requestBytes, total: max(maxBodyBytes, l.requestBytes)},
		health:       d.health,
		counters:     d.counters,
		deadline:     l.deadline,
		transport:    newBackendTransport(),
		budget:       retry.NewBudget(defaultRetryPercent, retry.DefaultReserve),
	}
	return d, nil
}

// FrameAddr returns the local address (ip:port) for frames.
func (d *Daemon) FrameAddr() string {
	return d.listenAddr.String()
}

// AnnounceAddr returns the local address (ip:port) for announcements, empty before
// Ready.
func (d *Daemon) AnnounceAddr() string {
	if a := d.announceAddr.Load(); a != nil {
		return a.String()
	}
	return ""
}

// Ready returns a channel that is closed once the announcement address is open. The
// target accepts flows only after Registered.
func (d *Daemon) Ready() <-chan struct{} {
	return d.ready
}

// Registered returns a channel that is closed once the control hosts have registered
// the target and it accepts flows.
func (d *Daemon) Registered() <-chan struct{} {
	return d.registered
}

// Run serves until the context ends and then drains, without a time limit. It returns
// nil after a graceful shutdown.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cleanup()
	listener, err := d.listen(ctx)
	if err != nil || listener == nil {
		return err
	}
	server := d.announceServer()
	d.wait.Go(func() { _ = server.Serve(listener) })
	defer func() { _ = server.Close() }()
	close(d.ready)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.wait.Go(func() { d.stallMonitor.run(background) })
	d.wait.Go(func() { newPoller(d.backend, d.health, d.limits.poll).run(background) })
	registered, err := d.enroll(ctx)
	if err != nil || registered == nil {
		return err
	}
	d.serve(ctx, registered)
	_ = server.Close()
	d.drain(registered)
	return nil
}

// enroll waits for the first announcement of the backend server and registers the
// target. It returns nil without an error when the context ends first.
func (d *Daemon) enroll(ctx context.Context) (*dataPlane, error) {
	select {
	case <-d.announcementReceived:
	case <-ctx.Done():
		return nil, nil
	}
	self, ok := d.register(ctx, d.backend.get())
	if !ok {
		return nil, nil
	}
	d.directory = d.deps.subscribe(self.serviceNumber)
	p, err := d.openDataPlane(self)
	if err != nil {
		return nil, err
	}
	d.dataPlane.Store(p)
	d.deps.onSecretsChange(d.reloadSecrets)
	p.run()
	close(d.registered)
	d.log.Info("target registered", zap.Stringer("target", self), zap.String("service", self.service))
	return p, nil
}

// register announces the target and waits for its identity, without a time limit.
func (d *Daemon) register(ctx context.Context, a *announcement) (identity, bool) {
	snapshot := d.backend.snapshot(d.clock.now())
	d.started = snapshot.startTime
	d.status = subscriber.Status{State: stateOf(snapshot.draining), Slots: uint32(d.limiter.snapshot().slots)}
	d.announcer = d.deps.startAnnouncer(announcerOptions{
		service: a.Service, target: a.Target, process: d.process,
		failureDomain: d.settings.GetHost().GetFailureDomain(), address: d.address.String(),
		started: d.clock.at(d.started), status: d.status, capacity: d.limiter.capacityState,
	})
	select {
	case <-d.announcer.Registered():
	case <-ctx.Done():
		return identity{}, false
	}
	got := d.announcer.Registration()
	return identity{
		service: a.Service, target: a.Target, serviceNumber: got.GetServiceNumber(),
		number: got.GetTargetNumber(), incarnation: got.GetIncarnation(), address: d.address,
	}, true
}

func (d *Daemon) openDataPlane(self identity) (*dataPlane, error) {
	d.proxy.self = self.String()
	d.proxy.grantClient = &grantClient{
		grantTransport: &control{client: d.deps.control, mismatches: d.counters.tableMismatches},
		service:        self.serviceNumber,
		timing:         d.timing,
		counters:       d.counters,
		breakers:       newGrantBreakers(d.clock, d.timing, d.log),
		ctx:            context.Background(),
	}
	return newDataPlane(dataPlaneOptions{
		conn: d.socket, self: self, secrets: d.deps.secrets(), certificate: d.deps.certificate,
		proxy: d.proxy, stallMonitor: d.stallMonitor, flows: newFlowTable(maxFlows), counters: d.counters, timing: d.timing, clock: d.clock,
		redirector: &redirector{
			self: self, counters: d.counters, targets: d.directory.Targets,
			evacuated: d.directory.Evacuated, domain: d.settings.GetHost().GetFailureDomain(),
		},
	})
}

// reloadSecrets applies changed data secrets.
func (d *Daemon) reloadSecrets() {
	if err := d.dataPlane.Load().socket.setSecrets(d.deps.secrets()); err != nil {
		d.log.Warn("data secrets not reloaded", zap.Error(err))
	}
}

// serve runs housekeeping until the context ends.
func (d *Daemon) serve(ctx context.Context, p *dataPlane) {
	ticker := time.NewTicker(d.timing.housekeepingInterval)
	defer ticker.Stop()
	for {
		d.updateState(p)
		select {
		case <-ticker.C:
		case <-d.announcementReceived:
		case <-ctx.Done():
			return
		}
	}
}

// drain accepts no new flows and waits until the last session has ended.
func (d *Daemon) drain(p *dataPlane) {
	d.stopping.Store(true)
	d.log.Info("draining", zap.Int("sessions", p.sessions.count()))
	drainStart := d.clock.now()
	d.drainRamp.drainStart = drainStart
	d.updateState(p)
	d.wait.Go(d.awaitDrainAnnounced)
	ticker := time.NewTicker(d.timing.housekeepingInterval)
	defer ticker.Stop()
	for {
		d.updateState(p)
		p.sessions.closeIdle()
		if p.sessions.count() == 0 && d.clock.now()-drainStart >= d.timing.minDrainTime {
			break
		}
		<-ticker.C
	}
	d.proxy.grantClient.awaitBackground()
	p.close()
	d.log.Info("drained")
}

// awaitDrainAnnounced waits until a control host has received the draining state.
// Draining does not depend on it: the agent itself redirects new flows.
func (d *Daemon) awaitDrainAnnounced() {
	ctx, cancel := context.WithTimeout(context.Background(), d.timing.drainAnnounceTimeout)
	defer cancel()
	if err := d.announcer.WaitAnnounced(ctx); err != nil {
		d.log.Warn("draining not acknowledged by any control host", zap.Error(err))
	}
}

// cleanup closes what New and Run opened.
func (d *Daemon) cleanup() {
	if d.announcer != nil {
		d.announcer.Close()
	}
	if d.directory != nil {
		d.directory.Close()
	}
	_ = d.socket.Close()
	d.wait.Wait()
	d.deps.close()
}

// acceptAnnouncement records an announcement of the backend server.
func (d *Daemon) acceptAnnouncement(a *announcement) error {
	if d.deps.service != "" && a.Service != d.deps.service {
		return errors.Wrapf(ErrAnnouncement, "the certificate of this agent is for service %q", d.deps.service)
	}
	if err := d.backend.update(a, d.clock.now()); err != nil {
		return err
	}
	select {
	case d.announcementReceived <- struct{}{}:
	default:
	}
	return nil
}

func (d *Daemon) limiterLimits(slots int) admission.Limits {
	if slots <= 0 {
		slots = admission.DefaultSlots
	}
	return admission.Limits{Slots: slots, Queue: slots * queuePerSlot, MaxWait: d.limits.queue}
}

// listen opens the announcement address. An older process may hold it until it exits,
// so listen retries until the context ends.
func (d *Daemon) listen(ctx context.Context) (net.Listener, error) {
	address, err := netip.ParseAddrPort(d.settings.GetAgent().GetAnnounceListen())
	if err != nil {
		return nil, errors.Wrapf(ErrSettings, "announce_listen: %v", err)
	}
	d.announceIP = address.Addr()
	logged := false
	for {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			d.announceAddr.Store(listener.Addr().(*net.TCPAddr))
			d.backend.listen(d.clock.now(), d.timing.announceLease)
			return listener, nil
		}
		if !logged {
			logged = true
			d.log.Warn("announcement address in use, retrying", zap.Error(err))
		}
		if !pause(ctx, d.timing.listenRetryInterval) {
			return nil, nil
		}
	}
}

var _ http.Handler = (*proxy)(nil)
