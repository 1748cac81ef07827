package flowd

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/stall"
)

const (
	// refreshPeriod is the time between two updates of target ages and loads.
	refreshPeriod = 250 * time.Millisecond
	// retryPeriod is the time between two attempts to handle undecided packets.
	retryPeriod = 20 * time.Millisecond
	// confirmInterval is the least time between two requests for a confirmation.
	confirmInterval = 100 * time.Millisecond
	// decayRounds is the number of refresh rounds between two sweeps of the flow table and
	// halvings of the counts of unanswered flows.
	decayRounds = 4
	// maxClockDrift is how far the wall clock may advance beyond the monotonic clock in
	// 20 ms. Slewing is limited to 0.5 ms a second, so more indicates a suspension.
	maxClockDrift = 100 * time.Millisecond
	// linkHeartbeat and linkTimeout detect a dead link within 2.2 s: changes have to be
	// effective within 3 s.
	linkHeartbeat = time.Second
	linkTimeout   = time.Second
	// callTimeout bounds a registration or announcement.
	callTimeout = time.Second
	// dialTimeout is when the next control host is tried in parallel, longer than a
	// handshake between regions (80 ms): a host without power answers nothing, and the next
	// one may be back already. dialAttemptTimeout ends an attempt: a handshake of two round
	// trips over a full link takes seconds.
	dialTimeout        = 400 * time.Millisecond
	dialAttemptTimeout = 3 * time.Second
	// maxBackoff bounds the backoff between attempts.
	maxBackoff = 250 * time.Millisecond
)

// MinLease is the shortest lease of a target. Within this time its agent finds that a
// control host is lost and announces the target at another one; until then a list without
// the target must not count as complete.
const MinLease = 3500 * time.Millisecond

// Limits bound the lifetime of flows in the table.
type Limits struct {
	// Idle is the lifetime of a flow without packets, Age that of any flow.
	Idle, Age time.Duration
}

// EntryOptions configure an Entry.
type EntryOptions struct {
	Codec Codec
	Log   *zap.Logger
	Scope tally.Scope
	Creds *keys.Credentials
	// FailureDomain of this host.
	FailureDomain string
	// Control has the link addresses (ip:port) of control hosts.
	Control []string
	// CallerListen is the address (ip:port) for packets of callers, AgentListen that for
	// frames of agents.
	CallerListen, AgentListen string
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// LinkBitsPerSecond is the rate of the host's link for both directions together, 0 if
	// unknown.
	LinkBitsPerSecond float64
	Limits            Limits
}

// Entry forwards the packets of callers.
type Entry struct {
	opts      EntryOptions
	startedAt time.Time
	placer    *placer
	callers   *socket
	agents    *socket
	counters  *counters
	client    *link.Client
	// subscription is set before packets are handled.
	subscription *subscriber.Subscriber

	// mu guards flows, throttle, suspends, confirmRequestedAt, undecided, searchCopies and buffer.
	mu       sync.Mutex
	flows    *flow.Entry
	throttle *throttler
	suspends stall.SuspendDetector
	// confirmRequestedAt is when a confirmation was last requested, 0 if none was.
	confirmRequestedAt time.Duration
	// undecided has the packets that cannot be decided on yet, searchCopies those of
	// flows that are searched for.
	undecided    flow.PacketBuffer
	searchCopies flow.PacketBuffer
	buffer       []byte
}

// NewEntry opens the sockets and a link to a control host. Run has to be called to receive
// anything.
func NewEntry(o EntryOptions) (*Entry, error) {
	scope := o.Scope.SubScope("flow_entry")
	callers, err := listen(o.CallerListen, "callers", o.Log, scope)
	if err != nil {
		return nil, err
	}
	agents, err := listen(o.AgentListen, "agents", o.Log, scope)
	if err != nil {
		_ = callers.conn.Close()
		return nil, err
	}
	e := &Entry{
		opts:      o,
		startedAt: time.Now(),
		placer:    newPlacer(o.Log, scope, o.Limits.Age),
		callers:   callers,
		agents:    agents,
		counters:  newCounters(scope),
		buffer:    make([]byte, 0, maxDatagram),
		suspends:  stall.SuspendDetector{Threshold: maxClockDrift},
	}
	e.client = link.NewClient(o.Control, o.Creds, linkOptions(o.Log, o.Scope))
	e.flows = flow.NewEntry(e.placer, flow.EndpointOf(agents.local()))
	e.throttle = newThrottler(o.Log, scope, e.placer)
	e.flows.SetThrottle(e.throttle)
	e.flows.SetLinkRate(o.LinkBitsPerSecond, 0)
	e.flows.RequireConfirmation()
	e.flows.SetGroup(flow.GroupOf(o.FailureDomain))
	return e, nil
}

