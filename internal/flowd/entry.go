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
	// tablePeriod is the time between two looks at ages and load figures.
	tablePeriod = 250 * time.Millisecond
	// releasePeriod is the time between two looks whether packets that wait can be
	// decided on.
	releasePeriod = 20 * time.Millisecond
	// decayTables is how many of these pass between two halvings of the counts of
	// unanswered flows: a second.
	decayTables = 4
	// maxAhead is the most that the time of day runs ahead of the steady clock in 20 ms
	// while the machine runs: what a correction takes in, 0.5 ms a second, is far less.
	maxAhead = 100 * time.Millisecond
	// linkHeartbeat and linkTimeout bound how long a link that has fallen silent
	// goes unnoticed: 2.2 s, since a change has to be in force within 3 s.
	linkHeartbeat = time.Second
	linkTimeout   = time.Second
	// callTimeout bounds a registration or announcement.
	callTimeout = time.Second
	// dialTimeout is how long an attempt at one control host has no answer before the next
	// one is tried. A host without power answers nothing, and the next one may be back
	// already; a handshake between regions takes 80 ms. dialPatience bounds an attempt:
	// behind a full link a handshake of two round trips takes seconds.
	dialTimeout  = 400 * time.Millisecond
	dialPatience = 3 * time.Second
	// retryMax bounds the pause between attempts.
	retryMax = 250 * time.Millisecond
)

// Limits bound what is remembered of a flow.
type Limits struct {
	// Idle is how long a flow without packets is remembered, Age how long any is.
	Idle, Age time.Duration
}

// EntryOptions configure an Entry.
type EntryOptions struct {
	Codec Codec
	Log   *zap.Logger
	Scope tally.Scope
	Creds *keys.Credentials
	// FailureDomain is told to control hosts.
	FailureDomain string
	// Control has the link addresses (ip:port) of control hosts.
	Control []string
	// CallerListen is the address (ip:port) that callers' packets arrive at, and
	// AgentListen that of frames from agents.
	CallerListen, AgentListen string
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// LinkBitsPerSecond is the width of the host's link for both directions together, 0 if
	// it is not known.
	LinkBitsPerSecond float64
	Limits            Limits
}

// Entry forwards the packets of callers.
type Entry struct {
	opts    EntryOptions
	began   time.Time
	placer  *placer
	callers *socket
	agents  *socket
	reasons *reasons
	client  *link.Client

	// mu guards flows, clocks, waiting and buffer.
	mu      sync.Mutex
	flows   *flow.Entry
	clocks  stall.SuspendDetector
	waiting flow.PacketBuffer
	// kept has packets whose flows are searched for.
	kept   flow.PacketBuffer
	buffer []byte
}

// NewEntry opens the sockets and a link to a control host. Nothing is read before
// Run, which has to follow.
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
		opts:    o,
		began:   time.Now(),
		placer:  newPlacer(o.Log, scope),
		callers: callers,
		agents:  agents,
		reasons: newReasons(scope),
		buffer:  make([]byte, 0, maxDatagram),
		clocks:  stall.SuspendDetector{Threshold: maxAhead},
	}
	e.client = link.NewClient(o.Control, o.Creds, linkOptions(o.Log, o.Scope))
	e.flows = flow.NewEntry(e.placer, flow.EndpointOf(agents.local()))
	e.flows.SetLinkRate(o.LinkBitsPerSecond, 0)
	return e, nil
}

// linkOptions are those of the link of an entry host or agent.
func linkOptions(log *zap.Logger, scope tally.Scope) link.ClientOptions {
	return link.ClientOptions{
		Log:               log,
		Scope:             scope,
		DialTimeout:       dialTimeout,
		AttemptTimeout:    dialPatience,
		HeartbeatInterval: linkHeartbeat,
		HeartbeatTimeout:  linkTimeout,
		BackoffMax:        retryMax,
	}
}

// SetControl replaces the link addresses of the control hosts.
func (e *Entry) SetControl(addresses []string) { e.client.SetAddresses(addresses) }

// Run forwards until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	client := e.client
	defer client.Close()
	sub := subscriber.Start(subscriber.Options{
		Client:        client,
		Log:           e.opts.Log,
		Scope:         e.opts.Scope,
		FailureDomain: e.opts.FailureDomain,
		RetryMax:      retryMax,
		OnView:        func(v *subscriber.View) { e.placer.apply(v, e.now()) },
	})
	defer sub.Close()
	var workers conc.WaitGroup
	workers.Go(func() { e.callers.serve(ctx, e.fromCaller) })
	workers.Go(func() { e.agents.serve(ctx, e.fromAgent) })
	workers.Go(func() { e.keep(ctx) })
	workers.Go(func() { e.release(ctx) })
	workers.Wait()
	return nil
}

// Ready reports whether new flows can be placed.
func (e *Entry) Ready() bool { return e.placer.ready() }

func (e *Entry) now() time.Duration { return time.Since(e.began) }

// look returns the time, and takes in that the machine was suspended until a moment ago:
// what was decided before may be old. The lock is held.
func (e *Entry) look() time.Duration {
	t := time.Now()
	now := t.Sub(e.began)
	if gap := e.clocks.Observe(now, t.Round(0).Sub(e.began.Round(0))); gap > 0 {
		e.flows.ReportStall(now, gap)
	}
	return now
}

