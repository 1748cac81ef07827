package flow

import "time"

// Action tells what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop: nothing.
	Drop Action = iota
	// Send the packet to one agent.
	Send
	// SendAll: send the packet to several agents.
	SendAll
	// Reset: tell the caller that the flow is gone or was never opened.
	Reset
	// Deliver the packet to the own target.
	Deliver
	// Return the packet to the entry host.
	Return
	// Reply: send the target's packet to the caller.
	Reply
	// Deny: tell the entry host that the target does not hold the flow.
	Deny
	// Wait: keep the packet until it can be decided on. An entry host does so until it is
	// ready or has caught up, an agent until its target has room.
	Wait
)

// Reason tells what decided an action.
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
	ReasonTargetGone      Reason = "target_gone"
	ReasonUnconfirmed     Reason = "unconfirmed"
	ReasonStalled         Reason = "stood_still"
	ReasonOverflow        Reason = "overflow"
	ReasonLinkFull        Reason = "link_full"
	ReasonQueued          Reason = "queued"
	ReasonQueueExpired    Reason = "queue_spent"
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// To is the receiver of Send. All has those of SendAll, valid until the next
	// call.
	To  Endpoint
	All []Endpoint
	// Frame is the header for Send, SendAll and Return.
	Frame Frame
	// KeepCopy asks for a copy of the packet until it is known who holds its flow. UseCopy
	// stands for that copy, in place of a packet.
	KeepCopy, UseCopy bool
	// ResponseTime is how long the target took to answer what this packet is the first
	// answer to: an opening packet, if Began, else a request. 0 if it answers neither.
	ResponseTime time.Duration
	Opening      bool
	// Holder is where the entry host is to be told that the flow lives, or zero.
	Holder Endpoint
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
