package placement

import "eelgrasswharf.example/eelgrasswharf/flow"

// overflowRatio is how many times as loaded as a target of another service a full one has
// to be: load figures are up to 250 ms old, and a burst meets both services.
const overflowRatio = 2

// WeightedService is a service of a route.
type WeightedService struct {
	// Service is its number, Hash the hash of its name.
	Service uint32
	Hash    uint64
	Weight  uint64
}

// Route is a public address that new flows come to.
type Route struct {
	shares []WeightedService
	sum    uint64
	// had has the numbers of all services that the route has had so far: open flows stay
	// with them.
	had map[uint32]bool
}

// NewRoute returns a route with these services. Before is the route of the address until
// now, nil if there was none.
func NewRoute(shares []WeightedService, before *Route) *Route {
	r := &Route{shares: shares, had: map[uint32]bool{}}
	if before != nil {
		for service := range before.had {
			r.had[service] = true
		}
	}
	for _, s := range shares {
		r.had[s.Service] = true
		r.sum += s.Weight
	}
	return r
}

// EverHad reports whether the route has, or has had, a service.
func (r *Route) EverHad(service uint32) bool { return r.had[service] }

// RoutesTo reports whether new flows of the route may go to a service.
func (r *Route) RoutesTo(service uint32) bool {
	for _, s := range r.shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Candidate is a target of one service that would take a flow.
type Candidate struct {
	Placement flow.Placement
	// Load of the target in thousandths of its slots.
	Load uint16
}

// Choose decides on a new flow by a hash that is evenly spread. Offers returns the target
// of a service that would take it, or false. The reason is ReasonNoTarget if there is
// none.
func (r *Route) Choose(hash uint64, offers func(WeightedService) (Candidate, bool)) (flow.Placement, flow.Reason) {
	best, reason := Candidate{}, flow.ReasonNoTarget
	first := r.draw(hash)
	for i := range r.shares {
		s := r.shares[(first+i)%len(r.shares)]
		if s.Weight == 0 {
			continue
		}
		offer, ok := offers(s)
		switch {
		case !ok:
			continue
		case reason == flow.ReasonNoTarget:
			best, reason = offer, flow.ReasonPlaced
		case overflows(best.Load, offer.Load):
			best, reason = offer, flow.ReasonOverflow
		}
		if best.Load < flow.SaturatedLoad {
			break
		}
	}
	return best.Placement, reason
}

// overflows reports whether a flow that would go to a target goes to one of another
// service: new flows wait beside the first one. Loads are in thousandths of slots.
func overflows(to, other uint16) bool {
	return to >= flow.SaturatedLoad && uint32(other)*overflowRatio <= uint32(to)
}

// draw returns the index of the service that the weights give.
func (r *Route) draw(hash uint64) int {
	if r.sum == 0 {
		return 0
	}
	left := hash % r.sum
	for i, s := range r.shares {
		if left < s.Weight {
			return i
		}
		left -= s.Weight
	}
	return 0
}
