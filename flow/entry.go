package flow

import (
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

const (
	// MaxEntryFlows bounds the flows in the table of an entry host: twice the share of
	// one of 2,000 entry hosts in 40 million open flows.
	MaxEntryFlows = 40_000
	// searchInterval and maxSearches limit the searches for one flow, since a burst of
	// its packets arrives before the first reply.
	searchInterval = 150 * time.Millisecond
	maxSearches    = 8
	// maxStagedSearches is maxSearches in a large service, where a search takes several
	// packets.
	maxStagedSearches = 4
	// confirmTimeout is how long candidates have to confirm that they hold a flow: the
	// queueing delay of a full link.
	confirmTimeout = time.Second
	// probeTimeout is how long an agent with an expired lease has to reply. It is above
	// an inter-region round trip (80 ms) and below the first retransmission (200 ms).
	probeTimeout = 150 * time.Millisecond
	// maxLastSeen bounds the agents whose last frame is remembered.
	maxLastSeen = 32_768
	// maxBroadcast is the largest service whose agents are all sent a search: 16 copies,
	// some 4 KB, take 8 ms of a link of 4 Mbit/s. In larger services the copies would fill
	// the link that the replies have to come through.
	maxBroadcast = 16
	// maxDenials bounds the agents remembered as not holding one flow.
	maxDenials = 256
)

// Placement is the target chosen for a new flow.
type Placement struct {
	// Agent of the chosen target, and of an alternate one or zero.
	Agent, Alternate Endpoint
	// Service is the hash of the service name.
	Service uint64
}

// Placer chooses targets.
type Placer interface {
	// Place chooses a target, other than avoid if possible, for a new flow to a public
	// address. Without a target the reason is why none was chosen.
	Place(key Key, avoid Endpoint, now time.Duration) (Placement, Reason)
	// Holders appends agents whose targets may hold a flow to that public address, at
	// most limit of them, none if the address has no route.
	Holders(to []Endpoint, public Endpoint, limit int) []Endpoint
	// HeldElsewhere reports whether a flow to that public address may be held by an agent
	// that is neither in denied nor in a list of a service that heldByNone is about.
	HeldElsewhere(public Endpoint, denied []Endpoint, heldByNone []ServiceDenial) bool
	// Registrars appends the agents at which a flow is registered.
	Registrars(to []Endpoint, key Key) []Endpoint
	// Preferred appends the agents that the flow was most likely placed on.
	Preferred(to []Endpoint, key Key) []Endpoint
	// Coordinators appends two agents of each service that may hold the flow. Either
	// looks it up among all agents of its service. Each turn selects other agents, in
	// case both are lost.
	Coordinators(to []Endpoint, key Key, turn int) []Endpoint
	// Ready reports whether routes and targets are known. Before that, nothing can be
	// concluded about unknown flows.
	Ready() bool
	// HasTarget reports whether an agent still has a target, and whether the list of
	// targets is complete.
	HasTarget(agent Endpoint) (known, complete bool)
}

// Entry is the flow table of an entry host.
type Entry struct {
	placer Placer
	// self is the address for replies of agents.
	self  Endpoint
	flows map[Key]*entryFlow
	// all is scratch space for the agents that a packet is sent to.
	all []Endpoint
	// lastSeen is when each agent last sent a frame.
	lastSeen map[Endpoint]time.Duration
	budget   budget
	// throttle limits openings while a service lacks room, nil if nothing is limited.
	throttle Throttle
	// stalls detects stalls once ObserveClock is called regularly. After one, flows may
	// be reset from resetsAllowedAt on.
	stalls          stall.Detector
	clockObserved   bool
	resetsAllowedAt time.Duration
	// group is that of the own failure domain, groupReaders are the agents that read it.
	group        uint8
	groupReaders map[Endpoint]bool
	// confirmation is what the list of services and targets is known by.
	confirmation confirmation
	// longestStall is the longest stall that was not returned by ObserveClock yet.
	longestStall time.Duration
}

// entryFlow is the state of a flow at an entry host.
type entryFlow struct {
	// openingSeq is the sequence number of the caller's opening, valid if openingSeen.
	openingSeq  uint32
	openingSeen bool
	// candidates are the targets that were offered the flow or report holding it.
	candidates [2]candidate
	count      uint8
	// confirmed: candidates[0] holds the flow, as acknowledged by the caller or reported
	// by the agent.
	confirmed   bool
	searchCount uint8
	searchedAt  time.Duration
	// confirmSince is when the candidates were first sent a packet to confirm that they
	// hold the flow, 0 if they were not.
	confirmSince time.Duration
	// probedAt is when an agent with an expired lease was probed, 0 if its lease is valid.
	probedAt time.Duration
	// denied has the agents whose targets do not hold the flow. lastAck is the last
	// acknowledgement of the caller.
	denied  []Endpoint
	lastAck uint32
	// searchedSince is when the search for the flow began, 0 if there is none.
	searchedSince time.Duration
	// holder is the agent that was last named as the holder, locatedBy are those that named it
	// since it last denied the flow.
	holder    Endpoint
	locatedBy []Endpoint
	// heldByNone has the services that an agent reported to have no target that holds it.
	heldByNone []ServiceDenial
	// searchStage is the stage of a staged search, lookupRound counts its rounds of
	// lookups, and stageStart is the start of the stage or round. asked are the agents
	// that the stage was sent to, nil for lookups. probed: an agent had to ask its target.
	searchStage searchStage
	probed      bool
	lookupRound uint8
	stageStart  time.Duration
	asked       []Endpoint
	offers      offers
	lastSeen    time.Duration
	createdAt   time.Duration
}

// candidate is a target that may hold a flow.
type candidate struct {
	agent   Endpoint
	service uint64
	// answered: the target has accepted the opening, with the initial sequence number
	// first.
	answered bool
	first    uint32
}

// NewEntry returns an empty table. Agents reply to self.
func NewEntry(placer Placer, self Endpoint) *Entry {
	return &Entry{
		placer:   placer,
		self:     self,
		flows:    make(map[Key]*entryFlow),
		lastSeen: make(map[Endpoint]time.Duration),
		stalls:   stall.Detector{Threshold: stallThreshold},

		groupReaders: make(map[Endpoint]bool),
	}
}

// SetGroup sets the group of the failure domain of this host, see GroupOf.
func (e *Entry) SetGroup(group uint8) { e.group = group }

// ObserveFrame records from a Held or Load frame whether its sender reads the group in an
// Open.
func (e *Entry) ObserveFrame(m Frame, from Endpoint) {
	switch {
	case m.Kind != Held && m.Kind != Load:
	case !m.ReadsGroup:
		delete(e.groupReaders, from)
	case len(e.groupReaders) < maxLastSeen:
		e.groupReaders[from] = true
	}
}

// Len returns the number of flows.
func (e *Entry) Len() int { return len(e.flows) }

// Packet handles a caller's packet.
func (e *Entry) Packet(p Packet, now time.Duration) Verdict {
	f := e.flows[p.Key]
	if f != nil {
		f.lastSeen = now
	}
	if (f == nil || f.count == 0) && !e.placer.Ready() {
		return Verdict{Action: Wait, Reason: ReasonNotReady}
	}
	if p.IsOpening() {
		return e.handleOpening(f, p, now)
	}
	if f == nil || f.count == 0 {
		return e.search(f, p, now)
	}
	if !f.selectCandidate(p) {
		return e.unconfirmed(f, p, now)
	}
	c := &f.candidates[0]
	v := Verdict{Action: Send, Reason: ReasonKnown, To: c.agent, Frame: Frame{Kind: Data, Service: c.service, Entry: e.self}}
	if e.placer.Ready() {
		e.probe(f, p.Key, &v, now)
	}
	return v
}

// unconfirmed handles a packet of an opened flow without a confirmed candidate: the
// Held frame has not arrived yet, or the flow was opened through another entry host. The
// packet goes to the candidates first. A search starts only after they have denied the
// flow or timed out, since delayed Held frames on a full link would otherwise cause more
// searches. No candidate is assumed to hold the flow: if it were gone the caller would be
// reset.
func (e *Entry) unconfirmed(f *entryFlow, p Packet, now time.Duration) Verdict {
	if f.confirmSince == 0 {
		f.confirmSince = max(now, 1)
	}
	if now-f.confirmSince >= e.confirmTimeoutOf(f) {
		f.count, f.confirmed, f.confirmSince = 0, false, 0
		return e.search(f, p, now)
	}
	e.all = e.all[:0]
	for i := range f.count {
		e.all = append(e.all, f.candidates[i].agent)
	}
	return Verdict{Action: SendAll, Reason: ReasonUnconfirmed, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}}
}

