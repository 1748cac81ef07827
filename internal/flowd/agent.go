package flowd

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/incarnation"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

const (
	// sweepPeriod is the time between two sweeps of the flow table and updates of its
	// size.
	sweepPeriod = 250 * time.Millisecond
	// admitPeriod is the time between two checks of queued openings. An admitted flow
	// without a request stops counting after 50 ms.
	admitPeriod = 20 * time.Millisecond
	// minAdmitPeriod bounds the checks a second when many openings reach their limits one
	// after the other.
	minAdmitPeriod = time.Millisecond
	// loadReportInterval is the minimum time between two load reports to one entry host.
	// Placement ignores reports older than a second.
	loadReportInterval = 250 * time.Millisecond
	// peerReportInterval is the minimum time between two load reports to an agent that hands
	// openings on: several of them arrive between two reports to entry hosts.
	peerReportInterval = 20 * time.Millisecond
	// missedReports is the number of report periods without a report after which the
	// backend server counts as unhealthy.
	missedReports = 2.5
	// stopReports is the number of report periods without a report after which a notice of
	// a backend server that it stops is confirmed.
	stopReports = 1.5
	// lastCallTimeout bounds the last call of an agent that stops. It leaves time to exit
	// before a supervisor kills the process.
	lastCallTimeout = 500 * time.Millisecond
	// rewarmMargin is how much later the reported end of the warmup has to be to count as
	// a new cold start. It covers the delay of reports.
	rewarmMargin = time.Second
	// maxConfigAge is how old the proof may be that the idle timeout is that of the newest
	// configuration: a little more than a change takes until it is in force.
	maxConfigAge = 5 * time.Second
	// maxReportedEntries bounds the entry hosts whose last load report is remembered.
	maxReportedEntries = 4096
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	Codec Codec
	Log   *zap.Logger
	Scope tally.Scope
	Creds *keys.Credentials
	// Service, Target and FailureDomain are the names for the target's registration.
	Service, Target, FailureDomain string
	// Control has the link addresses (ip:port) of control hosts.
	Control []string
	// FrameListen is the address (ip:port) for frames of entry hosts and other agents,
	// TargetListen that for packets of the backend server. Server is the backend
	// server's address for packets.
	FrameListen, TargetListen, Server string
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// ReportPeriod is the time between two reports of the backend server.
	ReportPeriod time.Duration
	// Warmup is how far the configured warmup rate may be exceeded.
	Warmup WarmupMargin
	Limits Limits
}

// WarmupMargin is how far the configured request rate of a warming backend server may be
// exceeded: by a factor, and by an additional number of requests a second.
type WarmupMargin struct {
	Overshoot, Slack float64
}

// Agent forwards packets between a backend server, entry hosts and callers.
type Agent struct {
	opts      AgentOptions
	startedAt time.Time
	service   uint64
	server    flow.Endpoint
	frames    *socket
	targets   *socket
	counters  *counters
	latency   latency
	waiting   waitingMetrics
	client    *link.Client
	// ctx ends when the agent stops.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu    sync.Mutex
	flows *flow.Agent
	// queued has the packets of queued openings and requests, admitScheduled is set while the next
	// check of them is scheduled.
	queued         flow.WaitingPackets
	admitScheduled bool
	// lookupPackets has the packets of flows that are looked up, queryScheduled is set
	// while a round of queries is scheduled.
	lookupPackets  flow.PacketBuffer
	queryScheduled bool
	tracker        incarnation.Tracker
	lastSeen       time.Time
	unhealthy      bool
	// stopSaidAt is when the backend server said that it stops, if that is not confirmed.
	stopSaidAt time.Time
	// evicting: flows were evicted for room since the last but one sweep.
	evicting bool
	// evacuated: the own failure domain takes no new flows.
	evacuated bool
	// idleTimeout and warmup are the configuration of the service, valid if configKnown. warmUntil is
	// when the backend server expects to be warm.
	idleTimeout flow.IdleTimeout
	warmup      *configpb.Warmup
	configKnown bool
	warmUntil   time.Duration
	// routes is the last route table, nil without one, classes are what its routes state.
	routes    *configpb.RouteTable
	classes   flow.Classes
	announcer *subscriber.Announcer
	// stoppedTarget is the announcer of the last stopped target, nil once it is
	// unregistered.
	stoppedTarget *subscriber.Announcer
	// subscription follows the targets of the service serviceNumber, nil until it is known.
	// applied is its last view, serviceAgents and forwardTo have the agents of that view:
	// all, and those of the targets that take new flows without the own one.
	subscription             *subscriber.Subscriber
	serviceNumber            uint32
	applied                  *subscriber.View
	serviceAgents, forwardTo agentSet
	// loadReportedAt is when the load was last reported to each entry host.
	loadReportedAt map[flow.Endpoint]time.Duration
	// buffer is scratch space for frames and resets.
	buffer  []byte
	workers conc.WaitGroup
}

