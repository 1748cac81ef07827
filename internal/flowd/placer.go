package flowd

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/placement"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

const (
	// rampMS is the length of the slow start of a new target in milliseconds.
	rampMS = 3000
	// maxHolders bounds the agents that may hold an unknown flow.
	maxHolders = 16_384
	// maxRegistrars bounds the registrars or coordinators of a flow, two of each service.
	maxRegistrars = 16
	// maxRedraws bounds the attempts to choose a target other than the one to avoid.
	maxRedraws = 4
	// completeAfter is how long the list of agents has to stay unchanged to count as
	// complete if the control host does not report it as complete. Agents that start
	// together register within a second.
	completeAfter = 2 * time.Second
	// discoveryTime is how long a host that has just started waits for more targets
	// before it places flows: longer than control hosts take to propagate targets, and
	// shorter than callers wait before they retransmit an opening.
	discoveryTime = 180 * time.Millisecond
	// historyUnknownFor is how long after its start an entry host considers all agents
	// possible holders: it does not know to which services a route led before.
	historyUnknownFor = 60 * time.Second
)

// placer chooses targets from the latest view. It is safe for concurrent use.
type placer struct {
	log       *zap.Logger
	startedAt time.Time

	mu             sync.Mutex
	view           *subscriber.View
	viewReceivedAt time.Time
	table          *configpb.RouteTable
	routes         map[flow.Endpoint]*placement.Route
	targets        map[uint32]*serviceTargets
	// agents has the agents of all targets of the view, known has them as a set.
	agents []flow.Endpoint
	known  map[flow.Endpoint]bool
	loads  *routing.LoadReports
	// firstTargetsAt is when the first targets were known, discovered is set when the
	// wait for more is over.
	firstTargetsAt time.Time
	discovered     bool
	// agentsChangedAt is when an agent was last added or removed.
	agentsChangedAt time.Time
	// loadAge is the age of the load reports that flows are placed by.
	loadAge tally.Histogram
}

// serviceTargets are the targets of one service.
type serviceTargets struct {
	// list has the targets for new flows, viewIndex the index of each in the view.
	list      []routing.Target
	viewIndex []int
	// agents has the agents of all targets, including evacuated ones, which keep their
	// flows.
	agents []flow.Endpoint
	table  *routing.Table
}

func newPlacer(log *zap.Logger, scope tally.Scope) *placer {
	loadAge := scope.Histogram("load_age_seconds", metrics.DurationBuckets)
	return &placer{log: log, loadAge: loadAge, startedAt: time.Now(), loads: routing.NewLoadReports(nil, nil), routes: map[flow.Endpoint]*placement.Route{}, targets: map[uint32]*serviceTargets{}}
}

// apply activates a view. now is the time on the clock of the flow table.
func (p *placer) apply(v *subscriber.View, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.viewReceivedAt = v, time.Now()
	if table := v.Config.GetTable(); table != nil && table != p.table {
		p.applyRoutes(v.Config)
	}
	p.applyTargets(v, now)
}

func (p *placer) applyRoutes(c *configpb.Configuration) {
	numbers := make(map[string]uint32, len(c.GetServices()))
	for _, s := range c.GetServices() {
		numbers[s.GetName()] = s.GetNumber()
	}
	next := make(map[flow.Endpoint]*placement.Route, len(c.GetTable().GetRoutes()))
	for _, r := range c.GetTable().GetRoutes() {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			p.log.Error("route skipped", zap.String("route", r.GetName()), zap.Error(err))
			continue
		}
		key := flow.EndpointOf(address)
		next[key] = routeFrom(r, numbers, p.routes[key])
	}
	p.routes, p.table = next, c.GetTable()
	p.log.Info("routes applied",
		zap.Uint64("revision", p.table.GetRevision()), zap.Uint64("version", c.GetVersion()), zap.Int("routes", len(next)))
}

func routeFrom(r *configpb.Route, numbers map[string]uint32, previous *placement.Route) *placement.Route {
	services := make([]placement.WeightedService, 0, len(r.GetServices()))
	for _, s := range r.GetServices() {
		services = append(services, placement.WeightedService{
			Service: numbers[s.GetService()],
			Hash:    flow.ServiceHash(s.GetService()),
			Weight:  uint64(s.GetWeight()),
		})
	}
	return placement.NewRoute(services, previous)
}

