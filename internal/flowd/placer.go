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
	// rampMS is how long a target that has just started gets fewer flows, in
	// milliseconds. Backend servers are slow for some seconds after a start.
	rampMS = 3000
	// maxHolders bounds the agents that may hold one unknown flow: all of the largest
	// deployment.
	maxHolders = 16_384
	// maxRegistrars bounds the agents that are asked first: two of each service.
	maxRegistrars = 16
	// redraws bounds the draws of a target other than one that did not answer.
	redraws = 4
	// settledAfter is how long the list of agents has to stay as it is in order to
	// count as whole, where the control host does not say so: agents that start
	// together register within a second.
	settledAfter = 2 * time.Second
	// gatherFor is how long a host that has just started waits for more targets
	// before it places flows: control hosts tell each other of targets within 50 ms,
	// and their subscribers within 100 ms more. A caller's next copy of an opening
	// comes after 200 ms.
	gatherFor = 180 * time.Millisecond
	// unfamiliarFor is how long after its start an entry host takes any agent for a
	// possible holder: a flow stays with its service when a route moves to another
	// one, and this host has not seen that.
	unfamiliarFor = 60 * time.Second
)

// placer chooses targets by the newest view. It is safe for concurrent use.
type placer struct {
	log   *zap.Logger
	began time.Time

	mu      sync.Mutex
	view    *subscriber.View
	viewAt  time.Time
	table   *configpb.RouteTable
	routes  map[flow.Endpoint]*placement.Route
	targets map[uint32]*serviceTargets
	// agents are those of all targets of the view.
	agents []flow.Endpoint
	known  map[flow.Endpoint]bool
	loads  *routing.LoadReports
	// firstAt is when the first targets were known, gathered that the wait for more
	// is over.
	firstAt  time.Time
	gathered bool
	// changedAt is when an agent came or went last.
	changedAt time.Time
	// loadAge is how old the load figures are by which flows are placed.
	loadAge tally.Histogram
}

// serviceTargets are the targets of one service.
type serviceTargets struct {
	// list has those that new flows may go to, index the place of each in the view.
	list  []routing.Target
	index []int
	// agents has the agents of all, also of those in evacuated failure domains, which keep
	// their open flows.
	agents []flow.Endpoint
	table  *routing.Table
}

func newPlacer(log *zap.Logger, scope tally.Scope) *placer {
	loadAge := scope.Histogram("load_age_seconds", metrics.DurationBuckets)
	return &placer{log: log, loadAge: loadAge, began: time.Now(), loads: routing.NewLoadReports(nil, nil), routes: map[flow.Endpoint]*placement.Route{}, targets: map[uint32]*serviceTargets{}}
}

// apply brings a view into force. now is the time on the flows' clock.
func (p *placer) apply(v *subscriber.View, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.viewAt = v, time.Now()
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
			p.log.Error("route left out", zap.String("route", r.GetName()), zap.Error(err))
			continue
		}
		key := flow.EndpointOf(address)
		next[key] = routeFrom(r, numbers, p.routes[key])
	}
	p.routes, p.table = next, c.GetTable()
	p.log.Info("routes in force",
		zap.Uint64("revision", p.table.GetRevision()), zap.Uint64("version", c.GetVersion()), zap.Int("routes", len(next)))
}

func routeFrom(r *configpb.Route, numbers map[string]uint32, before *placement.Route) *placement.Route {
	shares := make([]placement.WeightedService, 0, len(r.GetServices()))
	for _, s := range r.GetServices() {
		shares = append(shares, placement.WeightedService{
			Service: numbers[s.GetService()],
			Hash:    flow.ServiceHash(s.GetService()),
			Weight:  uint64(s.GetWeight()),
		})
	}
	return placement.NewRoute(shares, before)
}

func (p *placer) applyTargets(v *subscriber.View, now time.Duration) {
	lists := map[uint32]*serviceTargets{}
	all := make([]routing.Target, 0, len(v.Targets))
	p.agents = p.agents[:0]
	before := p.known
	p.known = make(map[flow.Endpoint]bool, len(v.Targets))
	for i, record := range v.Targets {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			p.log.Error("target left out", zap.String("target", record.GetName()), zap.Error(err))
			continue
		}
		t.Age = v.Age(i, p.viewAt)
		of := lists[t.Service]
		if of == nil {
			of = &serviceTargets{}
			lists[t.Service] = of
		}
		if !v.Evacuated(record) {
			of.list = append(of.list, t)
			of.index = append(of.index, i)
		}
		all = append(all, t)
		agent := flow.EndpointOf(t.Address)
		of.agents = append(of.agents, agent)
		p.agents = append(p.agents, agent)
		p.known[agent] = true
	}
	if len(before) == 0 && !p.gathered {
		p.firstAt = p.viewAt
	}
	if !maps.Equal(before, p.known) {
		p.changedAt = p.viewAt
	}
	p.loads = routing.NewLoadReports(p.loads, all)
	p.targets = lists
	p.rebuild(now)
}

var policy = &configpb.Policy{RampMs: rampMS}

// rebuild makes the tables anew. The lock is held.
func (p *placer) rebuild(now time.Duration) {
	for number, of := range p.targets {
		of.table = routing.NewTable(policy, number, of.list, p.loads, now)
	}
}

// refresh takes in ages and load figures.
func (p *placer) refresh(now time.Duration, decay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return
	}
	wall := time.Now()
	for _, of := range p.targets {
		for i := range of.list {
			of.list[i].Age = p.view.Age(of.index[i], wall)
		}
	}
	if decay {
		p.loads.Decay()
	}
	p.rebuild(now)
}