// keep sweeps the table and refreshes the figures that placing uses.
func (e *Entry) keep(ctx context.Context) {
	ticker := time.NewTicker(tablePeriod)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		decay := round%decayTables == 0
		e.placer.refresh(e.now(), decay)
		if !decay {
			continue
		}
		e.mu.Lock()
		e.flows.Sweep(e.now(), e.opts.Limits.Idle, e.opts.Limits.Age)
		e.kept.Sweep(e.now())
		count := e.flows.Len()
		e.mu.Unlock()
		e.reasons.flows.Update(float64(count))
	}
}

// release decides on the packets that wait, once that is possible.
func (e *Entry) release(ctx context.Context) {
	ticker := time.NewTicker(releasePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.noticeStandstill()
		if e.placer.Ready() {
			e.decideWaiting()
		}
	}
}

// noticeStandstill tells that this host stood still.
func (e *Entry) noticeStandstill() {
	e.mu.Lock()
	gap := e.flows.ObserveClock(e.look())
	e.mu.Unlock()
	if gap > 0 {
		e.reasons.standstills.Inc(1)
		e.opts.Log.Warn("this process stood still", zap.Duration("for", gap))
	}
}

// decideWaiting decides on the packets that wait.
func (e *Entry) decideWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.flows.MayReset(e.look()) {
		return
	}
	for _, packet := range e.waiting.TakeAll(e.now()) {
		// It was read before.
		p, err := e.opts.Codec.FromCaller(packet)
		if err == nil {
			e.act(e.flows.Packet(p, e.now()), p, packet)
		}
	}
}

func (e *Entry) fromCaller(b []byte, _ flow.Endpoint) {
	e.callers.in.packets.add(len(b))
	p, err := e.opts.Codec.FromCaller(b)
	if err != nil {
		e.reasons.malformed.Inc(1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.look()
	e.flows.CountTraffic(len(b), now)
	e.act(e.flows.Packet(p, now), p, b)
}

func (e *Entry) fromAgent(b []byte, from flow.Endpoint) {
	e.agents.in.frame(b)
	m, packet, err := flow.ParseFrame(b)
	if err != nil {
		e.reasons.malformed.Inc(1)
		return
	}
	now := e.now()
	e.mu.Lock()
	e.flows.CountTraffic(len(b), now)
	e.flows.MarkSeen(from, now)
	e.mu.Unlock()
	switch m.Kind {
	case flow.Load:
		e.placer.learn(m, now)
	case flow.Located:
		e.mu.Lock()
		e.flows.Located(m, now)
		e.mu.Unlock()
	case flow.Held:
		e.placer.learn(m, now)
		e.mu.Lock()
		e.flows.Held(m, from, now)
		e.mu.Unlock()
	case flow.Denied:
		e.mu.Lock()
		v, p := e.flows.Denied(m.Key, from, e.look())
		e.act(v, p, nil)
		e.mu.Unlock()
	case flow.HeldByNone:
		e.mu.Lock()
		v, p := e.flows.HeldByNone(m, from, e.look())
		e.act(v, p, nil)
		e.mu.Unlock()
	case flow.Missed:
		p, err := e.opts.Codec.FromCaller(packet)
		if err != nil {
			e.reasons.malformed.Inc(1)
			return
		}
		e.mu.Lock()
		e.act(e.flows.Missed(p, from, now), p, packet)
		e.mu.Unlock()
	}
}

// act does what a verdict says. The lock is held.
func (e *Entry) act(v flow.Verdict, p flow.Packet, packet []byte) {
	e.reasons.count(v)
	trace(e.opts.Log, &v, &p, e.placer.inputs)
	if v.KeepCopy && !e.kept.Put(p.Key, packet, e.now()) {
		e.reasons.overflow.Inc(1)
	}
	if v.UseCopy {
		if packet = e.kept.TakeOne(p.Key, e.now()); packet == nil {
			return
		}
	}
	switch v.Action {
	case flow.Send:
		e.toAgent(e.framed(&v.Frame, packet), v.To)
	case flow.SendAll:
		framed := e.framed(&v.Frame, packet)
		for _, to := range v.All {
			e.toAgent(framed, to)
		}
	case flow.Wait:
		if !e.waiting.Put(p.Key, packet, e.now()) {
			e.reasons.overflow.Inc(1)
		}
	case flow.Reset:
		e.buffer = e.opts.Codec.AppendReset(e.buffer[:0], p.Key, p.Ack)
		e.callers.sendReset(e.buffer, flow.Endpoint{IP: p.Key.Caller.IP, Port: e.opts.CallerPort})
	}
}

// toAgent sends a frame within the budget of the link. The lock is held.
func (e *Entry) toAgent(framed []byte, to flow.Endpoint) {
	e.flows.CountTraffic(len(framed), e.now())
	e.agents.sendFrame(framed, to)
}

func (e *Entry) framed(f *flow.Frame, packet []byte) []byte {
	e.buffer = append(f.Append(e.buffer[:0]), packet...)
	return e.buffer
}
