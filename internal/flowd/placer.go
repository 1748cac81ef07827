package flowd

import (
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
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
	"eelgrasswharf.example/eelgrasswharf/placement"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

const (
	// rampMS is the length of the slow start of a new target in milliseconds: backend
	// servers are slow for some seconds after a start.
	rampMS = 3000
	// maxRegistrars bounds the registrars, preferred agents or coordinators of a flow: two of
	// each service, or eight.
	maxRegistrars = 16
	// maxRedraws bounds the attempts to choose a target other than the one to avoid.
	maxRedraws = 4
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
	history        placement.History
	// directory has the targets that take new flows, tables the table of each service.
	directory *targets.Directory
	tables    map[uint32]*routing.Table
	// agents has the agents of all targets, including evacuated ones, which keep their
	// flows.
	agents agentSet
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

// newPlacer returns a placer of flows that are at most maxFlowAge old.
func newPlacer(log *zap.Logger, scope tally.Scope, maxFlowAge time.Duration) *placer {
	loadAge := scope.Histogram("load_age_seconds", metrics.DurationBuckets)
	return &placer{
		log:       log,
		loadAge:   loadAge,
		startedAt: time.Now(),
		loads:     routing.NewLoadReports(nil, nil),
		routes:    map[flow.Endpoint]*placement.Route{},
		history:   placement.NewHistory(maxFlowAge),
		tables:    map[uint32]*routing.Table{},
		agents:    newAgentSet(),
	}
}

// apply activates a view. now is the time on the clock of the flow table.
func (p *placer) apply(v *subscriber.View, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.view
	if previous == nil {
		previous = &subscriber.View{}
	}
	p.view, p.viewReceivedAt = v, time.Now()
	if table := v.Config.GetTable(); table != nil && table != p.table {
		p.applyRoutes(v.Config)
	}
	p.applyTargets(previous, v, now)
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
	p.history.Observe(p.table.GetHistory(), time.Since(p.startedAt))
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
	former := placement.Former{Services: r.GetFormerServices(), Omitted: r.GetFormerServicesOmitted()}
	return placement.NewRoute(services, former, previous)
}

func (p *placer) applyTargets(previous, v *subscriber.View, now time.Duration) {
	if p.agents.len() == 0 && !p.discovered {
		p.firstTargetsAt = p.viewReceivedAt
	}
	change := p.agents.apply(targets.Diff(previous.Targets, v.Targets))
	if len(change.added)+len(change.removed) > 0 {
		p.agentsChangedAt = p.viewReceivedAt
	}
	for _, record := range change.invalid {
		p.log.Error("target skipped", zap.String("target", record.GetName()), zap.String("address", record.GetAddress()))
	}
	p.directory = targets.New(p.directory, v.AvailableTargets(), now, anyAddress)
	p.loads = p.directory.Loads()
	for number := range p.tables {
		if p.directory.Len(number) == 0 {
			delete(p.tables, number)
		}
	}
	for _, number := range p.directory.Services() {
		if p.tables[number] == nil || p.directory.Changed(number) {
			p.tables[number] = p.directory.Table(policy, number, now)
		}
	}
}

// anyAddress accepts all addresses that can be decoded.
func anyAddress(netip.AddrPort) bool { return true }

var policy = &configpb.Policy{RampMs: rampMS}

// refresh updates the tables with target ages and loads.
func (p *placer) refresh(now time.Duration, decay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if decay {
		p.loads.Decay()
	}
	for number, table := range p.tables {
		next, ok := table.Refresh(now)
		if !ok {
			next = p.directory.Table(policy, number, now)
		}
		p.tables[number] = next
	}
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
	for number, list := range p.agents.services {
		if !r.RoutesTo(number) {
			continue
		}
		if p.directory.Len(number) > 0 {
			return false
		}
		found = found || len(list.agents) > 0
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

// candidate chooses a target of one service, other than avoid if possible. The lock is
// held.
func (p *placer) candidate(s placement.WeightedService, key flow.Key, avoid flow.Endpoint, now time.Duration) (placement.Candidate, bool) {
	table := p.tables[s.Service]
	if table == nil {
		return placement.Candidate{}, false
	}
	var candidate placement.Candidate
	ranking := key.Ranking()
	rank := func(ip [4]byte, port uint16) uint64 { return ranking.Rank(flow.Endpoint{IP: ip, Port: port}) }
	for attempt := range maxRedraws {
		c, ok := table.ChooseRanked(rank, attempt, key.Hash(uint64(attempt)+uint64(now)), now)
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
func (p *placer) Holders(to []flow.Endpoint, public flow.Endpoint, limit int) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[public]
	if r == nil || p.view == nil {
		return to
	}
	historyKnown := p.historyKnown()
	for number, list := range p.agents.services {
		if r.MayHold(number, historyKnown) {
			to = append(to, list.agents[:min(len(list.agents), limit-len(to))]...)
		}
	}
	return to
}

// historyKnown reports whether routes list the services that may hold their flows. The lock is
// held.
func (p *placer) historyKnown() bool { return p.history.Known(time.Since(p.startedAt)) }

// HeldElsewhere implements flow.Placer.
func (p *placer) HeldElsewhere(public flow.Endpoint, denied []flow.Endpoint, heldByNone []flow.ServiceDenial) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[public]
	if r == nil || p.view == nil || !p.complete() {
		return true
	}
	asked, historyKnown := false, p.historyKnown()
	for number, list := range p.agents.services {
		if !r.MayHold(number, historyKnown) {
			continue
		}
		allDenied := slices.Contains(heldByNone, flow.ServiceDenial{Service: number, Digest: list.digest})
		if !allDenied && !list.allIn(denied) {
			return true
		}
		asked = true
	}
	return !asked
}

// Registrars implements flow.Placer.
func (p *placer) Registrars(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return p.appendFromServices(to, key, false, flow.AppendRegistrars)
}

// appendFromServices appends the agents picked for a flow from each service that its route
// is known to have had. With includeAll, those of all services that may hold the flow.
func (p *placer) appendFromServices(to []flow.Endpoint, key flow.Key, includeAll bool, pick func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint) []flow.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[key.Public]
	if r == nil {
		return to
	}
	historyKnown := p.historyKnown()
	for number, list := range p.agents.services {
		included := r.EverHad(number) || includeAll && r.MayHold(number, historyKnown)
		if included && len(to) < maxRegistrars {
			to = pick(to, key, list.agents)
		}
	}
	return to
}

// Preferred implements flow.Placer.
func (p *placer) Preferred(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	return p.appendFromServices(to, key, false, flow.AppendPreferred)
}

// Coordinators implements flow.Placer.
func (p *placer) Coordinators(to []flow.Endpoint, key flow.Key, turn int) []flow.Endpoint {
	return p.appendFromServices(to, key, true, func(to []flow.Endpoint, key flow.Key, list []flow.Endpoint) []flow.Endpoint {
		return flow.AppendCoordinators(to, key, turn, list)
	})
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
	return p.agents.has(agent), p.complete()
}

// ready reports whether there are routes, and targets to place flows on.
func (p *placer) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canPlace() && (p.view.DirectoryComplete || len(p.view.Targets) > 0)
}