// learn takes in what an agent says of the load of its target.
func (p *placer) learn(m flow.Frame, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.Record(m.Number, m.Incarnation, routing.Report{Load: m.LoadPermille, Draining: m.Draining, Unhealthy: m.Unhealthy}, now)
}

// Place implements flow.Placer.
func (p *placer) Place(key flow.Key, avoid flow.Endpoint, now time.Duration) (flow.Placement, flow.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.decides() {
		return flow.Placement{}, flow.ReasonNotReady
	}
	r := p.routes[key.Public]
	if r == nil {
		return flow.Placement{}, flow.ReasonNoRoute
	}
	placed, reason := r.Choose(key.Hash(p.table.GetRevision()), func(s placement.WeightedService) (placement.Candidate, bool) {
		return p.offer(s, key, avoid, now)
	})
	if reason != flow.ReasonNoTarget {
		return placed, reason
	}
	if !p.view.DirectoryComplete {
		// The control host has started a moment ago, and so may the agents have: the
		// caller sends its packet again by itself before it gives up.
		return flow.Placement{}, flow.ReasonNotReady
	}
	if p.evacuated(r) {
		return flow.Placement{}, flow.ReasonEvacuated
	}
	return flow.Placement{}, flow.ReasonNoTarget
}

// evacuated reports whether a route has targets, all of them in evacuated failure domains.
// The lock is held.
func (p *placer) evacuated(r *placement.Route) bool {
	found := false
	for number, of := range p.targets {
		if !r.RoutesTo(number) {
			continue
		}
		if len(of.list) > 0 {
			return false
		}
		found = found || len(of.agents) > 0
	}
	return found
}

// Ready implements flow.Placer.
func (p *placer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decides()
}

// decides reports whether routes and targets are known. The lock is held.
func (p *placer) decides() bool {
	return p.table != nil && p.view != nil && !p.gathering()
}

// gathering reports whether this host may know only the first few of targets that
// start with it. All flows would go to those, and long ones stay there.
func (p *placer) gathering() bool {
	if p.view.DirectoryComplete || p.gathered {
		return false
	}
	p.gathered = len(p.known) > 0 && time.Since(p.firstAt) >= gatherFor
	return !p.gathered
}

// offer chooses a target of one service, other than avoid if there is one. The lock is
// held.
func (p *placer) offer(s placement.WeightedService, key flow.Key, avoid flow.Endpoint, now time.Duration) (placement.Candidate, bool) {
	of := p.targets[s.Service]
	if of == nil {
		return placement.Candidate{}, false
	}
	var offer placement.Candidate
	for salt := range uint64(redraws) {
		c, ok := of.table.Choose(key.Hash(salt+uint64(now)), now)
		if !ok || c.Reason == routing.LastResort {
			return placement.Candidate{}, false
		}
		offer = p.offerOf(s, c, now)
		if offer.Placement.Agent != avoid {
			break
		}
	}
	return offer, true
}

func (p *placer) offerOf(s placement.WeightedService, c routing.Choice, now time.Duration) placement.Candidate {
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
	all := p.whole()
	if time.Since(p.began) < unfamiliarFor {
		return append(to, p.agents[:min(len(p.agents), maxHolders)]...), all && len(p.agents) <= maxHolders
	}
	for number, of := range p.targets {
		if !r.EverHad(number) {
			continue
		}
		room := maxHolders - len(to)
		if len(of.agents) > room {
			return append(to, of.agents[:room]...), false
		}
		to = append(to, of.agents...)
	}
	return to, all
}

// Registrars implements flow.Placer.
func (p *placer) Registrars(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return p.ofServices(to, key, false, flow.AppendRegistrars)
}

// ofServices appends the agents that are drawn for a flow from each service that its route
// leads or has led to. With former, a host that has started lately takes all services for
// such: it has not seen what routes were before.
func (p *placer) ofServices(to []flow.Endpoint, key flow.Key, former bool, draw func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[key.Public]
	if r == nil {
		return to
	}
	unfamiliar := former && time.Since(p.began) < unfamiliarFor
	for number, of := range p.targets {
		if (unfamiliar || r.EverHad(number)) && len(to) < maxRegistrars {
			to = draw(to, key, of.agents)
		}
	}
	return to
}

// Coordinators implements flow.Placer.
func (p *placer) Coordinators(to []flow.Endpoint, key flow.Key, turn int) []flow.Endpoint {
	return p.ofServices(to, key, true, func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint {
		return flow.AppendCoordinators(to, key, turn, list)
	})
}

// ServiceAgents implements flow.Placer.
func (p *placer) ServiceAgents(to []flow.Endpoint, agent flow.Endpoint) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, of := range p.targets {
		if slices.Contains(of.agents, agent) {
			return append(to, of.agents...)
		}
	}
	return to
}

// inputs are what decisions here rest on, for the log.
func (p *placer) inputs() []zap.Field {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return []zap.Field{zap.Bool("view", false)}
	}
	return []zap.Field{
		zap.Uint64("revision", p.table.GetRevision()),
		zap.Int("targets", len(p.view.Targets)),
		zap.Duration("view_age", time.Since(p.viewAt)),
		zap.Bool("whole", p.view.DirectoryComplete),
	}
}

// HasTarget implements flow.Placer.
func (p *placer) HasTarget(agent flow.Endpoint) (known, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[agent], p.whole()
}

// whole reports whether the list of targets has all that there are. The lock is held.
func (p *placer) whole() bool {
	return p.view.Connected && (p.view.DirectoryComplete || time.Since(p.changedAt) > settledAfter)
}

// ready reports whether there are routes and targets to place flows by.
func (p *placer) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decides() && (p.view.DirectoryComplete || len(p.view.Targets) > 0)
}
