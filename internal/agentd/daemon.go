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

// defaultRetryPercent is the retry budget until a configuration names one.
const defaultRetryPercent = 10

// Daemon is the agent of one backend server.
type Daemon struct {
	settings *settingspb.AgentSettings
	limits   limits
	log      *zap.Logger
	scope    tally.Scope
	parts    parts
	timing   timing
	clock    clock
	process  []byte

	socket *net.UDPConn
	// opened is the address of the socket, address the one that others use.
	opened     netip.AddrPort
	address    netip.AddrPort
	announceIP netip.Addr
	announce   atomic.Pointer[net.TCPAddr]
	ready      chan struct{}
	registered chan struct{}
	first      chan struct{}

	counters *counters
	backend  *backendRecord
	gate     *gate
	health   *healthState
	proxy    *proxy
	still    *standstills
	plane    atomic.Pointer[plane]
	stopping atomic.Bool

	// Set by enroll, used by housekeeping only.
	announcer announcer
	directory directory
	status    subscriber.Status
	meter     health.EWMA
	lastGate  gateFigures
	started   time.Duration
	moving    moving
	shedding  shedding
	wait      conc.WaitGroup
}

// New returns a daemon with its frame socket open. Errors are ErrSettings,
// wrapped, or those of keys and sockets.
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

func newDaemon(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope, p parts, t timing) (*Daemon, error) {
	l := limitsOf(s.GetAgent())
	socket, opened, err := openFrameSocket(s.GetAgent().GetFrameListen())
	if err != nil {
		return nil, err
	}
	address, err := frameAddress(s.GetAgent(), opened)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	clock := clockOf(p.now)
	d := &Daemon{
		settings: s, limits: l, log: log, scope: scope, parts: p, timing: t, clock: clock,
		process: newAttempt(), socket: socket, opened: opened, address: address,
		ready: make(chan struct{}), registered: make(chan struct{}), first: make(chan struct{}, 1),
		counters: newCounters(scope),
		backend:  &backendRecord{},
		health:   newHealthState(clock),
	}
	d.gate = newGate(d.gateLimits(0))
	d.lastGate = d.gate.figures()
	d.still = newStandstills(clock, t, d.counters, log)
	d.proxy = &proxy{
		still:     d.still,
		backend:   d.backend.view,
		gate:      d.gate,
		bodies:    &bodies{limit: l.requestBytes, total: max(maxBodyBytes, l.requestBytes)},
		health:    d.health,
		counters:  d.counters,
		deadline:  l.deadline,
		transport: newBackendTransport(),
		budget:    retry.NewBudget(defaultRetryPercent, retry.DefaultReserve),
	}
	return d, nil
}

// FrameAddr returns the address (ip:port) on which frames are received.
func (d *Daemon) FrameAddr() string {
	return d.opened.String()
}

// AnnounceAddr returns the address (ip:port) that takes announcements, empty
// before Ready.
func (d *Daemon) AnnounceAddr() string {
	if a := d.announce.Load(); a != nil {
		return a.String()
	}
	return ""
}

// Ready is closed once both addresses are open. The target takes flows only
// after its backend server has announced itself and the control hosts have
// registered it.
func (d *Daemon) Ready() <-chan struct{} {
	return d.ready
}

// Registered is closed once the control hosts have registered the target and
// it takes flows.
func (d *Daemon) Registered() <-chan struct{} {
	return d.registered
}

// Run serves until the context ends and then until the last session has
// ended, without a time limit. It returns nil after such a graceful shutdown.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.free()
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
	d.wait.Go(func() { d.still.run(background) })
	d.wait.Go(func() { newPoller(d.backend, d.health, d.limits.poll).run(background) })
	registered, err := d.enroll(ctx)
	if err != nil || registered == nil {
		return err
	}
	d.serve(ctx, registered)
	_ = server.Close()
	d.leave(registered)
	return nil
}

// enroll waits for the backend server's first announcement and registers its
// target. It returns nil without an error when the context ends first.
func (d *Daemon) enroll(ctx context.Context) (*plane, error) {
	select {
	case <-d.first:
	case <-ctx.Done():
		return nil, nil
	}
	self, ok := d.register(ctx, d.backend.get())
	if !ok {
		return nil, nil
	}
	d.directory = d.parts.subscribe(self.serviceNumber)
	one, err := d.openPlane(self)
	if err != nil {
		return nil, err
	}
	d.plane.Store(one)
	d.parts.onSecrets(d.renewSecrets)
	one.run()
	close(d.registered)
	d.log.Info("target registered", zap.Stringer("target", self), zap.String("service", self.service))
	return one, nil
}

