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
	// sweepPeriod is the time between two sweeps of an agent's table. It also
	// bounds the age of the count of its flows.
	sweepPeriod = 250 * time.Millisecond
	// admitPeriod is the time between two looks at openings that wait: flows that were
	// let in and bring no request count for 50 ms.
	admitPeriod = 20 * time.Millisecond
	// reportPause is the least time between two load figures to one entry host.
	// Placing uses none that is older than a second.
	reportPause = 250 * time.Millisecond
	// missedReports is after how many periods without a report from the backend
	// server it is told to be ill.
	missedReports = 2.5
	// againMargin is how much later than told before a backend server has to be warm to
	// count as slow anew: reports take time.
	againMargin = time.Second
	// newSequence is the highest sequence number of a first report by which the
	// backend server has just started: it counts calls, and calls again at once
	// while the agent does not listen yet.
	newSequence = 3
	// maxEntries bounds the entry hosts that are remembered for load figures.
	maxEntries = 4096
)

// AgentOptions configure an Agent.
type AgentOptions struct {
	Codec Codec
	Log   *zap.Logger
	Scope tally.Scope
	Creds *keys.Credentials
	// Service and Target name the target; FailureDomain is where it stands.
	Service, Target, FailureDomain string
	// Control has the link addresses (ip:port) of control hosts.
	Control []string
	// FrameListen is the address (ip:port) of frames from entry hosts and other
	// agents, TargetListen that of the packets of the backend server, and Server
	// where the backend server takes packets.
	FrameListen, TargetListen, Server string
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// ReportPeriod is the time between two reports of the backend server.
	ReportPeriod time.Duration
	// Warmup is how far a warming backend server may be loaded over what its service
	// states.
	Warmup WarmupMargin
	Limits Limits
}

// WarmupMargin is how far the requests of a warming backend server may go over those that
// its service states: by a factor, and by a number of requests a second beside it.
type WarmupMargin struct {
	Overshoot, Slack float64
}

// Agent carries packets between a backend server, entry hosts and callers.
type Agent struct {
	opts    AgentOptions
	began   time.Time
	service uint64
	server  flow.Endpoint
	frames  *socket
	targets *socket
	reasons *reasons
	latency latency
	client  *link.Client
	// ctx ends when the agent stops.
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below.
	mu    sync.Mutex
	flows *flow.Agent
	// queued has the openings that wait, admitting tells that they are looked at soon.
	queued    flow.PacketBuffer
	admitting bool
	// searched has packets whose flows this agent asks the others about, asking tells
	// that the next round of questions is due soon.
	searched flow.PacketBuffer
	asking   bool
	tracker  incarnation.Tracker
	heardAt  time.Time
	ill      bool
	// evacuated: the own failure domain takes no new flows.
	evacuated bool
	// warmup is what the service states of its targets' start, told that its configuration
	// is known. warmAt is when the backend server is warm by its own word.
	warmup    *configpb.Warmup
	told      bool
	warmAt    time.Duration
	announcer *subscriber.Announcer
	// following is the subscription to the service's targets, once its number is
	// known.
	following *subscriber.Subscriber
	reported  map[flow.Endpoint]time.Duration
	buffer    []byte
	workers   conc.WaitGroup
}

// NewAgent opens the sockets and a link to a control host. Nothing is read before
// Run, which has to follow.
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
		opts:     o,
		began:    time.Now(),
		service:  flow.ServiceHash(o.Service),
		server:   server,
		frames:   frames,
		targets:  targets,
		reasons:  newReasons(scope),
		latency:  newLatency(scope),
		reported: map[flow.Endpoint]time.Duration{},
		buffer:   make([]byte, 0, maxDatagram),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.client = link.NewClient(o.Control, o.Creds, linkOptions(o.Log, o.Scope))
	a.flows = flow.NewAgent(0)
	a.flows.SetServer(flow.Server{Service: a.service})
	return a, nil
}

// SetControl replaces the link addresses of the control hosts.
func (a *Agent) SetControl(addresses []string) { a.client.SetAddresses(addresses) }

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	ctx = a.ctx
	a.workers.Go(func() { a.frames.serve(ctx, a.fromPeer) })
	a.workers.Go(func() { a.targets.serve(ctx, a.fromTarget) })
	a.workers.Go(func() { a.keep(ctx) })
	<-ctx.Done()
	a.workers.Wait()
	a.stop()
	return nil
}

func (a *Agent) stop() {
	a.mu.Lock()
	announcer, following := a.announcer, a.following
	a.mu.Unlock()
	if announcer != nil {
		announcer.Close()
	}
	if following != nil {
		following.Close()
	}
	a.client.Close()
}

func (a *Agent) now() time.Duration { return time.Since(a.began) }

// keep sweeps the table and notices when the backend server falls silent.
func (a *Agent) keep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	patience := time.Duration(missedReports * float64(a.opts.ReportPeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		a.flows.Sweep(a.now(), a.opts.Limits.Idle, a.opts.Limits.Age)
		silent := !a.heardAt.IsZero() && time.Since(a.heardAt) > patience
		if silent && !a.ill {
			a.ill = true
			a.tracker.MarkUnresponsive()
			a.opts.Log.Info("backend server is silent", zap.Duration("for", time.Since(a.heardAt)))
			a.refresh()
		}
		a.searched.Sweep(a.now())
		for _, r := range a.flows.DueRegistrations(a.now()) {
			a.buffer = flow.AppendRegister(a.buffer[:0], r.Keys)
			a.frames.sendFrame(a.buffer, r.To)
		}
		count := a.flows.Len()
		a.mu.Unlock()
		a.reasons.flows.Update(float64(count))
	}
}
