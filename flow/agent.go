package flow

import (
	"slices"
	"time"
)

const (
	// MaxAgentFlows bounds the flows of an agent: several times what a backend
	// server takes. A flow takes 140 bytes (BenchmarkAgentPacket).
	MaxAgentFlows = 16_384
	// uncertainFor is how long after its start an agent may lack flows that its
	// target holds: flows are found again by their next packet, and those that
	// were idle for longer may be discarded.
	uncertainFor = 60 * time.Second
	// absentFor is how long an agent remembers that its target does not hold a
	// flow: longer than a sender waits between two copies of a packet, 1.6 s.
	absentFor = 4 * time.Second
	// maxHops bounds how often an opening packet is handed on.
	maxHops = 3
	// stuckAfter is when a request without an answer no longer counts as in
	// progress, whatever became of it.
	stuckAfter = 10 * time.Second
)

// State tells whether the target beside an agent takes new flows.
type State uint8

// States of a target.
const (
	// Absent: no backend server has been heard of, or it is gone.
	Absent State = iota
	// Serving: it takes new flows.
	Serving
	// Draining: it keeps its flows and takes no new ones.
	Draining
)

// Server is what an agent knows of the target beside it.
type Server struct {
	State State
	// Service is the hash of the name of its service.
	Service uint64
	// Slots is how many requests it runs at a time.
	Slots int
	// Number and Incarnation name it towards entry hosts, zero before it is
	// registered.
	Number, Incarnation uint32
	// Unhealthy: the agent holds it to be ill.
	Unhealthy bool
	// Evacuated: its failure domain takes no new flows. It keeps those that it has.
	Evacuated bool
}

// Agent holds the flows of the target beside it.
type Agent struct {
	// certainAt is when this agent knows of all flows that its target holds.
	certainAt time.Duration
	server    Server
	// peers are the agents beside other serving targets of the same service, all are
	// those beside any of its targets, self included; listed counts the lists so far.
	peers, all []Endpoint
	self       Endpoint
	listed     uint32
	registry   registry
	queue      queue
	warmup     warmup
	inquiries  inquiries
	// due and chosen are scratch space of Due.
	due    []Registration
	chosen []Endpoint
	flows  map[Key]*agentFlow
	// live is the number of flows that may carry requests, as of the last sweep.
	live int
	// running is the number of requests in progress, average that of the last
	// moments, as of averagedAt.
	running    int
	average    float64
	averagedAt time.Duration
}

type stage uint8

const (
	// offered: the opening packet went to the target.
	offered stage = iota
	// answered: the target has answered it.
	answered
	// opened: the caller has acknowledged that, or the target's later packets show
	// it.
	opened
	// uncertain: a later packet went to the target, which may not hold the flow.
	uncertain
	// absent: the target does not hold the flow.
	absent
)

// agentFlow is what an agent knows of a flow.
type agentFlow struct {
	stage stage
	// first is the number of the target's first byte, if known.
	first uint32
	known bool
	// elsewhere: the caller has opened the flow with another target, while this one may
	// still hold the half that it was offered.
	elsewhere bool
	// searched: the last packet came from a search.
	searched bool
	// entry is where the flow's packets come from.
	entry     Endpoint
	alternate Endpoint
	hops      uint8
	// requested is when the request in progress came, zero if there is none.
	requested time.Duration
	running   bool
	// upTo is the number after the caller's last byte so far, if sent tells that there
	// was one.
	upTo uint32
	sent bool
	// callerDone and targetDone: that end has sent its last byte.
	callerDone, targetDone bool
	// registeredAt is when other agents were told of the flow, by the list of agents
	// numbered registeredIn.
	registeredAt time.Duration
	registeredIn uint32
	seen         time.Duration
	born         time.Duration
}

