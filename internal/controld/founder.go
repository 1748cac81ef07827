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
func (s *founderSelector) enable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enabled = true
}

// isFounder reports whether a joining host has to bootstrap the groups.
func (s *founderSelector) isFounder(v seedHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enabled {
		return false
	}
	if s.founder == nil {
		s.founder = &v
	}
	return s.founder.name == v.name
}

// disable ends the selection: the deployment exists.
func (s *founderSelector) disable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enabled = false
}

// designated returns the founder, nil if this host has selected none.
func (s *founderSelector) designated() *seedHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.founder
}
