package routing

import (
	"net/netip"
	"time"
)

// Target is a target as announced in the directory.
type Target struct {
	// Number is stable; Incarnation distinguishes restarts of the target.
	Number, Incarnation uint32
	// Service is the number of its service.
	Service uint32
	// Address is the frame address of its agent, IPv4.
	Address netip.AddrPort
	// Draining is set if it takes no new flows.
	Draining bool
	// Unhealthy is set if the agent considers the backend server unhealthy.
	Unhealthy bool
	// Damped is set if it flaps; it then counts as unhealthy.
	Damped bool
	// Age is the time since its cold start.
	Age time.Duration
}

// TargetRef identifies a target and the frame address of its agent.
type TargetRef struct {
	Number, Incarnation uint32
	Address             netip.AddrPort
}

// Choice is the result of choosing a target for a new flow.
type Choice struct {
	Target TargetRef
	// Alternate is the frame address of the other candidate, or zero.
	Alternate netip.AddrPort
	Reason    Reason
	// Probe is an unresponsive target that gets a copy of the packet, or zero. If both
	// targets answer, the caller uses the first Retry that it receives.
	Probe TargetRef
}

// Reason is how a target was chosen.
type Reason uint8

// Reasons of a choice.
const (
	// NoTarget means that the service has no target; nothing was chosen.
	NoTarget Reason = iota
	// OnlyCandidate means that there was one candidate.
	OnlyCandidate
	// ByHash means that the policy uses the hash strategy.
	ByHash
	// ByCost means that the chosen candidate has the lower cost or load.
	ByCost
	// EqualCost means that the costs were equal and the hash decided.
	EqualCost
	// Ramp means that the other candidate is on its ramp and was skipped in this draw.
	Ramp
	// Panic means that health was ignored because too many targets are unhealthy.
	Panic
	// LastResort means that all targets are draining; the agent has to forward the
	// flow.
	LastResort
	// Unresponsive means that an unresponsive candidate was replaced.
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
