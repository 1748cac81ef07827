package flowd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// handleKeys handles a frame of keys from another agent of the service.
func (a *Agent) handleKeys(m flow.Frame, b []byte, from flow.Endpoint) {
	keys, err := flow.ParseKeys(b)
	if err != nil {
		a.counters.malformed.Inc(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch m.Kind {
	case flow.Register:
		a.flows.PeerFrame(m, from, a.now())
		a.flows.Register(keys, from, a.now())
	case flow.Query:
		notHeld, mayHold := a.flows.AnswerQuery(keys, a.now())
		a.sendKeys(flow.NotHeld, notHeld, from)
		a.sendKeys(flow.MayHold, mayHold, from)
	case flow.NotHeld:
		a.sendNotices(a.flows.HandleNotHeld(keys, from))
	case flow.MayHold:
		a.sendNotices(a.flows.HandleMayHold(keys, from))
	}
}

// handlePeerLoad handles the load report of another agent.
func (a *Agent) handlePeerLoad(m flow.Frame, from flow.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flows.PeerFrame(m, from, a.now())
}

// reportToPeers reports the load to the agent that handed an opening on and to the one that this
// agent hands it to: both decide by it on their next openings. The lock is held.
func (a *Agent) reportToPeers(m flow.Frame, v flow.Verdict, from flow.Endpoint, now time.Duration) {
	if v.Action == flow.Send && v.Reason == flow.ReasonBusy {
		a.reportToPeer(v.To, now)
	}
	if m.Kind == flow.Open && m.Hops > 0 && from != m.Entry {
		a.reportToPeer(from, now)
	}
}

// reportToPeer reports the load to another agent unless it was reported recently. The lock is
// held.
func (a *Agent) reportToPeer(to flow.Endpoint, now time.Duration) {
	if last, known := a.loadReportedAt[to]; known && now-last < peerReportInterval {
		return
	}
	if len(a.loadReportedAt) >= maxReportedEntries {
		clear(a.loadReportedAt)
	}
	report := a.flows.PeerLoadFrame()
	report.Entry = to
	a.notify(&report, now)
}

// handleLookupReply handles the reply of an agent, possibly this one, about a flow that this
// agent looks up.
func (a *Agent) handleLookupReply(m flow.Frame, from flow.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Kind == flow.Held {
		a.sendNotices(a.flows.RecordHolder(m.Key, from))
		return
	}
	a.sendNotices(a.flows.HandleNotHeld([]flow.Key{m.Key}, from))
}

// startLookup starts the lookup of a flow for an entry host. It returns the address that the
// agents reply to. The lock is held.
func (a *Agent) startLookup(entry flow.Endpoint, key flow.Key, packet []byte) flow.Endpoint {
	if !a.lookupPackets.Put(key, packet, a.now()) {
		a.counters.overflow.Inc(1)
	}
	a.sendNotices(a.flows.Lookup(entry, key, a.now()))
	a.scheduleQueries()
	return flow.EndpointOf(a.frames.local())
}

// sendKeys sends a frame of keys, unless there are none. The lock is held.
func (a *Agent) sendKeys(kind flow.Kind, keys []flow.Key, to flow.Endpoint) {
	if len(keys) == 0 {
		return
	}
	a.buffer = flow.AppendKeys(a.buffer[:0], kind, keys)
	a.frames.sendFrame(a.buffer, to)
}

// sendNotices sends notices about flows, a search with its packet. The lock is held.
func (a *Agent) sendNotices(notices []flow.Notice) {
	for i := range notices {
		n := &notices[i]
		var packet []byte
		if n.Frame.Kind == flow.Search {
			packet = a.lookupPackets.Peek(n.Key, a.now())
			if packet == nil {
				continue // until the caller retransmits it
			}
		}
		a.frames.sendFrame(a.encoded(&n.Frame, packet), n.To)
	}
}

// scheduleQueries starts the next round of queries when it is due. The lock is held.
func (a *Agent) scheduleQueries() {
	wait, due := a.flows.NextQueryIn(a.now())
	if !due || a.queryScheduled {
		return
	}
	if wait == 0 {
		a.sendQueries()
		return
	}
	a.queryScheduled = true
	time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.queryScheduled = false
		if a.ctx.Err() == nil {
			a.sendQueries()
		}
	})
}

// sendQueries starts a round of queries. The lock is held.
func (a *Agent) sendQueries() {
	for _, q := range a.flows.Queries(a.now()) {
		a.sendKeys(flow.Query, q.Keys, q.To)
	}
}
