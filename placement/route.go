package placement

import "eelgrasswharf.example/eelgrasswharf/flow"

// overflowRatio is how many times higher the load of a full target has to be for overflow
// to another service: loads are up to 250 ms old, and bursts hit both services.
const overflowRatio = 2

// WeightedService is a service of a route.
type WeightedService struct {
	// Service is its number, Hash the hash of its name.
	Service uint32
	Hash    uint64
	Weight  uint64
}

// Route is a public address with its services.
type Route struct {
	services    []WeightedService
	totalWeight uint64
	// history has the numbers of all services that the route is known to have had. Open
	// flows stay with them.
	history map[uint32]bool
	// historyOmitted: the configuration does not list all former services.
	historyOmitted bool
}

// Former are the former services of a route that the configuration lists, by number.
type Former struct {
	Services []uint32
	// Omitted: there were too many to list.
	Omitted bool
}

// NewRoute returns a route with these services and former ones. previous is the earlier route
// of the address, nil if there was none.
func NewRoute(services []WeightedService, former Former, previous *Route) *Route {
	r := &Route{services: services, history: map[uint32]bool{}, historyOmitted: former.Omitted}
	for _, service := range former.Services {
		r.history[service] = true
	}
	if previous != nil {
		for service := range previous.history {
			r.history[service] = true
		}
	}
	for _, s := range services {
		r.history[s.Service] = true
		r.totalWeight += s.Weight
	}
	return r
}

// EverHad reports whether the route has or is known to have had a service.
func (r *Route) EverHad(service uint32) bool { return r.history[service] }

// MayHold reports whether targets of a service may hold flows of the route. historyKnown: routes
// list the former services that they have had.
func (r *Route) MayHold(service uint32, historyKnown bool) bool {
	return !historyKnown || r.historyOmitted || r.EverHad(service)
}

// RoutesTo reports whether new flows of the route may go to a service.
func (r *Route) RoutesTo(service uint32) bool {
	for _, s := range r.services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Candidate is a target that can take a flow.
type Candidate struct {
	Placement flow.Placement
	// Load of the target in thousandths of its slots.
	Load uint16
}

// Choose places a new flow by a uniformly distributed hash. candidateOf returns a target of
// a service that can take the flow, or false if it has none. The reason is ReasonNoTarget if
// no service has one.
func (r *Route) Choose(hash uint64, candidateOf func(WeightedService) (Candidate, bool)) (flow.Placement, flow.Reason) {
	best, reason := Candidate{}, flow.ReasonNoTarget
	first := r.pick(hash)
	for i := range r.services {
		s := r.services[(first+i)%len(r.services)]
		if s.Weight == 0 {
			continue
		}
		candidate, ok := candidateOf(s)
		switch {
		case !ok:
			continue
		case reason == flow.ReasonNoTarget:
			best, reason = candidate, flow.ReasonPlaced
		case overflows(best.Load, candidate.Load):
			best, reason = candidate, flow.ReasonOverflow
		}
		if best.Load < flow.SaturatedLoad {
			break
		}
	}
	return best.Placement, reason
}

// overflows reports whether a flow for a target at load to goes to another service with a
// target at load other. Loads are in thousandths of slots.
func overflows(to, other uint16) bool {
	return to >= flow.SaturatedLoad && uint32(other)*overflowRatio <= uint32(to)
}

// pick returns the index of the service that the weights select.
func (r *Route) pick(hash uint64) int {
	if r.totalWeight == 0 {
		return 0
	}
	rest := hash % r.totalWeight
	for i, s := range r.services {
		if rest < s.Weight {
			return i
		}
		rest -= s.Weight
	}
	return 0
}