// linkOptions returns the options for links of entry hosts and agents.
func linkOptions(log *zap.Logger, scope tally.Scope) link.ClientOptions {
	return link.ClientOptions{
		Log:               log,
		Scope:             scope,
		DialTimeout:       dialTimeout,
		AttemptTimeout:    dialAttemptTimeout,
		FirstDialTimeout:  firstDialTimeout,
		HeartbeatInterval: linkHeartbeat,
		HeartbeatTimeout:  linkTimeout,
		BackoffMax:        maxBackoff,
	}
}

// SetControl replaces the link addresses of the control hosts.
func (e *Entry) SetControl(addresses []string) { e.client.SetAddresses(addresses) }

// Run forwards packets until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	client := e.client
	defer client.Close()
	sub := subscriber.Start(subscriber.Options{
		Client:        client,
		Log:           e.opts.Log,
		Scope:         e.opts.Scope,
		FailureDomain: e.opts.FailureDomain,
		RetryMax:      maxBackoff,
		OnView:        e.applyView,
		OnConfirmed:   e.applyConfirmation,
	})
	defer sub.Close()
	e.subscription = sub
	var workers conc.WaitGroup
	workers.Go(func() { e.callers.serve(ctx, e.handleCallerPacket) })
	workers.Go(func() { e.agents.serve(ctx, e.handleAgentFrame) })
	workers.Go(func() { e.maintain(ctx) })
	workers.Go(func() { e.retryUndecided(ctx) })
	workers.Wait()
	return nil
}

func (e *Entry) applyView(v *subscriber.View) {
	e.placer.apply(v, e.now())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle.apply(v.Config)
}

// applyConfirmation records that the view was the newest at a time, and resets the flows that
// waited for that.
func (e *Entry) applyConfirmation(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.flows.Confirm(at.Sub(e.startedAt), e.observeClocks()) {
		e.applyVerdict(r.Verdict, r.Packet, nil)
	}
}

// requestConfirmation asks for a confirmation if flows wait for one, at most once in
// confirmInterval.
func (e *Entry) requestConfirmation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.flows.AwaitsConfirmation() || e.confirmRequestedAt != 0 && now-e.confirmRequestedAt < confirmInterval {
		return
	}
	e.confirmRequestedAt = now
	e.subscription.RequestConfirmation()
}

// Ready reports whether new flows can be placed.
func (e *Entry) Ready() bool { return e.placer.ready() }

func (e *Entry) now() time.Duration { return time.Since(e.startedAt) }

// observeClocks returns the time and reports a suspension of the machine, after which the
// information of this host may be outdated. The lock is held.
func (e *Entry) observeClocks() time.Duration {
	t := time.Now()
	now := t.Sub(e.startedAt)
	if gap := e.suspends.Observe(now, t.Round(0).Sub(e.startedAt.Round(0))); gap > 0 {
		e.flows.ReportStall(now, gap)
	}
	return now
}

// maintain sweeps the table and refreshes target ages and loads.
func (e *Entry) maintain(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		decay := round%decayRounds == 0
		e.placer.refresh(e.now(), decay)
		e.mu.Lock()
		e.throttle.sweep(e.now())
		e.mu.Unlock()
		if !decay {
			continue
		}
		e.mu.Lock()
		e.flows.Sweep(e.now(), e.opts.Limits.Idle, e.opts.Limits.Age)
		e.searchCopies.Sweep(e.now())
		count := e.flows.Len()
		e.mu.Unlock()
		e.counters.flows.Update(float64(count))
	}
}

// retryUndecided handles buffered packets once a decision is possible.
func (e *Entry) retryUndecided(ctx context.Context) {
	ticker := time.NewTicker(retryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.detectStall()
		e.requestConfirmation()
		if e.placer.Ready() {
			e.handleUndecided()
		}
	}
}

// detectStall counts and logs stalls of this process.
func (e *Entry) detectStall() {
	e.mu.Lock()
	gap := e.flows.ObserveClock(e.observeClocks())
	e.mu.Unlock()
	if gap > 0 {
		e.counters.stalls.Inc(1)
		e.opts.Log.Warn("process stalled", zap.Duration("duration", gap))
	}
}

