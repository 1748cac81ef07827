package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/stall"
)

const (
	// MaxEntryFlows bounds the flows that an entry host remembers: twice the
	// 40 million open flows of 2,000 entry hosts. A flow takes 204 bytes (BenchmarkEntryPacket).
	MaxEntryFlows = 40_000
	// searchPause and maxSearches bound the searches for one flow: the packets of
	// one burst arrive before an agent has answered.
	searchPause = 150 * time.Millisecond
	maxSearches = 8
	// maxAsks is the same in a large service, where a search takes several packets.
	maxAsks = 4
	// homesPause is how long the targets that were offered a flow have to say which of them
	// has it: as long as a datagram waits before a full link.
	homesPause = time.Second
	// doubtFor is how long an agent whose target's lease has ended has to answer: more
	// than a round trip between two regions, 80 ms. A caller sends its next packet 200
	// ms after the first.
	doubtFor = 150 * time.Millisecond
	// maxHeard bounds the agents whose last word is remembered.
	maxHeard = 32_768
	// smallService is up to how many agents all are asked at once. A packet to 16
	// agents, some 4 KB, takes 8 ms of a link of 4 Mbit/s. In a larger service no packet is
	// ever copied to all: callers send it again as long as they have no answer, and the
	// copies would fill the link that the answers have to come through.
	smallService = 16
	// maxDenials bounds the agents that are remembered for one flow.
	maxDenials = 256
)

// Placement is the choice of a target for a new flow.
type Placement struct {
	// Agent beside the chosen target, Alternate another one, or zero.
	Agent, Alternate Endpoint
	// Service is the hash of the service's name.
	Service uint64
}

// Placer chooses targets.
type Placer interface {
	// Place chooses a target for a new flow to a public address, other than avoid
	// if there is one. The reason tells why there is none.
	Place(key Key, avoid Endpoint, now time.Duration) (Placement, Reason)
	// Holders appends the agents whose targets may hold a flow to that public
	// address. It appends nothing if the address has no route. All tells that no
	// other agent can hold one.
	Holders(to []Endpoint, public Endpoint) (list []Endpoint, all bool)
	// Registrars appends the agents that know where a flow lives.
	Registrars(to []Endpoint, key Key) []Endpoint
	// Coordinators appends two agents of each service that may have the flow, either of
	// which asks all others of its service about it. Another turn names others, in case
	// that both are lost.
	Coordinators(to []Endpoint, key Key, turn int) []Endpoint
	// ServiceAgents appends the agents of an agent's service, itself included.
	ServiceAgents(to []Endpoint, agent Endpoint) []Endpoint
	// Ready reports whether routes and targets are known. Before that nothing can be
	// said of a flow that is not known.
	Ready() bool
	// HasTarget reports whether there is still a target beside an agent. Whole tells that
	// the list of targets has all that there are.
	HasTarget(agent Endpoint) (known, whole bool)
}

// Entry remembers where the flows live that pass through one entry host.
type Entry struct {
	placer Placer
	// self is where agents answer.
	self  Endpoint
	flows map[Key]*entryFlow
	all   []Endpoint
	// fellows and excused are scratch space of nowhere.
	fellows []Endpoint
	excused map[Endpoint]bool
	// heard is when each agent was heard last.
	heard  map[Endpoint]time.Duration
	budget budget
	// stalls notices that this host stood still, once it is looked at regularly. Until
	// settled the host may know less than others.
	stalls  stall.Detector
	looks   bool
	settled time.Duration
	// stood is the longest standstill that was not reported yet.
	stood time.Duration
}

// entryFlow is what an entry host knows of a flow.
type entryFlow struct {
	// opening is the number of the caller's opening packet, began tells whether it
	// was seen here.
	opening uint32
	began   bool
	// homes are the targets that were offered the flow, or said to hold it.
	homes [2]home
	count uint8
	// opened: the caller has acknowledged homes[0], or its agent says that it has the flow.
	opened   bool
	searches uint8
	searched time.Duration
	// asked is when the homes were asked first whether one of them has the flow.
	asked time.Duration
	// doubted is when a packet was sent to a target whose lease has ended, 0 if the
	// target is known.
	doubted time.Duration
	// denied has the agents whose targets do not hold the flow, ack is what the
	// caller has acknowledged last.
	denied []Endpoint
	ack    uint32
	// cleared has the agents by whose word no target of their services holds the flow.
	cleared []Endpoint
	// round counts the ways of searching a large service so far, askedOf lists the
	// agents that should know where the flow lives until the others are asked.
	round   uint8
	roundAt time.Duration
	askedOf []Endpoint
	seen    time.Duration
	born    time.Duration
}

// home is a target that may hold a flow.
type home struct {
	agent   Endpoint
	service uint64
	// answered: the agent told that its target answered, with first as its first
	// number.
	answered bool
	first    uint32
}

