package flow

// canForward reports whether an opening can be forwarded to another agent.
func (a *Agent) canForward(m Frame) bool {
	return len(a.peers) > 0 || m.Hops == 0 && !m.Alternate.IsZero()
}

// forward sends an opening to another agent of the service, or returns it to its entry host if
// there is none. The alternate is that of the entry host on the first hop, afterwards the agent
// that the entry host sent the opening to. Only the entry host knows whether the flow may be reset:
// the caller may have opened it with another target by a copy of the opening.
func (a *Agent) forward(alternate, entry Endpoint, service uint64, hops uint8, key Key, reason Reason) Verdict {
	if hops >= maxHops {
		return unplaced(alternate, entry, hops, ReasonHopLimit)
	}
	to, first := alternate, a.self
	if hops > 0 {
		to, first = Endpoint{}, alternate
	}
	if to.IsZero() && service == a.server.Service {
		to = a.peerFor(key, hops, first)
	}
	if to.IsZero() {
		return unplaced(alternate, entry, hops, reason)
	}
	return Verdict{Action: Send, Reason: reason, To: to, Frame: Frame{
		Kind:      Open,
		Hops:      hops + 1,
		Service:   service,
		Entry:     entry,
		Alternate: first,
	}}
}

// unplaced returns an opening that no agent takes. The frame names no service, since this is no
// sign of too little room.
func unplaced(alternate, entry Endpoint, hops uint8, reason Reason) Verdict {
	return returned(Frame{Hops: hops, Entry: entry, Alternate: alternate}, reason)
}

// peerFor returns the peer that gets a flow on a hop, other than the first agent if
// possible, or zero.
func (a *Agent) peerFor(key Key, hops uint8, first Endpoint) Endpoint {
	if len(a.peers) == 0 {
		return Endpoint{}
	}
	i := int(key.Hash(uint64(hops)) % uint64(len(a.peers)))
	if a.peers[i] == first {
		i = (i + 1) % len(a.peers)
	}
	return a.peers[i]
}
