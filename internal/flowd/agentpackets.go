package flowd

import (
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func (a *Agent) handleFrame(b []byte, from flow.Endpoint) {
	a.frames.in.countFrame(b)
	m, packet, err := flow.ParseFrame(b)
	if err == nil {
		switch m.Kind {
		case flow.Register, flow.Query, flow.NotHeld, flow.MayHold:
			a.handleKeys(m, packet, from)
			return
		case flow.Denied, flow.Held:
			a.handleLookupReply(m, from)
			return
		case flow.Load:
			a.handlePeerLoad(m, from)
			return
		}
	}
	if err != nil || m.Kind != flow.Open && m.Kind != flow.Data && m.Kind != flow.Search {
		a.counters.malformed.Inc(1)
		return
	}
	p, err := a.opts.Codec.FromCaller(packet)
	if err != nil {
		a.counters.malformed.Inc(1)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if m.Kind == flow.Search && m.Hops == flow.HopsLookup {
		m.Hops, m.Entry = 1, a.startLookup(m.Entry, p.Key, packet)
	}
	v := a.flows.FromEntry(m, p, now)
	a.waiting.record(v)
	a.applyVerdict(v, p, packet)
	a.located(m, v, p)
	a.admit(now)
	if m.Kind == flow.Search && (v.Action == flow.Deliver || v.Action == flow.Wait) {
		a.answerSearch(m, p.Key, now)
		return
	}
	a.reportLoad(m.Entry, now)
	a.reportToPeers(m, v, from, now)
}

// answerSearch tells the sender of a search that the target holds the flow. If only the target
// knows, whose reply may take long, a direct search is answered with a report: the sender must
// not conclude from silence that the agent is gone. The lock is held.
func (a *Agent) answerSearch(m flow.Frame, key flow.Key, now time.Duration) {
	if held := a.flows.HeldNotice(key); held != nil {
		a.notify(held, now)
		return
	}
	if m.Hops > 0 {
		report := a.flows.LoadFrame()
		report.Entry = m.Entry
		a.notify(&report, now)
	}
}

// located sends a Located frame to an entry host that searches. The lock is held.
func (a *Agent) located(m flow.Frame, v flow.Verdict, p flow.Packet) {
	if v.Holder.IsZero() {
		return
	}
	located := flow.Frame{Kind: flow.Located, Key: p.Key, Alternate: v.Holder}
	a.buffer = located.Append(a.buffer[:0])
	a.frames.sendFrame(a.buffer, m.Entry)
}

func (a *Agent) handleTargetPacket(b []byte, _ flow.Endpoint) {
	a.targets.in.packets.add(len(b))
	p, err := a.opts.Codec.FromTarget(b)
	if err != nil {
		a.counters.malformed.Inc(1)
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
	a.applyVerdict(v, p, b)
	a.notify(notice, now)
	a.admit(now)
}

// admit applies the verdicts on queued openings and schedules the next check if some
// remain. The lock is held.
func (a *Agent) admit(now time.Duration) {
	for {
		v, p, ok := a.flows.NextQueued(now)
		if !ok {
			break
		}
		a.waiting.record(v)
		// If the packet was not buffered, the caller retransmits it.
		for packet := a.queued.Take(p.Key); packet != nil; packet = a.queued.Take(p.Key) {
			a.applyVerdict(v, p, packet)
		}
	}
	a.flows.ObserveCapacity(now)
	if a.flows.QueueLen() == 0 || a.admitScheduled {
		return
	}
	a.admitScheduled = true
	period := admitPeriod
	if next := a.flows.NextCheck(); next > 0 {
		period = min(period, max(next-now, minAdmitPeriod))
	}
	time.AfterFunc(period, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.admitScheduled = false
		if a.ctx.Err() == nil {
			a.admit(a.now())
		}
	})
}

// applyVerdict carries out a verdict. The lock is held.
func (a *Agent) applyVerdict(v flow.Verdict, p flow.Packet, packet []byte) {
	a.counters.count(v)
	a.countRefusal(&v, p.Key)
	logVerdict(a.opts.Log, &v, &p, a.decisionInputs)
	switch v.Action {
	case flow.Wait:
		if !a.queued.Put(p.Key, packet) {
			a.flows.PacketLost(p)
			a.counters.overflow.Inc(1)
		}
	case flow.Deliver:
		a.targets.sendPacket(packet, a.server)
	case flow.Deny:
		a.buffer = v.Frame.Append(a.buffer[:0])
		a.frames.sendFrame(a.buffer, v.To)
	case flow.Send, flow.Return:
		a.frames.sendFrame(a.encoded(&v.Frame, packet), v.To)
	case flow.Reply:
		a.frames.sendPacket(packet, a.callerEndpoint(p.Key))
	case flow.Reset:
		a.buffer = a.opts.Codec.AppendReset(a.buffer[:0], p.Key, p.Ack)
		a.frames.sendReset(a.buffer, a.callerEndpoint(p.Key))
	}
}

// decisionInputs returns the state behind a verdict for the log. The lock is held.
func (a *Agent) decisionInputs() []zap.Field {
	s := a.flows.Server()
	return []zap.Field{
		zap.Uint8("server_state", uint8(s.State)),
		zap.Uint32("incarnation", s.Incarnation),
		zap.Uint16("load_permille", a.flows.LoadFrame().LoadPermille),
		zap.Duration("report_age", time.Since(a.lastSeen)),
	}
}

func (a *Agent) callerEndpoint(k flow.Key) flow.Endpoint {
	return flow.Endpoint{IP: k.Caller.IP, Port: a.opts.CallerPort}
}

func (a *Agent) encoded(f *flow.Frame, packet []byte) []byte {
	a.buffer = append(f.Append(a.buffer[:0]), packet...)
	return a.buffer
}

// notify sends a Held or Load frame to an entry host. The lock is held.
func (a *Agent) notify(m *flow.Frame, now time.Duration) {
	if m == nil || m.Entry.IsZero() {
		return
	}
	a.loadReportedAt[m.Entry] = now
	a.buffer = m.Append(a.buffer[:0])
	a.frames.sendFrame(a.buffer, m.Entry)
}

// reportLoad reports the load to an entry host unless it was reported recently. The lock
// is held.
func (a *Agent) reportLoad(to flow.Endpoint, now time.Duration) {
	last, known := a.loadReportedAt[to]
	if to.IsZero() || known && now-last < loadReportInterval {
		return
	}
	if len(a.loadReportedAt) >= maxReportedEntries {
		clear(a.loadReportedAt)
	}
	m := a.flows.LoadFrame()
	m.Entry = to
	a.notify(&m, now)
}
