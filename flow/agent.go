package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/capacitystate"
	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/servicetime"
)

const (
	// MaxAgentFlows bounds the flows of an agent: several times what a backend server
	// takes.
	MaxAgentFlows = 16_384
	// notHeldFor is how long an agent remembers that its target does not hold a
	// flow. It exceeds the longest retransmission interval, 1.6 s.
	notHeldFor = 4 * time.Second
	// maxAcknowledged bounds the bytes that a caller may have acknowledged on a flow that an agent
	// finds open after its start: more than flows carry in their lifetime, and rare among the
	// random initial sequence numbers of two targets.
	maxAcknowledged = 1 << 22
	// maxHops bounds how often an opening is forwarded.
	maxHops = 3
	// requestTimeout is when a request without a response no longer counts as in
	// progress.
	requestTimeout = 10 * time.Second
)

// State is the availability of an agent's target for new flows.
type State uint8

// States of a target.
const (
	// Absent: no backend server has reported yet, or it has stopped.
	Absent State = iota
	// Serving: the target takes new flows.
	Serving
	// Draining: the target keeps its flows and takes no new ones.
	Draining
)

// Server is the state of an agent's target.
type Server struct {
	State State
	// Service is the hash of the service name.
	Service uint64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Number and Incarnation identify the target, zero until it is registered.
	Number, Incarnation uint32
	// Unhealthy: the agent considers the target unhealthy.
	Unhealthy bool
	// Evacuated: the failure domain takes no new flows. The target keeps its flows.
	Evacuated bool
}

// Agent holds the flows of one target.
type Agent struct {
	known  completeness
	server Server
	// incarnation is the last one of the target that was registered.
	incarnation uint32
	classes     Classes
	// mostUrgent is the most urgent of classes.
	mostUrgent qos.Class
	// peers are the agents of the other targets of the service that take new flows.
	// serviceAgents are those of all its targets, including self. pending has its changes
	// since the last registrations. serviceNumber is that of the service.
	peers         []Endpoint
	serviceAgents agentList
	serviceNumber uint32
	self          Endpoint
	pending       listChange
	registry      registry
	queue         queue
	waiting       waiting
	warmup        warmup
	capacity      capacitystate.Tracker
	lookups       lookups
	// due is reused between calls.
	due   []Registration
	flows map[Key]*agentFlow
	// evicted counts the flows that were evicted since the last TakeEvicted.
	evicted int
	// activeFlows is the number of flows that may carry requests, as of the last sweep.
	activeFlows int
	// running is the number of requests in progress, average its moving average as of
	// averagedAt.
	running    int
	average    float64
	averagedAt time.Duration
	// work has the service times and the expected work, peerStates what other agents report.
	work       work
	peerStates peerStates
}

type stage uint8

const (
	// stageOffered: the opening was delivered to the target.
	stageOffered stage = iota
	// stageAnswered: the target has accepted the opening.
	stageAnswered
	// stageOpened: the caller has acknowledged the target's reply, or later packets of
	// the target show that it has.
	stageOpened
	// stageUncertain: a later packet was delivered, but the target may not hold the flow.
	stageUncertain
	// stageNotHeld: the target does not hold the flow.
	stageNotHeld
)

// agentFlow is the state of a flow at its agent.
type agentFlow struct {
	stage stage
	// firstSeq is the initial sequence number of the target, if firstKnown.
	firstSeq   uint32
	firstKnown bool
	// openedElsewhere: the caller has opened the flow with another target, but this one
	// may still hold a half-open flow.
	openedElsewhere bool
	// openingSeq is the sequence number of the opening, 0 if unknown: one that has waited, or
	// that came before the agent started.
	openingSeq uint32
	// fromSearch: the last packet came from a search.
	fromSearch bool
	// entry is the sender of the flow's last frame.
	entry     Endpoint
	alternate Endpoint
	hops      uint8
	// group is that of the caller's failure domain.
	group uint8
	// requestedAt is when the request in progress arrived, valid if running.
	requestedAt time.Duration
	running     bool
	request     servicetime.Request
	// nextSeq is the sequence number after the caller's last byte, valid if dataSeen.
	nextSeq  uint32
	dataSeen bool
	// callerDone and targetDone: that end has closed its direction.
	callerDone, targetDone bool
	// registeredAt is when the flow was last registered at all of its registrars, 0 if it
	// was not.
	registeredAt time.Duration
	registrars   registrarSet
	lastSeen     time.Duration
	createdAt    time.Duration
}

// NewAgent returns the state of an agent that starts now.
func NewAgent(now time.Duration) *Agent {
	a := &Agent{
		known:      completeness{since: now},
		averagedAt: now,
		flows:      make(map[Key]*agentFlow),
		waiting:    newWaiting(),
		warmup:     warmup{incompleteUntil: now + warmupWindow},
		work:       newWork(now),
	}
	a.SetServiceTimes(a)
	return a
}

// Len returns the number of flows.
func (a *Agent) Len() int { return len(a.flows) }

// SetServiceNumber sets the number of the service whose targets SetPeers lists.
func (a *Agent) SetServiceNumber(number uint32) { a.serviceNumber = number }

