package flow

import "time"

// handleOpening handles an opening packet.
func (a *Agent) handleOpening(f *agentFlow, m Frame, p Packet, now time.Duration) Verdict {
	if a.lateCopy(f, p) && a.refusalReason(m) != "" {
		// A target that has ended the flow would take it for a new one.
		return Verdict{Action: Drop, Reason: ReasonHeld}
	}
	if f != nil && (f.stage == stageOffered || f.stage == stageAnswered || f.stage == stageOpened) {
		// A retransmission or a reused caller port: the target distinguishes them.
		return Verdict{Action: Deliver, Reason: ReasonHeld}
	}
	if a.refusalReason(m) != "" {
		return a.accept(f, m, p, now)
	}
	if a.classOf(p.Key).Stated() && a.queue.index(p.Key) >= 0 {
		return a.enqueue(m, p.Key, now)
	}
	if v, waits := a.updateOpening(m, p.Key); waits {
		return v
	}
	if a.warmup.refuse(now) && m.Hops < maxHops && a.canForward(m) {
		return a.forward(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, ReasonWarmingUp)
	}
	if v, redirected := a.redirect(m, p.Key, now); redirected {
		return v
	}
	if a.busy(now) || a.warmup.refuse(now) {
		if a.classOf(p.Key).Stated() {
			return a.await(m, p, now)
		}
		return a.enqueue(m, p.Key, now)
	}
	return a.accept(f, m, p, now)
}

// lateCopy reports whether an opening is a copy of the one of a flow whose caller has the target's
// answer. It is false for routes that state nothing, whose packets are handled as in earlier releases.
func (a *Agent) lateCopy(f *agentFlow, p Packet) bool {
	return f != nil && f.stage == stageOpened && f.openingSeq != 0 && f.openingSeq == p.Seq && a.classOf(p.Key).Stated()
}

// accept delivers an opening to the target, or forwards it.
func (a *Agent) accept(f *agentFlow, m Frame, p Packet, now time.Duration) Verdict {
	if f != nil && (f.stage == stageOffered || f.stage == stageAnswered || f.stage == stageOpened) {
		return Verdict{Action: Deliver, Reason: ReasonHeld}
	}
	if reason := a.refusalReason(m); reason != "" {
		return a.forward(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, reason)
	}
	if f == nil && !a.makeRoom(now) {
		return a.forward(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, ReasonTableFull)
	}
	if f != nil {
		a.endRequest(f)
	}
	f = &agentFlow{
		stage:     stageOffered,
		entry:     m.Entry,
		alternate: m.Alternate,
		hops:      m.Hops,
		group:     m.Group,
		lastSeen:  now,
		createdAt: now,

		openingSeq: p.Seq,
	}
	a.flows[p.Key] = f
	a.queue.expectRequest(f, now)
	a.warmup.countFlow(f, now)
	a.activeFlows++
	return Verdict{Action: Deliver, Reason: ReasonPlaced}
}

// refusalReason returns why the target takes no new flow from this frame, empty if it
// does.
func (a *Agent) refusalReason(m Frame) Reason {
	switch {
	case a.server.State == Absent:
		return ReasonNoServer
	case m.Service != a.server.Service:
		return ReasonOtherService
	case a.server.State == Draining:
		return ReasonDraining
	case a.server.Evacuated:
		return ReasonEvacuated
	}
	return ""
}