// handleUndecided handles all buffered packets.
func (e *Entry) handleUndecided() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.flows.MayReset(e.observeClocks()) {
		return
	}
	for _, packet := range e.undecided.TakeAll(e.now()) {
		// The packet was decoded before.
		p, err := e.opts.Codec.FromCaller(packet)
		if err == nil {
			e.applyVerdict(e.flows.Packet(p, e.now()), p, packet)
		}
	}
}

func (e *Entry) handleCallerPacket(b []byte, _ flow.Endpoint) {
	e.callers.in.packets.add(len(b))
	p, err := e.opts.Codec.FromCaller(b)
	if err != nil {
		e.counters.malformed.Inc(1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.observeClocks()
	e.flows.CountTraffic(len(b), now)
	e.applyVerdict(e.flows.Packet(p, now), p, b)
}

func (e *Entry) handleAgentFrame(b []byte, from flow.Endpoint) {
	e.agents.in.countFrame(b)
	m, packet, err := flow.ParseFrame(b)
	if err != nil {
		e.counters.malformed.Inc(1)
		return
	}
	now := e.now()
	e.mu.Lock()
	e.flows.CountTraffic(len(b), now)
	e.flows.MarkSeen(from, now)
	e.flows.ObserveFrame(m, from)
	e.mu.Unlock()
	switch m.Kind {
	case flow.Load:
		e.updateLoad(m, from, now)
	case flow.Located:
		e.mu.Lock()
		e.flows.Located(m, from, now)
		e.mu.Unlock()
	case flow.Held:
		e.updateLoad(m, from, now)
		e.mu.Lock()
		e.flows.Held(m, from, now)
		e.mu.Unlock()
	case flow.Denied:
		e.mu.Lock()
		v, p := e.flows.Denied(m, from, e.observeClocks())
		e.applyVerdict(v, p, nil)
		e.mu.Unlock()
	case flow.HeldByNone:
		e.mu.Lock()
		v, p := e.flows.HeldByNone(m, e.observeClocks())
		e.applyVerdict(v, p, nil)
		e.mu.Unlock()
	case flow.Missed:
		p, err := e.opts.Codec.FromCaller(packet)
		if err != nil {
			e.counters.malformed.Inc(1)
			return
		}
		e.mu.Lock()
		e.applyVerdict(e.flows.Missed(m, p, from, now), p, packet)
		e.mu.Unlock()
	}
}

// updateLoad applies the load report in a frame.
func (e *Entry) updateLoad(m flow.Frame, from flow.Endpoint, now time.Duration) {
	e.placer.updateLoad(m, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle.report(m, from, now)
}

// applyVerdict carries out a verdict. The lock is held.
func (e *Entry) applyVerdict(v flow.Verdict, p flow.Packet, packet []byte) {
	e.counters.count(v)
	e.throttle.count(&v, p.Key)
	logVerdict(e.opts.Log, &v, &p, e.decisionInputs)
	if v.UseCopy {
		if packet = e.searchCopies.TakeOne(p.Key, e.now()); packet == nil {
			return
		}
	}
	if v.KeepCopy && !e.searchCopies.Put(p.Key, packet, e.now()) {
		e.counters.overflow.Inc(1)
	}
	switch v.Action {
	case flow.Send:
		e.sendToAgent(e.encoded(&v.Frame, packet), v.To)
	case flow.SendAll:
		encoded := e.encoded(&v.Frame, packet)
		for _, to := range v.All {
			e.sendToAgent(encoded, to)
		}
	case flow.Wait:
		if !e.undecided.Put(p.Key, packet, e.now()) {
			e.counters.overflow.Inc(1)
		}
	case flow.Reset:
		e.buffer = e.opts.Codec.AppendReset(e.buffer[:0], p.Key, p.Ack)
		e.callers.sendReset(e.buffer, flow.Endpoint{IP: p.Key.Caller.IP, Port: e.opts.CallerPort})
	}
}

// decisionInputs returns the state behind a verdict for the log.
func (e *Entry) decisionInputs() []zap.Field {
	fields := e.placer.decisionInputs()
	if age, known := e.subscription.ConfirmedAge(); known {
		fields = append(fields, zap.Duration("confirmed_age", age))
	}
	return fields
}

// sendToAgent sends a frame and accounts for it on the link. The lock is held.
func (e *Entry) sendToAgent(frame []byte, to flow.Endpoint) {
	e.flows.CountTraffic(len(frame), e.now())
	e.agents.sendFrame(frame, to)
}

func (e *Entry) encoded(f *flow.Frame, packet []byte) []byte {
	e.buffer = append(f.Append(e.buffer[:0]), packet...)
	return e.buffer
}