// confirmTimeoutOf returns how long the candidates have to confirm, which is short if
// one of them is gone.
func (e *Entry) confirmTimeoutOf(f *entryFlow) time.Duration {
	for _, c := range f.candidates[:f.count] {
		if known, _ := e.placer.HasTarget(c.agent); !known {
			return searchInterval
		}
	}
	return confirmTimeout
}

// probe changes the verdict on a packet whose target's lease has ended. The packet is
// sent as a search, which an agent always replies to, also if it has only lost contact
// with its control hosts. Without a reply the flow is reset.
func (e *Entry) probe(f *entryFlow, key Key, v *Verdict, now time.Duration) {
	known, complete := e.placer.HasTarget(v.To)
	if known || !complete || !e.MayReset(now) {
		f.probedAt = 0
		return
	}
	if f.probedAt == 0 || e.lastSeen[v.To] >= f.probedAt {
		f.probedAt = max(now, 1)
		v.Frame.Kind, v.Frame.Hops = Search, 1
		e.confirmation.request()
		return
	}
	if now-f.probedAt >= probeTimeout && !e.confirmation.covers(f.probedAt) {
		// The list may be older than the target.
		v.Frame.Kind, v.Frame.Hops = Search, 1
		e.confirmation.request()
		return
	}
	if now-f.probedAt >= probeTimeout {
		delete(e.flows, key)
		*v = Verdict{Action: Reset, Reason: ReasonTargetGone}
	}
}

