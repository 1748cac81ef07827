// Package placement chooses the service of a route for a new flow.
//
// The choice follows the weights of the route by a hash of the flow, so that all hosts
// with the same route table choose the same service. A service is skipped if it has no
// target that can take the flow, or if its targets are full and another service of the
// route has capacity. A service of weight 0 never gets a new flow.
//
// The package has no clock and no locks. A Route is immutable.
package placement
