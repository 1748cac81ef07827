// Package routing chooses the target of a new flow.
//
// An immutable Table is built for each service from its policy, its targets and the
// load reports of reply frames. Choose draws two candidates by hash and takes the
// better one. The other one is the alternate, to which the agent of the first may
// forward the flow. Established flows are not routed here: their connection IDs name
// the target.
//
// # Candidates
//
// Draining and unhealthy targets are excluded. When the share of unhealthy targets
// reaches the panic percentage of the policy, health is ignored and all of them are
// used. When only draining targets are left, they are used: the list of this host may
// be stale, and a draining agent forwards a new flow to another target.
//
// # Cost
//
// The candidate with the lower cost is chosen:
//
//	cost = imbalance weight × load + broken flow weight × risk + unanswered flows
//
// Load is the reported load per mille. Without a recent report it is the average of the
// service. If that average is above 1000 (a full target), loads are taken relative to
// it, up to four times the average. A target on its ramp without a report counts as the
// average multiplied by its progress on the ramp, as long as it has no unanswered flow.
//
// Risk is 1000 for an unhealthy target, and falls from 1000 to 0 during the ramp after
// a cold start. Unanswered flows are those sent to the target since its last report, so
// that a burst between two reports is spread. The weights of the policy are scaled, so
// that only their ratio matters.
//
// # Unresponsive targets
//
// A target must answer the first packet of a flow at once. If no frame arrives from it
// within UnresponsiveAfter, it counts as unresponsive and another candidate is drawn.
// This detects a lost target before its lease expires. If all targets are unresponsive,
// the fault is more likely on this host, and they are used as usual. The hash strategy
// ignores this state. To detect recovery, an unresponsive target that is drawn gets a
// copy of the packet, at most once in ProbeInterval. A new incarnation starts as
// responsive.
//
// # The ramp
//
// A candidate on its ramp takes part in a share of the draws only. The share grows with
// age^(broken flow weight / imbalance weight) from a sixteenth to all; the exponent is
// kept between 1/4 and 4. A higher broken flow weight delays cold targets, a higher
// imbalance weight fills them early.
//
// The failure domain of a target is ignored: preferring a near one would trade imbalance
// for a millisecond.
//
// The package has no clock, no randomness and no I/O: time is a duration since any
// fixed moment, and the hash comes from the caller.
package routing
