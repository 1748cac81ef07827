package flowd

import (
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func (a *Agent) fromPeer(b []byte, from flow.Endpoint) {
	a.frames.in.frame(b)
	m, packet, err := flow.ParseFrame(b)
	if err == nil {
		switch m.Kind {
		case flow.Register, flow.Query, flow.NotHeld, flow.MayHold:
			a.fromFellow(m.Kind, packet, from)
			return
		case flow.Denied, flow.Held:
			a.outcome(m, from)
			return
		case flow.Load:
			return // it rides on answers to whoever searches, as this agent may
		}
	}
	if err != nil || m.Kind != flow.Open && m.Kind != flow.Data && m.Kind != flow.Search {
		a.reasons.malformed.Inc(1)
		return
	}
	p, err := a.opts.Codec.FromCaller(packet)
	if err != nil {
		a.reasons.malformed.Inc(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if m.Kind == flow.Search && m.Hops == flow.HopsLookup {
		m.Hops, m.Entry = 1, a.inquire(m.Entry, p.Key, packet)
	}
	v := a.flows.FromEntry(m, p, now)
	a.act(v, p, packet)
	a.hint(m, v, p)
	a.admit(now)
	if m.Kind == flow.Search && v.Action == flow.Deliver {
		a.notify(a.flows.HeldNotice(p.Key), now)
		return
	}
	a.report(m.Entry, now)
}

// hint tells an entry host that searches for a flow where it lives. The lock is held.
func (a *Agent) hint(m flow.Frame, v flow.Verdict, p flow.Packet) {
	if v.Holder.IsZero() {
		return
	}
	hint := flow.Frame{Kind: flow.Located, Key: p.Key, Alternate: v.Holder}
	a.buffer = hint.Append(a.buffer[:0])
	a.frames.sendFrame(a.buffer, m.Entry)
}

func (a *Agent) fromTarget(b []byte, _ flow.Endpoint) {
	a.targets.in.packets.add(len(b))
	p, err := a.opts.Codec.FromTarget(b)
	if err != nil {
		a.reasons.malformed.Inc(1)
		return
	}
	if p.Flags.Has(flow.Returned) {
		a.opts.Codec.Restore(b)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	v, notice := a.flows.FromTarget(p, now)
	a.latency.count(v)
	a.act(v, p, b)
	a.notify(notice, now)
	a.admit(now)
}

// admit decides on the openings that wait, and looks again soon if some still do. The
// lock is held.
func (a *Agent) admit(now time.Duration) {
	for {
		v, p, ok := a.flows.NextQueued(now)
		if !ok {
			break
		}
		// A packet that found no room is not sent: its caller sends a copy.
		if packet := a.queued.TakeOne(p.Key, now); packet != nil {
			a.act(v, p, packet)
		}
	}
	if a.flows.QueueLen() == 0 || a.admitting {
		return
	}
	a.admitting = true
	time.AfterFunc(admitPeriod, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.admitting = false
		if a.ctx.Err() == nil {
			a.admit(a.now())
		}
	})
}

// act does what a verdict says. The lock is held.
func (a *Agent) act(v flow.Verdict, p flow.Packet, packet []byte) {
	a.reasons.count(v)
	trace(a.opts.Log, &v, &p, a.inputs)
	switch v.Action {
	case flow.Wait:
		if !a.queued.Put(p.Key, packet, a.now()) {
			a.reasons.overflow.Inc(1)
		}
	case flow.Deliver:
		a.targets.sendPacket(packet, a.server)
	case flow.Deny:
		a.buffer = v.Frame.Append(a.buffer[:0])
		a.frames.sendFrame(a.buffer, v.To)
	case flow.Send, flow.Return:
		a.frames.sendFrame(a.framed(&v.Frame, packet), v.To)
	case flow.Reply:
		a.frames.sendPacket(packet, a.caller(p.Key))
	case flow.Reset:
		a.buffer = a.opts.Codec.AppendReset(a.buffer[:0], p.Key, p.Ack)
		a.frames.sendReset(a.buffer, a.caller(p.Key))
	}
}

// inputs are what decisions here rest on, for the log. The lock is held.
func (a *Agent) inputs() []zap.Field {
	s := a.flows.Server()
	return []zap.Field{
		zap.Uint8("server_state", uint8(s.State)),
		zap.Uint32("incarnation", s.Incarnation),
		zap.Uint16("load_permille", a.flows.LoadFrame().LoadPermille),
		zap.Duration("report_age", time.Since(a.heardAt)),
	}
}

func (a *Agent) caller(k flow.Key) flow.Endpoint {
	return flow.Endpoint{IP: k.Caller.IP, Port: a.opts.CallerPort}
}

func (a *Agent) framed(f *flow.Frame, packet []byte) []byte {
	a.buffer = append(f.Append(a.buffer[:0]), packet...)
	return a.buffer
}

// notify tells an entry host that a flow lives here. The lock is held.
func (a *Agent) notify(m *flow.Frame, now time.Duration) {
	if m == nil || m.Entry.IsZero() {
		return
	}
	a.reported[m.Entry] = now
	a.buffer = m.Append(a.buffer[:0])
	a.frames.sendFrame(a.buffer, m.Entry)
}

// report tells an entry host of the load, if it has not been told lately. The lock
// is held.
func (a *Agent) report(to flow.Endpoint, now time.Duration) {
	last, known := a.reported[to]
	if to.IsZero() || known && now-last < reportPause {
		return
	}
	if len(a.reported) >= maxEntries {
		clear(a.reported)
	}
	m := a.flows.LoadFrame()
	m.Entry = to
	a.notify(&m, now)
}