// Server returns the state of the target.
func (a *Agent) Server() Server { return a.server }

// SetServer sets the state of the target.
func (a *Agent) SetServer(s Server) {
	a.waiting.recheck = a.waiting.recheck || s != a.server
	a.forgetRequests(s)
	a.server = s
}

// FromEntry handles a caller's packet that an entry host or another agent sent.
func (a *Agent) FromEntry(m Frame, p Packet, now time.Duration) Verdict {
	a.work.observe(now)
	f := a.flows[p.Key]
	if f != nil {
		f.lastSeen = now
		f.entry = m.Entry
		f.fromSearch = m.Kind == Search
	}
	if m.Kind == Open {
		return a.withGroup(a.handleOpening(f, m, p, now), m.Group)
	}
	a.queue.drop(p.Key)
	a.waiting.dropOpening(p.Key)
	if f == nil || f.stage == stageNotHeld {
		if to := a.registry.holder(p.Key); m.Kind == Search && m.Hops == 0 && !to.IsZero() {
			m.Hops++
			return Verdict{Action: Send, Reason: ReasonRegistered, To: to, Frame: m, Holder: to}
		}
	}
	if f == nil {
		return a.handleUnknown(m, p, now)
	}
	switch f.stage {
	case stageNotHeld:
		return notHeldVerdict(m, p.Key, ReasonNotHeld)
	case stageAnswered:
		if f.firstKnown && !a.mayAcknowledge(f, p, now) && !p.Flags.Has(SYN) {
			a.openedElsewhere(f)
			return notHeldVerdict(m, p.Key, ReasonOpenedElsewhere)
		}
		f.stage = stageOpened
	case stageOffered:
		// The target's reply may have been lost, but the caller cannot acknowledge it
		// before it was sent.
		a.openedElsewhere(f)
		return notHeldVerdict(m, p.Key, ReasonOpenedElsewhere)
	}
	if v, held := a.holdRequest(f, p, now); held {
		return v
	}
	a.startRequest(f, p, now)
	if p.Flags.Has(FIN) || p.Flags.Has(RST) {
		// A caller that closes the flow no longer waits for a response.
		f.callerDone = true
		a.endRequest(f)
	}
	return Verdict{Action: Deliver, Reason: ReasonHeld}
}

// mayAcknowledge reports whether a caller's packet may belong to the flow that the target has
// accepted. While this agent may not know all flows, a late copy of an opening may have met a
// flow that has been open for long, whose caller has sent and acknowledged data since.
func (a *Agent) mayAcknowledge(f *agentFlow, p Packet, now time.Duration) bool {
	if acknowledges(p.Ack, f.firstSeq) {
		return true
	}
	sentBefore := f.openingSeq != 0 && int32(p.Seq-f.openingSeq) > 1
	return !a.known.complete(now) && sentBefore && p.Ack-f.firstSeq <= maxAcknowledged
}

// openedElsewhere records that the caller has opened a flow with another target. The
// flow is kept while the own target may hold a half-open flow: the target would accept
// packets that are meant for the other one.
func (a *Agent) openedElsewhere(f *agentFlow) {
	a.endRequest(f)
	f.stage, f.openedElsewhere = stageNotHeld, true
}

// notHeldVerdict returns a packet to the entry host, or denies the flow if the packet
// came from a search.
func notHeldVerdict(m Frame, key Key, reason Reason) Verdict {
	if m.Kind != Data {
		return Verdict{Action: Deny, Reason: reason, To: m.Entry, Frame: Frame{Kind: Denied, Key: key}}
	}
	return Verdict{Action: Return, Reason: reason, To: m.Entry, Frame: Frame{Kind: Missed, Entry: m.Entry}}
}

// handleUnknown handles a packet of a flow that this agent has not seen. While the
// agent's table may be incomplete, the packet is delivered to the target.
func (a *Agent) handleUnknown(m Frame, p Packet, now time.Duration) Verdict {
	other := m.Service != 0 && a.server.Service != 0 && m.Service != a.server.Service
	if other || a.known.complete(now) {
		return notHeldVerdict(m, p.Key, ReasonNotHeld)
	}
	if !a.makeRoom(now) {
		return Verdict{Action: Drop, Reason: ReasonTableFull}
	}
	a.flows[p.Key] = &agentFlow{stage: stageUncertain, entry: m.Entry, fromSearch: m.Kind == Search, lastSeen: now, createdAt: now}
	return Verdict{Action: Deliver, Reason: ReasonUncertain}
}