// register announces the target and waits for its identity, as long as the
// control hosts take to give one.
func (d *Daemon) register(ctx context.Context, a *announcement) (identity, bool) {
	figures := d.backend.figures(d.clock.now())
	d.started = figures.since
	d.status = subscriber.Status{State: stateOf(figures.draining), Slots: uint32(d.gate.figures().slots)}
	d.announcer = d.parts.enlist(enlistment{
		service: a.Service, target: a.Target, process: d.process,
		failureDomain: d.settings.GetHost().GetFailureDomain(), address: d.address.String(),
		started: d.clock.at(d.started), status: d.status,
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

func (d *Daemon) openPlane(self identity) (*plane, error) {
	d.proxy.self = self.String()
	d.proxy.once = &once{
		granter:  &control{caller: d.parts.control, refused: d.counters.otherTable},
		service:  self.serviceNumber,
		timing:   d.timing,
		counters: d.counters,
		lines:    newGrantLines(d.clock, d.timing, d.log),
		ctx:      context.Background(),
	}
	return newPlane(planeOptions{
		conn: d.socket, self: self, secrets: d.parts.secrets(), certificate: d.parts.certificate,
		proxy: d.proxy, still: d.still, flows: newFlowTable(maxFlows), counters: d.counters, timing: d.timing, clock: d.clock,
		handOn: &handOn{
			self: self, counters: d.counters, targets: d.directory.Targets,
			evacuated: d.directory.Evacuated, domain: d.settings.GetHost().GetFailureDomain(),
		},
	})
}

// renewSecrets takes over changed data secrets.
func (d *Daemon) renewSecrets() {
	if err := d.plane.Load().socket.setSecrets(d.parts.secrets()); err != nil {
		d.log.Warn("data secrets not taken over", zap.Error(err))
	}
}

// serve keeps the target in order until the context ends.
func (d *Daemon) serve(ctx context.Context, one *plane) {
	ticker := time.NewTicker(d.timing.checkEvery)
	defer ticker.Stop()
	for {
		d.check(one)
		select {
		case <-ticker.C:
		case <-d.first:
		case <-ctx.Done():
			return
		}
	}
}

// leave takes no new flow and waits until the last session has ended.
func (d *Daemon) leave(one *plane) {
	d.stopping.Store(true)
	d.log.Info("leaving", zap.Int("sessions", one.sessions.count()))
	began := d.clock.now()
	d.moving.began = began
	d.check(one)
	d.wait.Go(d.sayFarewell)
	ticker := time.NewTicker(d.timing.checkEvery)
	defer ticker.Stop()
	for {
		d.check(one)
		one.sessions.closeIdle()
		if one.sessions.count() == 0 && d.clock.now()-began >= d.timing.handOn {
			break
		}
		<-ticker.C
	}
	d.proxy.once.drain()
	one.close()
	d.log.Info("left")
}

// sayFarewell waits until a control host has heard that the target leaves. It
// only makes the lists better: the agent itself takes no new flow.
func (d *Daemon) sayFarewell() {
	ctx, cancel := context.WithTimeout(context.Background(), d.timing.farewell)
	defer cancel()
	if err := d.announcer.WaitAnnounced(ctx); err != nil {
		d.log.Warn("no control host heard of the leaving", zap.Error(err))
	}
}

// free closes what New opened.
func (d *Daemon) free() {
	if d.announcer != nil {
		d.announcer.Close()
	}
	if d.directory != nil {
		d.directory.Close()
	}
	_ = d.socket.Close()
	d.wait.Wait()
	d.parts.close()
}

// announced takes an announcement of the backend server.
func (d *Daemon) announced(a *announcement) error {
	if d.parts.service != "" && a.Service != d.parts.service {
		return errors.Wrapf(ErrAnnouncement, "the certificate of this agent is for service %q", d.parts.service)
	}
	if err := d.backend.renew(a, d.clock.now()); err != nil {
		return err
	}
	select {
	case d.first <- struct{}{}:
	default:
	}
	return nil
}

func (d *Daemon) gateLimits(slots int) admission.Limits {
	if slots <= 0 {
		slots = admission.DefaultSlots
	}
	return admission.Limits{Slots: slots, Queue: slots * queuePerSlot, MaxWait: d.limits.queue}
}

// listen opens the announcement address. An older process may hold it until it
// leaves, so this tries again until the context ends.
func (d *Daemon) listen(ctx context.Context) (net.Listener, error) {
	address, err := netip.ParseAddrPort(d.settings.GetAgent().GetAnnounceListen())
	if err != nil {
		return nil, errors.Wrapf(ErrSettings, "announce_listen: %v", err)
	}
	d.announceIP = address.Addr()
	told := false
	for {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			d.announce.Store(listener.Addr().(*net.TCPAddr))
			d.backend.listen(d.clock.now(), d.timing.announceLease)
			return listener, nil
		}
		if !told {
			told = true
			d.log.Warn("announcement address is not free, trying again", zap.Error(err))
		}
		if !pause(ctx, d.timing.listenRetry) {
			return nil, nil
		}
	}
}

var _ http.Handler = (*proxy)(nil)
