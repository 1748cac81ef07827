package flow

import "time"

const (
	// maxBusyHops is how often an opening is handed on because targets are busy. It is below
	// maxHops, so that an opening queued at the last target can still be forwarded when that
	// target starts draining.
	maxBusyHops = 2
	// handOnMargin is how much lower the load of another target has to be, in thousandths of
	// its slots: loads change by as much while a report and the opening are under way.
	handOnMargin = 500
)

// redirect hands an opening on to another agent if the target is busy: the load that entry
// hosts place flows by is up to 250 ms old, a busy target knows its own. It goes to the agent
// with the lowest reported load if it waits shorter there than here, otherwise to one of
// unknown load, which reports it. After a few openings in succession that found no room, few
// go on. Only the agents are considered that rank highest for the flow, where searches look,
// and the one that the entry host names. Openings of routes that state nothing stay.
func (a *Agent) redirect(m Frame, key Key, now time.Duration) (Verdict, bool) {
	if m.Hops >= maxBusyHops || !a.classOf(key).Stated() || !a.busy(now) {
		return Verdict{}, false
	}
	alternate, first := m.Alternate, a.self
	if m.Hops > 0 {
		alternate, first = Endpoint{}, m.Alternate
	}
	to, known := a.leastBusy(alternate, first, key, now)
	if to.IsZero() {
		return Verdict{}, false
	}
	a.peerStates.recordHandedOn(to, known, a.requestLoad(), now)
	return Verdict{Action: Send, Reason: ReasonBusy, To: to, Frame: Frame{
		Kind:      Open,
		Hops:      m.Hops + 1,
		Service:   m.Service,
		Entry:     m.Entry,
		Alternate: first,
	}}, true
}

// leastBusy returns the agent that an opening is handed to, other than the first one that it
// came to, zero if it stays here. known reports whether its load is known.
func (a *Agent) leastBusy(alternate, first Endpoint, key Key, now time.Duration) (to Endpoint, known bool) {
	requestLoad, limit := a.requestLoad(), int64(a.currentLoad())-handOnMargin
	mayTry := !a.peerStates.full(a.usualTime()/time.Duration(max(a.server.Slots, 1)), now)
	if !mayTry {
		limit = min(limit, SaturatedLoad)
		if !a.peerStates.anyBelow(limit, requestLoad, now) {
			// Ranking the agents of a large service takes longer than all else.
			return Endpoint{}, false
		}
	}
	var buffer [preferredAgents + 1]Endpoint
	candidates := buffer[:0]
	if !alternate.IsZero() && alternate != a.self {
		candidates = append(candidates, alternate)
	}
	candidates = AppendPreferred(candidates, key, a.peers)
	var untried Endpoint
	silence := 0
	for _, agent := range candidates {
		if agent == first {
			continue
		}
		p := a.peerStates.agents[agent]
		load, heard := p.loadWith(requestLoad, now)
		switch {
		case !heard:
			if mayTry && p.mayTry(now) && (untried.IsZero() || p.silence() < silence) {
				untried, silence = agent, p.silence()
			}
		case !p.closed && p.handed < max(a.server.Slots, 1) && int64(load) <= limit:
			to, known, limit = agent, true, int64(load)-1
		}
	}
	if known {
		return to, true
	}
	return untried, false
}

// requestLoad is the load of one request, with the slots of the own target.
func (a *Agent) requestLoad() uint32 { return uint32(fullLoad / max(a.server.Slots, 1)) }
