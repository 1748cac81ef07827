package flowd

import (
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// traced lists the decisions that touch a flow as a whole. What happens to each of its
// later packets is counted only.
var traced = []struct {
	message string
	action  flow.Action
	reasons []flow.Reason
}{
	{"flow placed", flow.Send, []flow.Reason{flow.ReasonPlaced, flow.ReasonPlacedAgain, flow.ReasonOverflow}},
	{"flow placed", flow.Deliver, []flow.Reason{flow.ReasonPlaced}},
	{"flow handed on", flow.Send, []flow.Reason{flow.ReasonDraining, flow.ReasonEvacuated, flow.ReasonWarmingUp, flow.ReasonNoServer, flow.ReasonOtherService, flow.ReasonRefusedByTarget, flow.ReasonTableFull}},
	{"flow waits for its target", flow.Wait, []flow.Reason{flow.ReasonQueued}},
	{"flow not taken", flow.Return, []flow.Reason{flow.ReasonQueueExpired, flow.ReasonDraining, flow.ReasonNoServer, flow.ReasonHopLimit, flow.ReasonTableFull}},
	{"flow searched for", flow.SendAll, []flow.Reason{flow.ReasonUnknown, flow.ReasonRegistered}},
	{"flow searched for", flow.Send, []flow.Reason{flow.ReasonRegistered}},
	{"flow not held", flow.Return, []flow.Reason{flow.ReasonNotHeld, flow.ReasonOpenedElsewhere}},
	{"flow not held", flow.Deny, []flow.Reason{flow.ReasonNotHeld, flow.ReasonOpenedElsewhere}},
	{"flow asked of its target", flow.Deliver, []flow.Reason{flow.ReasonUncertain}},
	{"flow reset", flow.Reset, []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget, flow.ReasonHeldNowhere, flow.ReasonLostByTarget, flow.ReasonHopLimit,
		flow.ReasonDraining, flow.ReasonNoServer, flow.ReasonOtherService, flow.ReasonRefusedByTarget, flow.ReasonTableFull,
		flow.ReasonQueueExpired, flow.ReasonTargetGone, flow.ReasonEvacuated}},
	{"packet dropped", flow.Drop, []flow.Reason{flow.ReasonNoRoute, flow.ReasonSearchLimit, flow.ReasonTableFull, flow.ReasonLinkFull}},
	{"packet waits", flow.Wait, []flow.Reason{flow.ReasonNotReady, flow.ReasonStalled}},
}

// traceMessages has the message of each of these decisions. The bound on the lines of
// a message holds for each message apart.
var traceMessages = messagesOf()

func messagesOf() map[verdictKey]string {
	out := map[verdictKey]string{}
	for _, t := range traced {
		for _, reason := range t.reasons {
			out[verdictKey{t.action, reason}] = t.message
		}
	}
	return out
}

// trace writes a line for a decision that touches a flow as a whole, with what decided
// it. It allocates nothing for other decisions and above the bound of the log.
func trace(log *zap.Logger, v *flow.Verdict, p *flow.Packet, inputs func() []zap.Field) {
	message := traceMessages[verdictKey{v.Action, v.Reason}]
	if message == "" {
		return
	}
	line := log.Check(zap.InfoLevel, message)
	if line == nil {
		return
	}
	fields := append([]zap.Field{
		zap.Stringer("flow", p.Key),
		zap.Stringer("action", v.Action),
		zap.String("reason", string(v.Reason)),
		zap.Uint32("seq", p.Seq),
		zap.Uint32("ack", p.Ack),
	}, inputs()...)
	if !v.To.IsZero() {
		fields = append(fields, zap.Stringer("to", v.To))
	}
	if len(v.All) > 0 {
		fields = append(fields, zap.Int("agents", len(v.All)))
	}
	line.Write(fields...)
}
