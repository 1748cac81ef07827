// Package routing chooses the target of a new flow.
//
// An immutable Table is built for each service from its policy, its targets
// and the load figures learned from reply frames. Choose draws two candidates
// by hash and takes the better one; the other is named as alternate, which the
// agent of the first may pass the flow on to. Established flows are not
// decided here: their connection IDs name the target.
//
// # Who is a candidate
//
// Targets that are draining or look ill are left out. When the share of
// ill-looking targets reaches the panic percentage of the policy, the signal
// is taken for wrong and all are used. When nothing but draining targets is
// left, they are used: this host's list may be old, and a draining agent
// passes a new flow on to a target that it knows.
//
// # Which candidate is better
//
// Each candidate has a cost, and the lower one wins:
//
//	cost = imbalance weight × load + broken flow weight × risk + unanswered flows
//
// Load is the reported figure per mille, or the average of the service where
// there is no fresh one; where that average is above 1000, a full target, it is
// the share of the average instead, bounded at four times. Risk is 1000 for a target that looks ill, and falls
// from 1000 to 0 over the ramp of a target after its cold start. Unanswered
// flows are those sent to the target since its last report, so that a burst
// between two reports spreads and a silent target loses. The weights of the
// policy are scaled so that only their ratio counts.
//
// # Silence
//
// A target answers each first packet at once. One that was sent a first packet and
// from which no frame at all has come since counts as silent after SilentAfter: it,
// its host or the way to it is lost, and its lease may take seconds to tell. Other
// candidates are drawn in its place. The baseline by hash does not look at silence,
// and where all are silent the fault is more likely this host's own, so the choice
// is as if none were. So that it comes back without other traffic, a silent target
// that is drawn gets a copy of the packet, one in ProbePeriod. No caller waits for
// the probe. A new incarnation is not silent.
//
// # The ramp
//
// A candidate within its ramp takes part only in a share of the draws, which
// grows with its age from a sixteenth to all. The growth follows
// age^(broken flow weight / imbalance weight), the exponent held between 1/4
// and 4: a service that weighs broken flows more lets a cold target wait, one
// that weighs imbalance more fills it early.
//
// The failure domain of a target has no say: preferring a near one would
// trade imbalance for a millisecond.
//
// The package has no clock, no randomness and no I/O: time is a duration since
// any fixed moment of the process, and the hash comes from the caller.
package routing
