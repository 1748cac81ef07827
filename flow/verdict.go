package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/waitqueue"
)

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop the packet.
	Drop Action = iota
	// Send the packet to one agent.
	Send
	// SendAll sends the packet to several agents.
	SendAll
	// Reset the flow at the caller: it is gone or was never opened.
	Reset
	// Deliver the packet to the own target.
	Deliver
	// Return the packet to the entry host.
	Return
	// Reply sends the target's packet to the caller.
	Reply
	// Deny reports to the entry host that the target does not hold the flow.
	Deny
	// Wait buffers the packet: on an entry host until it is ready or has caught up after a
	// stall, at an agent until its target can take the flow.
	Wait
)

// Reason is why an action was chosen.
type Reason string

// Reasons.
const (
	ReasonPlaced          Reason = "placed"
	ReasonPlacedAgain     Reason = "placed_anew"
	ReasonKnown           Reason = "known"
	ReasonUnknown         Reason = "unknown_flow"
	ReasonNotReady        Reason = "not_ready"
	ReasonNoRoute         Reason = "no_route"
	ReasonNoTarget        Reason = "no_target"
	ReasonSearchLimit     Reason = "searches_spent"
	ReasonTableFull       Reason = "table_full"
	ReasonHeld            Reason = "held"
	ReasonUncertain       Reason = "uncertain"
	ReasonOpenedElsewhere Reason = "opened_elsewhere"
	ReasonNotHeld         Reason = "not_held"
	ReasonOtherService    Reason = "other_service"
	ReasonDraining        Reason = "leaving"
	ReasonEvacuated       Reason = "evacuated"
	ReasonWarmingUp       Reason = "warming_up"
	ReasonNoServer        Reason = "no_backend_server"
	ReasonRefusedByTarget Reason = "refused_by_target"
	ReasonHopLimit        Reason = "hops_spent"
	ReasonLostByTarget    Reason = "lost_by_target"
	ReasonAnswered        Reason = "answered"
	ReasonHeldNowhere     Reason = "held_nowhere"
	ReasonRegistered      Reason = "registered"
	ReasonPreferred       Reason = "preferred"
	ReasonTargetGone      Reason = "target_gone"
	ReasonUnconfirmed     Reason = "unconfirmed"
	ReasonStalled         Reason = "stood_still"
	ReasonViewUnconfirmed Reason = "view_unconfirmed"
	ReasonOverflow        Reason = "overflow"
	ReasonLinkFull        Reason = "link_full"
	ReasonBusy            Reason = "busy"
	ReasonQueued          Reason = "queued"
	ReasonQueueExpired    Reason = "queue_spent"
	ReasonAdmitted        Reason = "admitted"
	ReasonUnhealthy       Reason = "unhealthy"
	// The reasons for which a waiting opening is refused, as in package waitqueue.
	ReasonQueueFull          Reason = Reason(waitqueue.Full)
	ReasonTimeoutUnreachable Reason = Reason(waitqueue.TooLate)
	ReasonDisplaced          Reason = Reason(waitqueue.Displaced)
	ReasonNoRoom             Reason = "no_room"
	ReasonOfferedAgain       Reason = "offered_again"
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// To is the receiver for Send, All has those for SendAll, valid until the next
	// call.
	To  Endpoint
	All []Endpoint
	// Frame is the header for Send, SendAll and Return.
	Frame Frame
	// KeepCopy requests that a copy of the packet is kept until the flow's holder is
	// known. UseCopy: the verdict applies to that copy.
	KeepCopy, UseCopy bool
	// ResponseTime is how long the target took if this packet is its first reply, 0
	// otherwise. Opening: it replies to the opening, otherwise to a request.
	ResponseTime time.Duration
	Opening      bool
	// Waiting describes the decision on an opening or request that waits, or is refused
	// at once, beside the target.
	Waiting Waiting
	// Evidence is what a reset of a flow that no target holds rests on.
	Evidence Evidence
	// Holder is the agent to be named to the entry host in a Located frame, or zero.
	Holder Endpoint
}

// Evidence is what an entry host knows of a flow that no target holds.
type Evidence struct {
	// Denied is the number of agents whose targets do not hold the flow, HeldByNone has the
	// services none of whose targets does.
	Denied     int
	HeldByNone []ServiceDenial
}

// Waiting has the inputs of a decision on what waits beside the target.
type Waiting struct {
	// Decided is set if the verdict ends the waiting or refuses it.
	Decided bool
	Class   qos.Class
	// Waited is for how long, Ahead the expected work that goes before, Work the expected
	// service time.
	Waited, Ahead, Work time.Duration
	// Late: the objective is missed.
	Late bool
}

// String returns the action in the form used as a metric label.
func (a Action) String() string {
	switch a {
	case Drop:
		return "drop"
	case Send:
		return "send"
	case SendAll:
		return "send_all"
	case Reset:
		return "reset"
	case Deliver:
		return "deliver"
	case Return:
		return "return"
	case Reply:
		return "reply"
	case Deny:
		return "deny"
	case Wait:
		return "wait"
	}
	return "invalid"
}
