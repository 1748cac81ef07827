package controld

import "sync"

// founderSelector selects the founder of a deployment in which no initial voter has a
// durable log: the first host with a durable log that asks to join. Only the first initial
// voter by name selects, once it knows all the others, so there is at most one founder. Its
// choice is kept until the founder's groups exist. Nothing is selected once the deployment
// exists.
type founderSelector struct {
	mu      sync.Mutex
	enabled bool
	founder *seedHost
}

// enable lets this host select the founder.
func (a *founderSelector) enable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enabled = true
}

// isFounder reports whether a joining host has to bootstrap the groups.
func (a *founderSelector) isFounder(v seedHost) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.enabled {
		return false
	}
	if a.founder == nil {
		a.founder = &v
	}
	return a.founder.name == v.name
}

// disable ends the selection: the deployment exists.
func (a *founderSelector) disable() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enabled = false
}

// designated returns the founder, nil if this host has selected none.
func (a *founderSelector) designated() *seedHost {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.founder
}
