package flow

import "slices"

// ServiceDenial states that no target of a service holds a flow. It comes from an agent that has
// queried all agents of its list of that service, and says nothing of other services: while an
// address goes from one service to another, its agent is in the lists of both.
type ServiceDenial struct {
	// Service is the number of the service, 0 from agents of releases that do not name it.
	Service uint32
	// Digest identifies the list.
	Digest uint64
}

// recordServiceDenial records the latest denial of a service. It counts while the own list of
// that service has the same agents.
func (f *entryFlow) recordServiceDenial(c ServiceDenial) {
	i := slices.IndexFunc(f.heldByNone, func(earlier ServiceDenial) bool { return earlier.Service == c.Service })
	switch {
	case i >= 0:
		f.heldByNone[i] = c
	case len(f.heldByNone) < maxDenials:
		f.heldByNone = append(f.heldByNone, c)
	}
}
