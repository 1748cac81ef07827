package flowd

import (
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// tracedVerdicts lists the verdicts that are logged: those that concern a flow, not single
// packets.
var tracedVerdicts = []struct {
	message string
	action  flow.Action
	reasons []flow.Reason
}{
	{"flow placed", flow.Send, []flow.Reason{flow.ReasonPlaced, flow.ReasonPlacedAgain, flow.ReasonOverflow, flow.ReasonOfferedAgain}},
	{"flow placed", flow.Deliver, []flow.Reason{flow.ReasonPlaced}},
	{"flow forwarded", flow.Send, []flow.Reason{flow.ReasonDraining, flow.ReasonEvacuated, flow.ReasonWarmingUp, flow.ReasonBusy, flow.ReasonNoServer, flow.ReasonOtherService, flow.ReasonRefusedByTarget, flow.ReasonTableFull, flow.ReasonUnhealthy}},
	{"flow queued", flow.Wait, []flow.Reason{flow.ReasonQueued}},
	{"queued flow returned", flow.Return, []flow.Reason{flow.ReasonQueueExpired, flow.ReasonDraining, flow.ReasonNoServer, flow.ReasonHopLimit, flow.ReasonTableFull,
		flow.ReasonEvacuated, flow.ReasonOtherService, flow.ReasonRefusedByTarget, flow.ReasonUnhealthy}},
	{"waiting opening refused", flow.Return, []flow.Reason{flow.ReasonQueueFull, flow.ReasonTimeoutUnreachable, flow.ReasonDisplaced}},
	{"searching for flow", flow.SendAll, []flow.Reason{flow.ReasonUnknown, flow.ReasonRegistered}},
	{"searching for flow", flow.Send, []flow.Reason{flow.ReasonRegistered}},
	{"flow not held", flow.Return, []flow.Reason{flow.ReasonNotHeld, flow.ReasonOpenedElsewhere}},
	{"flow not held", flow.Deny, []flow.Reason{flow.ReasonNotHeld, flow.ReasonOpenedElsewhere}},
	{"flow probed at target", flow.Deliver, []flow.Reason{flow.ReasonUncertain}},
	{"flow reset", flow.Reset, []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget, flow.ReasonHeldNowhere, flow.ReasonLostByTarget, flow.ReasonHopLimit,
		flow.ReasonDraining, flow.ReasonNoServer, flow.ReasonOtherService, flow.ReasonRefusedByTarget, flow.ReasonTableFull,
		flow.ReasonQueueExpired, flow.ReasonTargetGone, flow.ReasonEvacuated, flow.ReasonNoRoom}},
	{"packet dropped", flow.Drop, []flow.Reason{flow.ReasonNoRoute, flow.ReasonSearchLimit, flow.ReasonTableFull, flow.ReasonLinkFull, flow.ReasonStalled, flow.ReasonViewUnconfirmed}},
	{"packet buffered", flow.Wait, []flow.Reason{flow.ReasonNotReady, flow.ReasonStalled}},
}

// traceMessages has the log message of each traced verdict. The log rate is limited for
// each message separately.
var traceMessages = buildTraceMessages()

func buildTraceMessages() map[verdictKey]string {
	out := map[verdictKey]string{}
	for _, t := range tracedVerdicts {
		for _, reason := range t.reasons {
			out[verdictKey{t.action, reason}] = t.message
		}
	}
	return out
}

// logVerdict logs a traced verdict with its inputs. It does not allocate for other verdicts
// or above the rate limit of the log.
func logVerdict(log *zap.Logger, v *flow.Verdict, p *flow.Packet, inputs func() []zap.Field) {
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
	if w := &v.Waiting; w.Decided {
		fields = append(fields, zap.Uint32("priority", w.Class.Priority), zap.Duration("objective", w.Class.Objective),
			zap.Duration("timeout", w.Class.Timeout), zap.Duration("waited", w.Waited), zap.Duration("work", w.Work),
			zap.Duration("work_ahead", w.Ahead), zap.Bool("late", w.Late))
	}
	if v.Reason == flow.ReasonHeldNowhere {
		fields = append(fields, zap.Int("denied", v.Evidence.Denied), zap.Uint32s("held_by_none", servicesOf(v.Evidence.HeldByNone)))
	}
	if !v.To.IsZero() {
		fields = append(fields, zap.Stringer("to", v.To))
	}
	if len(v.All) > 0 {
		fields = append(fields, zap.Int("agents", len(v.All)))
	}
	line.Write(fields...)
}

// servicesOf returns the numbers of the services of denials.
func servicesOf(denials []flow.ServiceDenial) []uint32 {
	var numbers []uint32
	for _, c := range denials {
		numbers = append(numbers, c.Service)
	}
	return numbers
}