// NewEntry returns an empty table. Agents answer to self.
func NewEntry(placer Placer, self Endpoint) *Entry {
	return &Entry{
		placer:  placer,
		self:    self,
		flows:   make(map[Key]*entryFlow),
		heard:   make(map[Endpoint]time.Duration),
		excused: make(map[Endpoint]bool),
		stalls:  stall.Detector{Threshold: standstill},
	}
}

// Len returns the number of flows.
func (e *Entry) Len() int { return len(e.flows) }

// Packet decides on a caller's packet.
func (e *Entry) Packet(p Packet, now time.Duration) Verdict {
	f := e.flows[p.Key]
	if f != nil {
		f.seen = now
	}
	if (f == nil || f.count == 0) && !e.placer.Ready() {
		return Verdict{Action: Wait, Reason: ReasonNotReady}
	}
	if p.IsOpening() {
		return e.open(f, p, now)
	}
	if f == nil || f.count == 0 {
		return e.search(f, p, now)
	}
	if !f.settle(p) {
		return e.unconfirmed(f, p, now)
	}
	h := &f.homes[0]
	v := Verdict{Action: Send, Reason: ReasonKnown, To: h.agent, Frame: Frame{Kind: Data, Service: h.service, Entry: e.self}}
	if e.placer.Ready() {
		e.doubt(f, p.Key, &v, now)
	}
	return v
}

// unconfirmed decides on a packet of an open flow of which no home is known to have it.
// Either the agent's word is on its way, or the flow opened through another entry host: the
// homes are asked, and all agents if none of them answers for long or all have denied it:
// an answer that waits before a full link would otherwise make every flow that opens cost a
// search, which keeps the link full. An agent delivers nothing that acknowledges another
// target. Taken for the flow's target, a home that is gone would have its caller told so.
func (e *Entry) unconfirmed(f *entryFlow, p Packet, now time.Duration) Verdict {
	if f.asked == 0 {
		f.asked = max(now, 1)
	}
	if now-f.asked >= e.patience(f) {
		f.count, f.opened, f.asked = 0, false, 0
		return e.search(f, p, now)
	}
	e.all = e.all[:0]
	for i := range f.count {
		e.all = append(e.all, f.homes[i].agent)
	}
	return Verdict{Action: SendAll, Reason: ReasonUnconfirmed, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}}
}

// patience is how long the homes of a flow have to say whether they have it: not long if one
// of them is gone.
func (e *Entry) patience(f *entryFlow) time.Duration {
	for _, h := range f.homes[:f.count] {
		if known, _ := e.placer.HasTarget(h.agent); !known {
			return searchPause
		}
	}
	return homesPause
}

// doubt changes what becomes of a packet whose target's lease has ended. It is sent as
// a search, which an agent always answers: one that only lost its control hosts says
// that it holds the flow. Where the agent says nothing, the target is gone.
func (e *Entry) doubt(f *entryFlow, key Key, v *Verdict, now time.Duration) {
	known, whole := e.placer.HasTarget(v.To)
	if known || !whole || !e.MayReset(now) {
		f.doubted = 0
		return
	}
	if f.doubted == 0 || e.heard[v.To] >= f.doubted {
		f.doubted = max(now, 1)
		v.Frame.Kind, v.Frame.Hops = Search, 1
		return
	}
	if now-f.doubted >= doubtFor {
		delete(e.flows, key)
		*v = Verdict{Action: Reset, Reason: ReasonTargetGone}
	}
}

// MarkSeen notes that an agent has sent something.
func (e *Entry) MarkSeen(agent Endpoint, now time.Duration) {
	if _, known := e.heard[agent]; known || len(e.heard) < maxHeard {
		e.heard[agent] = now
	}
}

// Located takes in where an agent has heard that a flow lives. The packet that was
// searched with is on its way there.
func (e *Entry) Located(m Frame, now time.Duration) {
	f := e.flows[m.Key]
	if f == nil || f.count > 0 {
		return
	}
	f.seen, f.askedOf = now, nil
	f.homes[0], f.count, f.opened = home{agent: m.Alternate}, 1, true
	f.doubted = max(now, 1)
}

// settle decides which of its homes the caller opened the flow with: the first packet
// after the opening acknowledges the number of one of them. It reports whether that is
// known.
func (f *entryFlow) settle(p Packet) bool {
	for i := range f.count {
		if h := f.homes[i]; !f.opened && h.answered && acknowledges(p.Ack, h.first) {
			f.homes[0], f.count, f.opened = h, 1, true
		}
	}
	return f.opened
}

// acknowledges reports whether ack is that of a caller that has seen nothing of its
// peer but the first number.
func acknowledges(ack, first uint32) bool { return ack-first <= 1 }