// NewAgent returns an agent that has just started.
func NewAgent(now time.Duration) *Agent {
	return &Agent{
		certainAt:  now + uncertainFor,
		averagedAt: now,
		flows:      make(map[Key]*agentFlow),
		warmup:     warmup{unknownUntil: now + warmupSpan},
	}
}

// Len returns the number of flows.
func (a *Agent) Len() int { return len(a.flows) }

// MarkComplete tells that the target has started after this agent, so that it holds no
// flow that the agent has not seen.
func (a *Agent) MarkComplete(now time.Duration) { a.certainAt = min(a.certainAt, now) }

// Server returns what is known of the target.
func (a *Agent) Server() Server { return a.server }

// SetServer takes in what is known of the target.
func (a *Agent) SetServer(s Server) { a.server = s }

// SetPeers takes in the agents to which opening packets may be handed on, and those
// beside all targets of the service, among which self stands for this one. The agent
// keeps the slices.
func (a *Agent) SetPeers(peers, all []Endpoint, self Endpoint) {
	a.peers, a.self = peers, self
	if !slices.Equal(a.all, all) {
		a.all = all
		a.listed++
	}
}

// FromEntry decides on a caller's packet that an entry host or another agent sent.
func (a *Agent) FromEntry(m Frame, p Packet, now time.Duration) Verdict {
	f := a.flows[p.Key]
	if f != nil {
		f.seen = now
		f.entry = m.Entry
		f.searched = m.Kind == Search
	}
	if m.Kind == Open {
		return a.open(f, m, p, now)
	}
	a.queue.drop(p.Key)
	if f == nil || f.stage == absent {
		if to := a.registry.holder(p.Key); m.Kind == Search && m.Hops == 0 && !to.IsZero() {
			m.Hops++
			return Verdict{Action: Send, Reason: ReasonRegistered, To: to, Frame: m, Holder: to}
		}
	}
	if f == nil {
		return a.unknown(m, p, now)
	}
	switch f.stage {
	case absent:
		return missed(m, p.Key, ReasonNotHeld)
	case answered:
		if f.known && !acknowledges(p.Ack, f.first) && !p.Flags.Has(SYN) {
			a.elsewhere(f)
			return missed(m, p.Key, ReasonOpenedElsewhere)
		}
		f.stage = opened
	case offered:
		// The target's answer may have been lost on its way to the caller, but it
		// cannot be acknowledged before it was given.
		a.elsewhere(f)
		return missed(m, p.Key, ReasonOpenedElsewhere)
	}
	a.request(f, p, now)
	if p.Flags.Has(FIN) || p.Flags.Has(RST) {
		// A caller that ends a flow no longer waits for the answer to its request.
		f.callerDone = true
		a.stop(f)
	}
	return Verdict{Action: Deliver, Reason: ReasonHeld}
}

// elsewhere notes that the caller has opened a flow with another target. The agent keeps
// that in mind for as long as its own target may hold the half that it was offered: asked
// for the flow, the target would take another one's packets for its own.
func (a *Agent) elsewhere(f *agentFlow) {
	a.stop(f)
	f.stage, f.elsewhere = absent, true
}

// missed sends a packet back to the entry host, or tells one that searches that the
// target does not hold the flow.
func missed(m Frame, key Key, reason Reason) Verdict {
	if m.Kind != Data {
		return Verdict{Action: Deny, Reason: reason, To: m.Entry, Frame: Frame{Kind: Denied, Key: key}}
	}
	return Verdict{Action: Return, Reason: reason, To: m.Entry, Frame: Frame{Kind: Missed, Entry: m.Entry}}
}

// unknown decides on a packet of a flow that this agent has not seen. While it may
// lack flows of its target, the target itself is asked.
func (a *Agent) unknown(m Frame, p Packet, now time.Duration) Verdict {
	other := m.Service != 0 && a.server.Service != 0 && m.Service != a.server.Service
	if other || now >= a.certainAt {
		return missed(m, p.Key, ReasonNotHeld)
	}
	if a.full() {
		return Verdict{Action: Drop, Reason: ReasonTableFull}
	}
	a.flows[p.Key] = &agentFlow{stage: uncertain, entry: m.Entry, searched: m.Kind == Search, seen: now, born: now}
	return Verdict{Action: Deliver, Reason: ReasonUncertain}
}