// MarkSeen records that an agent has sent a frame.
func (e *Entry) MarkSeen(agent Endpoint, now time.Duration) {
	if _, known := e.lastSeen[agent]; known || len(e.lastSeen) < maxLastSeen {
		e.lastSeen[agent] = now
	}
}

// selectCandidate determines which candidate the caller has opened the flow with: the
// first packet after the opening acknowledges that candidate's sequence number. It
// reports whether the flow is confirmed.
func (f *entryFlow) selectCandidate(p Packet) bool {
	for i := range f.count {
		if c := f.candidates[i]; !f.confirmed && c.answered && acknowledges(p.Ack, c.first) {
			f.candidates[0], f.count, f.confirmed = c, 1, true
		}
	}
	return f.confirmed
}

// acknowledges reports whether ack acknowledges only the initial sequence number.
func acknowledges(ack, first uint32) bool { return ack-first <= 1 }

// handleOpening handles an opening packet.
func (e *Entry) handleOpening(f *entryFlow, p Packet, now time.Duration) Verdict {
	if f != nil && f.count > 0 && f.openingSeq == p.Seq && f.openingSeen {
		return e.handleRetransmission(f, p, now)
	}
	placed, reason := e.place(f, p, now)
	if placed.Agent.IsZero() {
		return e.placementFailed(reason, now)
	}
	if f == nil && len(e.flows) >= MaxEntryFlows {
		return Verdict{Action: Drop, Reason: ReasonTableFull}
	}
	f = &entryFlow{openingSeq: p.Seq, openingSeen: true, count: 1, lastSeen: now, createdAt: now}
	f.candidates[0] = candidate{agent: placed.Agent, service: placed.Service}
	f.offers = e.firstOffer(p.Key)
	e.flows[p.Key] = f
	return e.offer(placed, reason)
}

func (e *Entry) placementFailed(reason Reason, now time.Duration) Verdict {
	if reason == ReasonNotReady {
		return Verdict{Action: Wait, Reason: reason}
	}
	if !e.MayReset(now) {
		return Verdict{Action: Wait, Reason: ReasonStalled}
	}
	return Verdict{Action: Reset, Reason: reason}
}

func (e *Entry) offer(placed Placement, reason Reason) Verdict {
	m := Frame{Kind: Open, Service: placed.Service, Entry: e.self, Alternate: placed.Alternate}
	if e.groupReaders[placed.Agent] {
		m.Group = e.group
	}
	return Verdict{Action: Send, Reason: reason, To: placed.Agent, Frame: m}
}

// handleRetransmission handles a retransmitted opening. If the first target has not
// answered it is offered to a second one. If both answer, the caller selects one.
func (e *Entry) handleRetransmission(f *entryFlow, p Packet, now time.Duration) Verdict {
	newest := f.candidates[f.count-1]
	f.offers.count = min(f.offers.count, math.MaxUint8-1) + 1
	if f.confirmed || f.candidates[0].answered || newest.answered || int(f.count) == len(f.candidates) {
		return e.offer(Placement{Agent: newest.agent, Service: newest.service}, ReasonKnown)
	}
	placed, reason := e.placer.Place(p.Key, newest.agent, now)
	if placed.Agent.IsZero() {
		return e.placementFailed(reason, now)
	}
	if placed.Agent != newest.agent {
		f.candidates[f.count] = candidate{agent: placed.Agent, service: placed.Service}
		f.count++
	}
	return e.offer(placed, ReasonPlacedAgain)
}