// NewAgent opens the sockets and a link to a control host. Run has to be called to receive
// anything.
func NewAgent(o AgentOptions) (*Agent, error) {
	server, err := parseEndpoint(o.Server)
	if err != nil {
		return nil, err
	}
	scope := o.Scope.SubScope("flow_agent")
	frames, err := listen(o.FrameListen, "entry", o.Log, scope)
	if err != nil {
		return nil, err
	}
	targets, err := listen(o.TargetListen, "target", o.Log, scope)
	if err != nil {
		_ = frames.conn.Close()
		return nil, err
	}
	a := &Agent{
		opts:           o,
		startedAt:      time.Now(),
		service:        flow.ServiceHash(o.Service),
		server:         server,
		frames:         frames,
		targets:        targets,
		counters:       newCounters(scope),
		latency:        newLatency(scope),
		waiting:        newWaitingMetrics(scope),
		loadReportedAt: map[flow.Endpoint]time.Duration{},
		buffer:         make([]byte, 0, maxDatagram),
		applied:        &subscriber.View{},
		idleTimeout:    flow.NewIdleTimeout(o.Limits.Idle, o.Limits.Age),
		serviceAgents:  newAgentSet(),
		forwardTo:      newAgentSet(),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.client = link.NewClient(o.Control, o.Creds, linkOptions(o.Log, o.Scope))
	a.flows = flow.NewAgent(0)
	a.flows.SetServer(flow.Server{Service: a.service})
	return a, nil
}

// SetControl replaces the link addresses of the control hosts.
func (a *Agent) SetControl(addresses []string) { a.client.SetAddresses(addresses) }

// Run forwards packets until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.leave)
	defer stop()
	ctx = a.ctx
	a.workers.Go(func() { a.frames.serve(ctx, a.handleFrame) })
	a.workers.Go(func() { a.targets.serve(ctx, a.handleTargetPacket) })
	a.workers.Go(func() { a.maintain(ctx) })
	<-ctx.Done()
	a.workers.Wait()
	a.stop()
	return nil
}

// leave hands on the queued openings and stops. The agent takes no opening from then on.
func (a *Agent) leave() {
	a.mu.Lock()
	s := a.flows.Server()
	if s.State == flow.Serving {
		s.State = flow.Draining
		a.flows.SetServer(s)
	}
	a.admit(a.now())
	a.mu.Unlock()
	a.cancel()
}

func (a *Agent) stop() {
	a.unregisterLeaving()
	a.mu.Lock()
	announcer, subscription := a.announcer, a.subscription
	a.mu.Unlock()
	if announcer != nil {
		announcer.Close()
	}
	if subscription != nil {
		subscription.Close()
	}
	a.client.Close()
}

// unregisterLeaving removes the registration of a backend server that has stopped, or has
// said so. Nobody would do it later, and each control host that starts waits a lease for a
// target that is registered and does not announce itself.
func (a *Agent) unregisterLeaving() {
	a.mu.Lock()
	a.confirmStop()
	stopped := a.stoppedTarget
	a.mu.Unlock()
	if stopped == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastCallTimeout)
	defer cancel()
	a.unregisterStopped(ctx, stopped)
}

func (a *Agent) now() time.Duration { return time.Since(a.startedAt) }

// maintain sweeps the table, registers flows and detects an unresponsive backend server.
func (a *Agent) maintain(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	timeout := time.Duration(missedReports * float64(a.opts.ReportPeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.sweepFlows(a.now())
		unresponsive := !a.lastSeen.IsZero() && time.Since(a.lastSeen) > timeout
		if unresponsive && !a.unhealthy {
			a.unhealthy = true
			a.tracker.MarkUnresponsive()
			a.opts.Log.Info("backend server stopped reporting", zap.Duration("for", time.Since(a.lastSeen)))
			a.refresh()
		}
		if time.Since(a.stopSaidAt) > time.Duration(stopReports*float64(a.opts.ReportPeriod)) {
			a.confirmStop()
		}
		a.lookupPackets.Sweep(a.now())
		a.queued.KeepOnly(a.flows.Queues)
		for _, r := range a.flows.DueRegistrations(a.now()) {
			a.buffer = a.flows.AppendRegister(a.buffer[:0], r.Keys)
			a.frames.sendFrame(a.buffer, r.To)
		}
		count := a.flows.Len()
		a.mu.Unlock()
		a.counters.flows.Update(float64(count))
	}
}

// sweepFlows removes the flows that may be discarded. The lock is held.
func (a *Agent) sweepFlows(now time.Duration) {
	a.flows.SetIdleTimeout(a.idleTimeout.Configured(now))
	a.flows.Sweep(now, a.idleTimeout.Keep(now, a.configConfirmed()), a.opts.Limits.Age)
	evicted := a.flows.TakeEvicted()
	a.counters.evicted.Inc(int64(evicted))
	if full := evicted > 0; full != a.evicting {
		a.evicting = full
		a.opts.Log.Warn("flow table state changed", zap.Bool("evicting", full), zap.Int("flows", a.flows.Len()))
	}
}

// configConfirmed reports whether the configuration is known to have been the newest lately. The
// lock is held.
func (a *Agent) configConfirmed() bool {
	if a.subscription == nil {
		return false
	}
	age, known := a.subscription.ConfirmedAge()
	return known && age <= maxConfigAge
}