func (a *Agent) full() bool { return len(a.flows) >= MaxAgentFlows }

// open decides on an opening packet.
func (a *Agent) open(f *agentFlow, m Frame, p Packet, now time.Duration) Verdict {
	if f != nil && (f.stage == offered || f.stage == answered || f.stage == opened) {
		// A copy, or a flow under a port that was used before: the target knows.
		return Verdict{Action: Deliver, Reason: ReasonHeld}
	}
	if a.refuses(m) != "" {
		return a.accept(f, m, p, now)
	}
	if a.warmup.spent(now) && m.Hops < maxHops && a.anotherTakes(m) {
		return a.handOn(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, ReasonWarmingUp)
	}
	if a.busy(now) || a.warmup.spent(now) {
		return a.queueOpening(m, p.Key, now)
	}
	return a.accept(f, m, p, now)
}

// anotherTakes reports whether an opening can be handed on.
func (a *Agent) anotherTakes(m Frame) bool { return !m.Alternate.IsZero() || len(a.peers) > 0 }

// accept offers a new flow to the target, or hands its opening on.
func (a *Agent) accept(f *agentFlow, m Frame, p Packet, now time.Duration) Verdict {
	if reason := a.refuses(m); reason != "" {
		return a.handOn(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, reason)
	}
	if f == nil && a.full() {
		return a.handOn(m.Alternate, m.Entry, m.Service, m.Hops, p.Key, ReasonTableFull)
	}
	f = &agentFlow{
		stage:     offered,
		entry:     m.Entry,
		alternate: m.Alternate,
		hops:      m.Hops,
		seen:      now,
		born:      now,
	}
	a.flows[p.Key] = f
	a.queue.expect(f, now)
	a.warmup.count(f, now)
	a.live++
	return Verdict{Action: Deliver, Reason: ReasonPlaced}
}

