package placement

// Services returns the services that new flows of the route may go to, in the order of the
// configuration.
func (r *Route) Services() []WeightedService {
	var out []WeightedService
	for _, s := range r.services {
		if s.Weight > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Select returns the service that the weights select for a new flow by a uniformly distributed
// hash, false if no service has a weight.
func (r *Route) Select(hash uint64) (WeightedService, bool) {
	if r.totalWeight == 0 {
		return WeightedService{}, false
	}
	return r.services[r.pick(hash)], true
}
