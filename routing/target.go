package routing

import (
	"net/netip"
	"time"
)

// Target is one target as the directory announced it.
type Target struct {
	// Number is stable, Incarnation tells the lives of the target apart.
	Number, Incarnation uint32
	// Service is the number of the service that the target answers for.
	Service uint32
	// Address is the frame address of its agent, IPv4.
	Address netip.AddrPort
	// Draining: it takes no new flows.
	Draining bool
	// Unhealthy: its agent holds the backend server to be ill.
	Unhealthy bool
	// Damped: it flaps, and counts as ill whatever its agent says.
	Damped bool
	// Age is the time since its cold start.
	Age time.Duration
}

// TargetRef names a chosen target.
type TargetRef struct {
	Number, Incarnation uint32
	Address             netip.AddrPort
}

// Choice is the decision on one new flow.
type Choice struct {
	Target TargetRef
	// Alternate is the frame address of the other candidate, or zero.
	Alternate netip.AddrPort
	Reason    Reason
	// Probe is a silent target that gets a copy of the packet, or zero. Should it
	// answer too, the caller acts on the first of the two Retries.
	Probe TargetRef
}

// Reason tells what decided a choice.
type Reason uint8

// Reasons of a choice.
const (
	// NoTarget: the service has no target at all; nothing was chosen.
	NoTarget Reason = iota
	// OnlyCandidate: there was one candidate.
	OnlyCandidate
	// ByHash: the policy is the hash baseline.
	ByHash
	// ByCost: the chosen candidate has the lower cost or load.
	ByCost
	// EqualCost: the candidates cost the same, the hash decided.
	EqualCost
	// Ramp: the other candidate is within its ramp and sat this draw out.
	Ramp
	// Panic: so many targets look ill that the signal is ignored.
	Panic
	// LastResort: all targets are draining, one of them has to pass it on.
	LastResort
	// Unresponsive: a drawn candidate has not answered for a while, and one that is
	// not silent was taken in its place.
	Unresponsive

	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason in the form used as a metric label.
func (r Reason) String() string {
	switch r {
	case NoTarget:
		return "no_target"
	case OnlyCandidate:
		return "only"
	case ByHash:
		return "hash"
	case ByCost:
		return "cost"
	case EqualCost:
		return "equal"
	case Ramp:
		return "ramp"
	case Panic:
		return "panic"
	case LastResort:
		return "last_resort"
	case Unresponsive:
		return "silent"
	default:
		return "invalid"
	}
}