// FromTarget handles a packet that the target sent. Its key has the caller's endpoint
// and the public one, as for packets of the caller.
func (a *Agent) FromTarget(p Packet, now time.Duration) (v Verdict, notice *Frame) {
	a.work.observe(now)
	f := a.flows[p.Key]
	if p.Flags.Has(Returned) {
		return a.handleReturned(f, p, now), nil
	}
	if f == nil {
		if !a.makeRoom(now) {
			a.known.missed(now)
			return Verdict{Action: Reply, Reason: ReasonTableFull}, nil
		}
		// The agent has started after the flow was opened.
		f = &agentFlow{stage: stageUncertain, createdAt: now}
		a.flows[p.Key] = f
	}
	f.lastSeen = now
	if f.openedElsewhere && !p.Flags.Has(SYN|ACK) {
		// Only the target that the flow was opened with may end it.
		return Verdict{Action: Drop, Reason: ReasonOpenedElsewhere}, nil
	}
	v = Verdict{Action: Reply, Reason: ReasonAnswered}
	v.ResponseTime, v.Opening = f.responseTime(p, now)
	notice = a.updateStage(f, p)
	a.finishRequest(f, p, now)
	if p.Flags.Has(FIN) {
		f.targetDone = true
		a.endRequest(f)
	}
	if p.Flags.Has(RST) {
		a.removeFlow(p.Key, f)
	}
	return v, notice
}

// responseTime returns how long the target took for its first reply to the opening or
// to a request.
func (f *agentFlow) responseTime(p Packet, now time.Duration) (responseTime time.Duration, opening bool) {
	switch {
	case p.Flags.Has(SYN|ACK) && f.stage == stageOffered:
		return now - f.createdAt, true
	case p.Length > 0 && f.running:
		return now - f.requestedAt, false
	}
	return 0, false
}

// updateStage advances the flow's stage by a packet of the target. It returns the
// notice to be sent to the entry host, if any.
func (a *Agent) updateStage(f *agentFlow, p Packet) *Frame {
	switch {
	case p.Flags.Has(SYN | ACK):
		if f.stage == stageOpened {
			return nil
		}
		f.stage, f.firstSeq, f.firstKnown = stageAnswered, p.Seq, true
		f.openedElsewhere = false
	case f.stage == stageUncertain || f.stage == stageNotHeld:
		f.stage = stageOpened
	default:
		return nil
	}
	if f.entry.IsZero() {
		return nil
	}
	return a.heldNotice(f, p.Key)
}

// HeldNotice returns the notice for the entry host that searches for a flow.
func (a *Agent) HeldNotice(key Key) *Frame {
	f := a.flows[key]
	if f == nil || f.stage != stageOpened {
		return nil
	}
	return a.heldNotice(f, key)
}

func (a *Agent) heldNotice(f *agentFlow, key Key) *Frame {
	m := a.LoadFrame()
	m.Kind = Held
	m.Service = a.server.Service
	m.Entry = f.entry
	m.Key = key
	m.First, m.Known = f.firstSeq, f.firstKnown
	m.Opened = f.stage == stageOpened
	return &m
}

// handleReturned handles a packet that the target sent back.
func (a *Agent) handleReturned(f *agentFlow, p Packet, now time.Duration) Verdict {
	if p.Flags.Has(SYN) {
		if f == nil || f.stage != stageOffered {
			return Verdict{Action: Drop, Reason: ReasonRefusedByTarget}
		}
		a.removeFlow(p.Key, f)
		return a.withGroup(a.forward(f.alternate, f.entry, a.server.Service, f.hops, p.Key, ReasonRefusedByTarget), f.group)
	}
	if f == nil {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}
	}
	a.waiting.remove(p.Key)
	switch f.stage {
	case stageOpened:
		// The target held the flow and has restarted since.
		a.endRequest(f)
		f.stage, f.lastSeen = stageNotHeld, now
		return Verdict{Action: Reset, Reason: ReasonLostByTarget}
	case stageUncertain, stageOffered, stageAnswered:
		a.endRequest(f)
		f.stage, f.lastSeen = stageNotHeld, now
		origin := Frame{Kind: Data, Entry: f.entry}
		if f.fromSearch {
			origin.Kind = Search
		}
		v := notHeldVerdict(origin, p.Key, ReasonNotHeld)
		v.Frame.Probed = v.Action == Deny && !a.known.complete(now)
		return v
	}
	return Verdict{Action: Drop, Reason: ReasonNotHeld}
}

func (a *Agent) removeFlow(key Key, f *agentFlow) {
	a.endRequest(f)
	a.waiting.remove(key)
	delete(a.flows, key)
}

// Sweep removes the flows without packets for longer than idle, and those older than
// age. Flows that are not open at both ends are not kept for longer than shortIdle.
func (a *Agent) Sweep(now, idle, age time.Duration) {
	a.updateAverage(now)
	a.warmup.refuse(now)
	a.activeFlows = 0
	elapsed := a.sweepWork(now)
	a.registry.sweep(now)
	a.lookups.sweep(now)
	for key, f := range a.flows {
		limit := idle
		switch {
		case f.stage == stageNotHeld && !f.openedElsewhere:
			limit = notHeldFor
		case f.stage != stageOpened || f.callerDone || f.targetDone:
			limit = min(idle, shortIdle)
		}
		if now-f.lastSeen > limit || now-f.createdAt > age {
			a.removeFlow(key, f)
			continue
		}
		if f.running && now-f.requestedAt > requestTimeout {
			a.endRequest(f)
		}
		if f.stage != stageNotHeld && !f.callerDone && !f.targetDone {
			a.activeFlows++
			a.work.times.CountFlow(key.Public, elapsed, now)
		}
	}
	a.work.openFlows = a.work.times.OpenFlows()
}
