package flowd

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// fromFellow takes in what another agent of the service says of flows, or asks about them.
func (a *Agent) fromFellow(kind flow.Kind, b []byte, from flow.Endpoint) {
	keys, err := flow.ParseKeys(b)
	if err != nil {
		a.reasons.malformed.Inc(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch kind {
	case flow.Register:
		a.flows.Register(keys, from, a.now())
	case flow.Query:
		lacks, open := a.flows.AnswerQuery(keys, a.now())
		a.sendKeys(flow.NotHeld, lacks, from)
		a.sendKeys(flow.MayHold, open, from)
	case flow.NotHeld:
		a.tell(a.flows.HandleNotHeld(keys, from))
	case flow.MayHold:
		a.tell(a.flows.HandleMayHold(keys, from))
	}
}

// outcome takes in what an agent, be it this one, says of a flow that this one inquires
// about.
func (a *Agent) outcome(m flow.Frame, from flow.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Kind == flow.Held {
		a.tell(a.flows.RecordHolder(m.Key, from))
		return
	}
	a.tell(a.flows.HandleNotHeld([]flow.Key{m.Key}, from))
}

// inquire begins to ask the other agents about a flow that an entry host searches for. It
// returns where they, and this one, are to answer. The lock is held.
func (a *Agent) inquire(entry flow.Endpoint, key flow.Key, packet []byte) flow.Endpoint {
	if !a.searched.Put(key, packet, a.now()) {
		a.reasons.overflow.Inc(1)
	}
	a.tell(a.flows.Lookup(entry, key, a.now()))
	a.askSoon()
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

// tell sends notices about flows: a search goes with the packet. The lock is held.
func (a *Agent) tell(notices []flow.Notice) {
	for i := range notices {
		n := &notices[i]
		var packet []byte
		if n.Frame.Kind == flow.Search {
			packet = a.searched.Peek(n.Key, a.now())
			if packet == nil {
				continue // its caller sends a copy
			}
		}
		a.frames.sendFrame(a.framed(&n.Frame, packet), n.To)
	}
}

// askSoon begins a round of questions, now or when the pause is over. The lock is held.
func (a *Agent) askSoon() {
	wait, due := a.flows.NextQueryIn(a.now())
	if !due || a.asking {
		return
	}
	if wait == 0 {
		a.askAll()
		return
	}
	a.asking = true
	time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.asking = false
		if a.ctx.Err() == nil {
			a.askAll()
		}
	})
}

// askAll asks the other agents of the service. The lock is held.
func (a *Agent) askAll() {
	for _, q := range a.flows.Queries(a.now()) {
		a.sendKeys(flow.Query, q.Keys, q.To)
	}
}