// open decides on an opening packet.
func (e *Entry) open(f *entryFlow, p Packet, now time.Duration) Verdict {
	if f != nil && f.count > 0 && f.opening == p.Seq && f.began {
		return e.again(f, p, now)
	}
	placed, reason := e.placer.Place(p.Key, Endpoint{}, now)
	if placed.Agent.IsZero() {
		return e.unplaced(reason, now)
	}
	if f == nil && len(e.flows) >= MaxEntryFlows {
		return Verdict{Action: Drop, Reason: ReasonTableFull}
	}
	f = &entryFlow{opening: p.Seq, began: true, count: 1, seen: now, born: now}
	f.homes[0] = home{agent: placed.Agent, service: placed.Service}
	e.flows[p.Key] = f
	return e.offer(placed, reason)
}

func (e *Entry) unplaced(reason Reason, now time.Duration) Verdict {
	if reason == ReasonNotReady {
		return Verdict{Action: Wait, Reason: reason}
	}
	if !e.MayReset(now) {
		return Verdict{Action: Wait, Reason: ReasonStalled}
	}
	return Verdict{Action: Reset, Reason: reason}
}

func (e *Entry) offer(placed Placement, reason Reason) Verdict {
	return Verdict{Action: Send, Reason: reason, To: placed.Agent, Frame: Frame{
		Kind:      Open,
		Service:   placed.Service,
		Entry:     e.self,
		Alternate: placed.Alternate,
	}}
}

// again decides on a copy of an opening packet. The first target has had as long as
// the caller waits between two copies, so if it did not answer, another one is
// asked: should both answer, the caller settles it.
func (e *Entry) again(f *entryFlow, p Packet, now time.Duration) Verdict {
	newest := f.homes[f.count-1]
	if f.opened || f.homes[0].answered || newest.answered || int(f.count) == len(f.homes) {
		return e.offer(Placement{Agent: newest.agent, Service: newest.service}, ReasonKnown)
	}
	placed, reason := e.placer.Place(p.Key, newest.agent, now)
	if placed.Agent.IsZero() {
		return e.unplaced(reason, now)
	}
	if placed.Agent != newest.agent {
		f.homes[f.count] = home{agent: placed.Agent, service: placed.Service}
		f.count++
	}
	return e.offer(placed, ReasonPlacedAgain)
}

// Held takes in what an agent says of a flow that it holds.
func (e *Entry) Held(m Frame, from Endpoint, now time.Duration) {
	f := e.flows[m.Key]
	if f == nil {
		if len(e.flows) >= MaxEntryFlows {
			return
		}
		f = &entryFlow{born: now}
		e.flows[m.Key] = f
	}
	f.seen = now
	f.denied, f.cleared, f.round, f.askedOf = nil, nil, 0, nil
	h := home{agent: from, service: m.Service, answered: true, first: m.First}
	if m.Opened {
		// The caller itself has settled it.
		f.homes[0], f.count, f.opened = h, 1, true
		return
	}
	for i := range f.count {
		if f.homes[i].agent == from {
			h.service = f.homes[i].service
			f.homes[i] = h
			return
		}
	}
	if f.opened {
		return
	}
	// The opening packet was handed on: whoever answers takes the place of one
	// that did not.
	for i := range f.count {
		if !f.homes[i].answered {
			f.homes[i] = h
			return
		}
	}
	if int(f.count) < len(f.homes) {
		f.homes[f.count] = h
		f.count++
	}
}

// Missed decides on a packet that an agent sent back because it does not hold the
// flow.
func (e *Entry) Missed(p Packet, from Endpoint, now time.Duration) Verdict {
	f := e.flows[p.Key]
	if p.IsOpening() {
		return e.waitedInVain(f, p, from)
	}
	if f != nil {
		f.drop(from)
		if !contains(f.denied, from) && len(f.denied) < maxDenials {
			f.denied = append(f.denied, from)
		}
		if f.count > 0 {
			h := f.homes[0]
			return Verdict{Action: Send, Reason: ReasonKnown, To: h.agent, Frame: Frame{Kind: Data, Service: h.service, Entry: e.self}}
		}
		f.opened = false
	}
	v := e.search(f, p, now)
	v.All = without(v.All, from)
	if v.Action == SendAll && len(v.All) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}
	}
	return v
}

// waitedInVain decides on an opening packet that a target had no room for. Its caller is
// told at once, unless another target was offered the flow or has it.
func (e *Entry) waitedInVain(f *entryFlow, p Packet, from Endpoint) Verdict {
	if f == nil || f.opened || f.opening != p.Seq {
		return Verdict{Action: Drop, Reason: ReasonKnown}
	}
	f.drop(from)
	if f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}
	}
	delete(e.flows, p.Key)
	return Verdict{Action: Reset, Reason: ReasonQueueExpired}
}

// drop forgets one home.
func (f *entryFlow) drop(agent Endpoint) {
	for i := range f.count {
		if f.homes[i].agent == agent {
			f.homes[i] = f.homes[f.count-1]
			f.count--
			return
		}
	}
}

// Sweep forgets the flows that were idle for longer than idle, and those older than
// age.
func (e *Entry) Sweep(now, idle, age time.Duration) {
	for key, f := range e.flows {
		if now-f.seen > idle || now-f.born > age {
			delete(e.flows, key)
		}
	}
}