// Held handles a Held frame.
func (e *Entry) Held(m Frame, from Endpoint, now time.Duration) {
	f := e.flows[m.Key]
	if f == nil {
		if len(e.flows) >= MaxEntryFlows {
			return
		}
		f = &entryFlow{createdAt: now}
		e.flows[m.Key] = f
	}
	f.lastSeen = now
	e.recordAccepted(f, m.Key, now)
	f.searchedSince = 0
	f.denied, f.heldByNone, f.searchStage, f.lookupRound, f.asked, f.probed = nil, nil, 0, 0, nil, false
	c := candidate{agent: from, service: m.Service, answered: true, first: m.First}
	if m.Opened {
		// The caller has selected this target.
		f.candidates[0], f.count, f.confirmed = c, 1, true
		return
	}
	for i := range f.count {
		if f.candidates[i].agent == from {
			c.service = f.candidates[i].service
			f.candidates[i] = c
			return
		}
	}
	if f.confirmed {
		return
	}
	// The opening was forwarded: this agent replaces a candidate that has not answered.
	for i := range f.count {
		if !f.candidates[i].answered {
			f.candidates[i] = c
			return
		}
	}
	if int(f.count) < len(f.candidates) {
		f.candidates[f.count] = c
		f.count++
	}
}

// Missed handles a packet that an agent sent back because it does not hold the flow.
func (e *Entry) Missed(m Frame, p Packet, from Endpoint, now time.Duration) Verdict {
	f := e.flows[p.Key]
	if p.IsOpening() {
		return e.refused(f, m, p, from, now)
	}
	if f != nil {
		f.removeCandidate(from)
		f.recordDenied(from)
		if f.count > 0 {
			c := f.candidates[0]
			return Verdict{Action: Send, Reason: ReasonKnown, To: c.agent, Frame: Frame{Kind: Data, Service: c.service, Entry: e.self}}
		}
		f.confirmed = false
	}
	v := e.search(f, p, now)
	v.All = without(v.All, from)
	if v.Action == SendAll && len(v.All) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}
	}
	return v
}

// refused handles an opening that an agent refused and sent back with a frame, which names
// the agent that this host sent the opening to if that one has handed it on. The flow is reset
// unless another target was offered it or holds it, or one that has room can be offered it. After a
// stall it is not: the opening may be old, and the caller may have opened the flow by a copy that
// another host has passed on.
func (e *Entry) refused(f *entryFlow, m Frame, p Packet, from Endpoint, now time.Duration) Verdict {
	if f == nil || f.confirmed || f.openingSeq != p.Seq {
		return Verdict{Action: Drop, Reason: ReasonKnown}
	}
	first, offered := f.candidates[0], from
	if !m.Alternate.IsZero() {
		offered = m.Alternate
	}
	if f.hasAnswered(offered) {
		// A copy of the opening has reached the target by way of another agent.
		return Verdict{Action: Drop, Reason: ReasonKnown}
	}
	f.removeCandidate(offered)
	e.recordReturned(f, m, p.Key, first.service, from, now)
	if f.count > 0 && !f.returnedByAll() {
		return Verdict{Action: Drop, Reason: ReasonKnown}
	}
	if v, again := e.offerAgain(f, p.Key, first, now); again {
		return v
	}
	delete(e.flows, p.Key)
	if !e.MayReset(now) {
		return Verdict{Action: Drop, Reason: ReasonStalled}
	}
	return Verdict{Action: Reset, Reason: ReasonQueueExpired}
}

// hasAnswered reports whether the target of an agent has accepted the opening.
func (f *entryFlow) hasAnswered(agent Endpoint) bool {
	for _, c := range f.candidates[:f.count] {
		if c.agent == agent && c.answered {
			return true
		}
	}
	return false
}

// removeCandidate removes the candidate of an agent.
func (f *entryFlow) removeCandidate(agent Endpoint) {
	for i := range f.count {
		if f.candidates[i].agent == agent {
			f.candidates[i] = f.candidates[f.count-1]
			f.count--
			return
		}
	}
}

// Sweep removes the flows without packets for longer than idle, and those older than
// age.
func (e *Entry) Sweep(now, idle, age time.Duration) {
	for key, f := range e.flows {
		if now-f.lastSeen > idle || now-f.createdAt > age {
			delete(e.flows, key)
		}
	}
}