func (p *placer) applyTargets(v *subscriber.View, now time.Duration) {
	lists := map[uint32]*serviceTargets{}
	all := make([]routing.Target, 0, len(v.Targets))
	p.agents = p.agents[:0]
	previous := p.known
	p.known = make(map[flow.Endpoint]bool, len(v.Targets))
	for i, record := range v.Targets {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			p.log.Error("target skipped", zap.String("target", record.GetName()), zap.Error(err))
			continue
		}
		t.Age = v.Age(i, p.viewReceivedAt)
		st := lists[t.Service]
		if st == nil {
			st = &serviceTargets{}
			lists[t.Service] = st
		}
		if !v.Evacuated(record) {
			st.list = append(st.list, t)
			st.viewIndex = append(st.viewIndex, i)
		}
		all = append(all, t)
		agent := flow.EndpointOf(t.Address)
		st.agents = append(st.agents, agent)
		p.agents = append(p.agents, agent)
		p.known[agent] = true
	}
	if len(previous) == 0 && !p.discovered {
		p.firstTargetsAt = p.viewReceivedAt
	}
	if !maps.Equal(previous, p.known) {
		p.agentsChangedAt = p.viewReceivedAt
	}
	p.loads = routing.NewLoadReports(p.loads, all)
	p.targets = lists
	p.rebuild(now)
}

var policy = &configpb.Policy{RampMs: rampMS}

// rebuild recreates the routing tables. The lock is held.
func (p *placer) rebuild(now time.Duration) {
	for number, st := range p.targets {
		st.table = routing.NewTable(policy, number, st.list, p.loads, now)
	}
}

// refresh updates target ages and loads.
func (p *placer) refresh(now time.Duration, decay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return
	}
	wall := time.Now()
	for _, st := range p.targets {
		for i := range st.list {
			st.list[i].Age = p.view.Age(st.viewIndex[i], wall)
		}
	}
	if decay {
		p.loads.Decay()
	}
	p.rebuild(now)
}

// updateLoad applies the load report in a frame.
func (p *placer) updateLoad(m flow.Frame, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.Record(m.Number, m.Incarnation, routing.Report{Load: m.LoadPermille, Draining: m.Draining, Unhealthy: m.Unhealthy}, now)
}

// Place implements flow.Placer.
func (p *placer) Place(key flow.Key, avoid flow.Endpoint, now time.Duration) (flow.Placement, flow.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.canPlace() {
		return flow.Placement{}, flow.ReasonNotReady
	}
	r := p.routes[key.Public]
	if r == nil {
		return flow.Placement{}, flow.ReasonNoRoute
	}
	placed, reason := r.Choose(key.Hash(p.table.GetRevision()), func(s placement.WeightedService) (placement.Candidate, bool) {
		return p.candidate(s, key, avoid, now)
	})
	if reason != flow.ReasonNoTarget {
		return placed, reason
	}
	if !p.view.DirectoryComplete {
		// The control host and the agents may have just started: the caller
		// retransmits the packet before it gives up.
		return flow.Placement{}, flow.ReasonNotReady
	}
	if p.allEvacuated(r) {
		return flow.Placement{}, flow.ReasonEvacuated
	}
	return flow.Placement{}, flow.ReasonNoTarget
}

// allEvacuated reports whether a route has targets, but all in evacuated failure domains.
// The lock is held.
func (p *placer) allEvacuated(r *placement.Route) bool {
	found := false
	for number, st := range p.targets {
		if !r.RoutesTo(number) {
			continue
		}
		if len(st.list) > 0 {
			return false
		}
		found = found || len(st.agents) > 0
	}
	return found
}

// Ready implements flow.Placer.
func (p *placer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canPlace()
}

// canPlace reports whether routes and targets are known. The lock is held.
func (p *placer) canPlace() bool {
	return p.table != nil && p.view != nil && !p.discovering()
}

// discovering reports whether this host has just started and may not know all targets yet.
// Flows would all be placed on the first few that are known.
func (p *placer) discovering() bool {
	if p.view.DirectoryComplete || p.discovered {
		return false
	}
	p.discovered = len(p.known) > 0 && time.Since(p.firstTargetsAt) >= discoveryTime
	return !p.discovered
}