// refuses tells why the target takes no new flow for that frame, or nothing.
func (a *Agent) refuses(m Frame) Reason {
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

// handOn sends an opening packet on to another agent of the service, or tells the
// caller at once that there is none.
func (a *Agent) handOn(alternate, entry Endpoint, service uint64, hops uint8, key Key, reason Reason) Verdict {
	if hops >= maxHops {
		return Verdict{Action: Reset, Reason: ReasonHopLimit}
	}
	to := alternate
	if to.IsZero() && len(a.peers) > 0 && service == a.server.Service {
		to = a.peers[key.Hash(uint64(hops))%uint64(len(a.peers))]
	}
	if to.IsZero() {
		return Verdict{Action: Reset, Reason: reason}
	}
	return Verdict{Action: Send, Reason: reason, To: to, Frame: Frame{
		Kind:    Open,
		Hops:    hops + 1,
		Service: service,
		Entry:   entry,
	}}
}

// FromTarget decides on a packet that the target sent. Its key has the caller's end
// and the public one, as for packets of the caller.
func (a *Agent) FromTarget(p Packet, now time.Duration) (v Verdict, notice *Frame) {
	f := a.flows[p.Key]
	if p.Flags.Has(Returned) {
		return a.returned(f, p, now), nil
	}
	if f == nil {
		if a.full() {
			return Verdict{Action: Reply, Reason: ReasonTableFull}, nil
		}
		// This agent has started after the flow had opened.
		f = &agentFlow{stage: uncertain, born: now}
		a.flows[p.Key] = f
	}
	f.seen = now
	if f.elsewhere && !p.Flags.Has(SYN|ACK) {
		// Only the target that the flow opened with may end it.
		return Verdict{Action: Drop, Reason: ReasonOpenedElsewhere}, nil
	}
	v = Verdict{Action: Reply, Reason: ReasonAnswered}
	v.ResponseTime, v.Opening = f.waited(p, now)
	notice = a.progress(f, p)
	a.answer(f, p, now)
	if p.Flags.Has(FIN) {
		f.targetDone = true
		a.stop(f)
	}
	if p.Flags.Has(RST) {
		a.forget(p.Key, f)
	}
	return v, notice
}

// waited tells how long the target took for its first answer to the opening packet or
// to a request.
func (f *agentFlow) waited(p Packet, now time.Duration) (waited time.Duration, began bool) {
	switch {
	case p.Flags.Has(SYN|ACK) && f.stage == offered:
		return now - f.born, true
	case p.Length > 0 && f.running:
		return now - f.requested, false
	}
	return 0, false
}

// progress follows the flow's stage by a packet of the target. It returns what the
// entry host is to be told, if anything.
func (a *Agent) progress(f *agentFlow, p Packet) *Frame {
	switch {
	case p.Flags.Has(SYN | ACK):
		if f.stage == opened {
			return nil
		}
		f.stage, f.first, f.known = answered, p.Seq, true
		f.elsewhere = false
	case f.stage == uncertain || f.stage == absent:
		f.stage = opened
	default:
		return nil
	}
	if f.entry.IsZero() {
		return nil
	}
	return a.held(f, p.Key)
}

// HeldNotice returns the notice for the entry host that searched for a flow.
func (a *Agent) HeldNotice(key Key) *Frame {
	f := a.flows[key]
	if f == nil || f.stage != opened {
		return nil
	}
	return a.held(f, key)
}

func (a *Agent) held(f *agentFlow, key Key) *Frame {
	m := a.LoadFrame()
	m.Kind = Held
	m.Service = a.server.Service
	m.Entry = f.entry
	m.Key = key
	m.First, m.Known = f.first, f.known
	m.Opened = f.stage == opened
	return &m
}

// returned decides on a packet that the target sent back.
func (a *Agent) returned(f *agentFlow, p Packet, now time.Duration) Verdict {
	if p.Flags.Has(SYN) {
		if f == nil || f.stage != offered {
			return Verdict{Action: Drop, Reason: ReasonRefusedByTarget}
		}
		a.forget(p.Key, f)
		return a.handOn(f.alternate, f.entry, a.server.Service, f.hops, p.Key, ReasonRefusedByTarget)
	}
	if f == nil {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}
	}
	switch f.stage {
	case opened:
		// The target held it and does not any more: it has started anew.
		a.stop(f)
		f.stage, f.seen = absent, now
		return Verdict{Action: Reset, Reason: ReasonLostByTarget}
	case uncertain, offered, answered:
		a.stop(f)
		f.stage, f.seen = absent, now
		asked := Frame{Kind: Data, Entry: f.entry}
		if f.searched {
			asked.Kind = Search
		}
		return missed(asked, p.Key, ReasonNotHeld)
	}
	return Verdict{Action: Drop, Reason: ReasonNotHeld}
}

func (a *Agent) forget(key Key, f *agentFlow) {
	a.stop(f)
	delete(a.flows, key)
}

// Sweep forgets the flows that were idle for longer than idle, and those older than
// age.
func (a *Agent) Sweep(now, idle, age time.Duration) {
	a.advance(now)
	a.warmup.spent(now)
	a.live = 0
	a.registry.sweep(now)
	a.inquiries.sweep(now)
	for key, f := range a.flows {
		limit := idle
		if f.stage == absent && !f.elsewhere {
			limit = absentFor
		}
		if now-f.seen > limit || now-f.born > age {
			a.forget(key, f)
			continue
		}
		if f.running && now-f.requested > stuckAfter {
			a.stop(f)
		}
		if f.stage != absent && !f.callerDone && !f.targetDone {
			a.live++
		}
	}
}