// candidate chooses a target of one service, other than avoid if possible. The lock is
// held.
func (p *placer) candidate(s placement.WeightedService, key flow.Key, avoid flow.Endpoint, now time.Duration) (placement.Candidate, bool) {
	st := p.targets[s.Service]
	if st == nil {
		return placement.Candidate{}, false
	}
	var candidate placement.Candidate
	for salt := range uint64(maxRedraws) {
		c, ok := st.table.Choose(key.Hash(salt+uint64(now)), now)
		if !ok || c.Reason == routing.LastResort {
			return placement.Candidate{}, false
		}
		candidate = p.newCandidate(s, c, now)
		if candidate.Placement.Agent != avoid {
			break
		}
	}
	return candidate, true
}

func (p *placer) newCandidate(s placement.WeightedService, c routing.Choice, now time.Duration) placement.Candidate {
	number, incarnation := c.Target.Number, c.Target.Incarnation
	if age, known := p.loads.Age(number, incarnation, now); known {
		p.loadAge.RecordDuration(age)
	}
	report, _ := p.loads.Latest(number, incarnation, now)
	placed := flow.Placement{Agent: flow.EndpointOf(c.Target.Address), Service: s.Hash}
	if c.Alternate.IsValid() {
		placed.Alternate = flow.EndpointOf(c.Alternate)
	}
	return placement.Candidate{Placement: placed, Load: report.Load}
}

// Holders implements flow.Placer.
func (p *placer) Holders(to []flow.Endpoint, public flow.Endpoint) ([]flow.Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[public]
	if r == nil || p.view == nil {
		return to, false
	}
	all := p.complete()
	if time.Since(p.startedAt) < historyUnknownFor {
		return append(to, p.agents[:min(len(p.agents), maxHolders)]...), all && len(p.agents) <= maxHolders
	}
	for number, st := range p.targets {
		if !r.EverHad(number) {
			continue
		}
		room := maxHolders - len(to)
		if len(st.agents) > room {
			return append(to, st.agents[:room]...), false
		}
		to = append(to, st.agents...)
	}
	return to, all
}

// Registrars implements flow.Placer.
func (p *placer) Registrars(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return p.appendFromServices(to, key, false, flow.AppendRegistrars)
}

// appendFromServices appends the agents picked for a flow from each service that its route
// has or has had. With includeFormer, a host that has just started includes all services,
// since it does not know the earlier ones.
func (p *placer) appendFromServices(to []flow.Endpoint, key flow.Key, includeFormer bool, pick func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[key.Public]
	if r == nil {
		return to
	}
	historyUnknown := includeFormer && time.Since(p.startedAt) < historyUnknownFor
	for number, st := range p.targets {
		if (historyUnknown || r.EverHad(number)) && len(to) < maxRegistrars {
			to = pick(to, key, st.agents)
		}
	}
	return to
}

// Coordinators implements flow.Placer.
func (p *placer) Coordinators(to []flow.Endpoint, key flow.Key, turn int) []flow.Endpoint {
	return p.appendFromServices(to, key, true, func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint {
		return flow.AppendCoordinators(to, key, turn, list)
	})
}

// ServiceAgents implements flow.Placer.
func (p *placer) ServiceAgents(to []flow.Endpoint, agent flow.Endpoint) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range p.targets {
		if slices.Contains(st.agents, agent) {
			return append(to, st.agents...)
		}
	}
	return to
}

// decisionInputs returns the state behind a verdict for the log.
func (p *placer) decisionInputs() []zap.Field {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return []zap.Field{zap.Bool("view", false)}
	}
	return []zap.Field{
		zap.Uint64("revision", p.table.GetRevision()),
		zap.Int("targets", len(p.view.Targets)),
		zap.Duration("view_age", time.Since(p.viewReceivedAt)),
		zap.Bool("complete", p.view.DirectoryComplete),
	}
}

// HasTarget implements flow.Placer.
func (p *placer) HasTarget(agent flow.Endpoint) (known, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[agent], p.complete()
}

// complete reports whether the list of targets is complete. The lock is held.
func (p *placer) complete() bool {
	return p.view.Connected && (p.view.DirectoryComplete || time.Since(p.agentsChangedAt) > completeAfter)
}

// ready reports whether there are routes, and targets to place flows on.
func (p *placer) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canPlace() && (p.view.DirectoryComplete || len(p.view.Targets) > 0)
}
