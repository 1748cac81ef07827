package flow

import "time"

const (
	// MaxEntryFlows bounds the flows that an entry host remembers: twice the
	// 40 million open flows of 2,000 entry hosts. A flow takes some 90 bytes.
	MaxEntryFlows = 40_000
	// searchPause and maxSearches bound the searches for one flow: the packets of
	// one burst arrive before an agent has answered.
	searchPause = 150 * time.Millisecond
	maxSearches = 8
	// smallService is up to how many agents all are asked at once. A packet to 16
	// agents, some 4 KB, takes 8 ms of a link of 4 Mbit/s.
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
	// Ready reports whether routes and targets are known. Before that nothing can be
	// said of a flow that is not known.
	Ready() bool
	// Knows reports whether there is still a target beside an agent.
	Knows(agent Endpoint) bool
}

// Action tells what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop: nothing.
	Drop Action = iota
	// Send the packet to one agent.
	Send
	// SendAll: send the packet to several agents.
	SendAll
	// Reset: tell the caller that the flow is gone or was never opened.
	Reset
	// Deliver the packet to the own target.
	Deliver
	// Return the packet to the entry host.
	Return
	// Reply: send the target's packet to the caller.
	Reply
	// Deny: tell the entry host that the target does not hold the flow.
	Deny
	// Wait: keep the packet until the host is ready.
	Wait
)

// Reason tells what decided an action.
type Reason string

// Reasons.
const (
	ReasonPlaced      Reason = "placed"
	ReasonPlacedAnew  Reason = "placed_anew"
	ReasonKnown       Reason = "known"
	ReasonUnknown     Reason = "unknown_flow"
	ReasonNotReady    Reason = "not_ready"
	ReasonNoRoute     Reason = "no_route"
	ReasonNoTarget    Reason = "no_target"
	ReasonSearches    Reason = "searches_spent"
	ReasonTableFull   Reason = "table_full"
	ReasonHeld        Reason = "held"
	ReasonUncertain   Reason = "uncertain"
	ReasonElsewhere   Reason = "opened_elsewhere"
	ReasonNotHeld     Reason = "not_held"
	ReasonService     Reason = "other_service"
	ReasonLeaving     Reason = "leaving"
	ReasonNoServer    Reason = "no_backend_server"
	ReasonRefused     Reason = "refused_by_target"
	ReasonHops        Reason = "hops_spent"
	ReasonLost        Reason = "lost_by_target"
	ReasonAnswered    Reason = "answered"
	ReasonHeldNowhere Reason = "held_nowhere"
	ReasonRegistered  Reason = "registered"
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// To is the receiver of Send. All has those of SendAll, valid until the next
	// call.
	To  Endpoint
	All []Endpoint
	// Frame is the header for Send, SendAll and Return.
	Frame Frame
	// Keep asks for a copy of the packet until it is known who holds its flow. Kept
	// stands for that copy, in place of a packet.
	Keep, Kept bool
}

// Entry remembers where the flows live that pass through one entry host.
type Entry struct {
	placer Placer
	// self is where agents answer.
	self  Endpoint
	flows map[Key]*entryFlow
	all   []Endpoint
}

// entryFlow is what an entry host knows of a flow.
type entryFlow struct {
	// opening is the number of the caller's opening packet, copied tells whether
	// it was seen.
	opening uint32
	began   bool
	// homes are the targets that were offered the flow, or said to hold it.
	homes [2]home
	count uint8
	// opened: the caller has acknowledged homes[0].
	opened   bool
	searches uint8
	searched time.Duration
	// denied has the agents whose targets do not hold the flow, ack is what the
	// caller has acknowledged last.
	denied []Endpoint
	ack    uint32
	// asked: the agents that know where the flow lives were asked, askedOf lists them
	// until the others are.
	asked   bool
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
	return &Entry{placer: placer, self: self, flows: make(map[Key]*entryFlow)}
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
	if p.Opens() {
		return e.open(f, p, now)
	}
	if f == nil || f.count == 0 {
		return e.search(f, p, now)
	}
	e.settle(f, p)
	if e.placer.Ready() && !e.placer.Knows(f.homes[0].agent) {
		// The lease of its target has ended. Should the flow live all the same, its
		// agent answers the search.
		f.count = 0
		return e.search(f, p, now)
	}
	h := &f.homes[0]
	return Verdict{Action: Send, Reason: ReasonKnown, To: h.agent, Frame: Frame{Kind: Data, Service: h.service, Entry: e.self}}
}

// settle decides which of two targets the caller opened the flow with: the first
// packet after the opening acknowledges the number of one of them.
func (e *Entry) settle(f *entryFlow, p Packet) {
	if f.opened {
		return
	}
	f.opened = true
	if f.count < 2 {
		return
	}
	for i := range f.homes {
		if h := f.homes[i]; h.answered && acknowledges(p.Ack, h.first) {
			f.homes[0], f.count = h, 1
			return
		}
	}
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
		return unplaced(reason)
	}
	if f == nil && len(e.flows) >= MaxEntryFlows {
		return Verdict{Action: Drop, Reason: ReasonTableFull}
	}
	f = &entryFlow{opening: p.Seq, began: true, count: 1, seen: now, born: now}
	f.homes[0] = home{agent: placed.Agent, service: placed.Service}
	e.flows[p.Key] = f
	return e.offer(placed, ReasonPlaced)
}

func unplaced(reason Reason) Verdict {
	if reason == ReasonNotReady {
		return Verdict{Action: Wait, Reason: reason}
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
		return unplaced(reason)
	}
	if placed.Agent != newest.agent {
		f.homes[f.count] = home{agent: placed.Agent, service: placed.Service}
		f.count++
	}
	return e.offer(placed, ReasonPlacedAnew)
}

// search sends a packet to all agents that may hold its flow.
func (e *Entry) search(f *entryFlow, p Packet, now time.Duration) Verdict {
	if p.Flags.Has(RST) {
		// There is nobody to tell but the holder, who does not need to know.
		return Verdict{Action: Drop, Reason: ReasonUnknown}
	}
	e.all, _ = e.placer.Holders(e.all[:0], p.Key.Public)
	if len(e.all) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNoRoute}
	}
	if f == nil {
		if len(e.flows) >= MaxEntryFlows {
			return Verdict{Action: Drop, Reason: ReasonTableFull}
		}
		f = &entryFlow{seen: now, born: now, searched: now}
		e.flows[p.Key] = f
	}
	if now-f.searched >= searchPause {
		f.searched, f.searches = now, 0
	}
	if f.searches >= maxSearches {
		return Verdict{Action: Drop, Reason: ReasonSearches}
	}
	f.searches++
	f.ack = p.Ack
	if len(e.all) > smallService && !f.asked {
		// A second packet means that those did not know, or did not answer.
		f.asked = true
		e.all = e.placer.Registrars(e.all[:0], p.Key)
		f.askedOf = append(f.askedOf[:0], e.all...)
		return Verdict{Action: SendAll, Reason: ReasonRegistered, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}, Keep: true}
	}
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}}
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
	f.denied, f.asked, f.askedOf = nil, false, nil
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

// Denied decides on a flow that an agent's target does not hold. Once all that could
// hold it have said so, its caller is told at once that it is gone. The packet stands
// for the caller's last one.
func (e *Entry) Denied(key Key, from Endpoint) (Verdict, Packet) {
	f := e.flows[key]
	if f == nil || f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}, Packet{}
	}
	if !contains(f.denied, from) && len(f.denied) < maxDenials {
		f.denied = append(f.denied, from)
	}
	if f.askedOf != nil {
		return e.widen(f, key)
	}
	var all bool
	e.all, all = e.placer.Holders(e.all[:0], key.Public)
	if !all || len(e.all) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
	}
	for _, agent := range e.all {
		if !contains(f.denied, agent) {
			return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
		}
	}
	delete(e.flows, key)
	return Verdict{Action: Reset, Reason: ReasonHeldNowhere}, Packet{Key: key, Ack: f.ack}
}

// widen asks all agents once those that should know where a flow lives have denied it.
func (e *Entry) widen(f *entryFlow, key Key) (Verdict, Packet) {
	for _, agent := range f.askedOf {
		if !contains(f.denied, agent) {
			return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
		}
	}
	f.askedOf = nil
	e.all, _ = e.placer.Holders(e.all[:0], key.Public)
	rest := e.all[:0]
	for _, agent := range e.all {
		if !contains(f.denied, agent) {
			rest = append(rest, agent)
		}
	}
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: rest, Frame: Frame{Kind: Search, Entry: e.self}, Kept: true}, Packet{Key: key}
}

func contains(list []Endpoint, one Endpoint) bool {
	for _, e := range list {
		if e == one {
			return true
		}
	}
	return false
}

// Missed decides on a packet that an agent sent back because it does not hold the
// flow.
func (e *Entry) Missed(p Packet, from Endpoint, now time.Duration) Verdict {
	f := e.flows[p.Key]
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

func without(list []Endpoint, one Endpoint) []Endpoint {
	kept := list[:0]
	for _, e := range list {
		if e != one {
			kept = append(kept, e)
		}
	}
	return kept
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

// String returns the action in the form used as a metric label.
func (a Action) String() string {
	switch a {
	case Drop:
		return "drop"
	case Send:
		return "send"
	case SendAll:
		return "send_all"
	case Reset:
		return "reset"
	case Deliver:
		return "deliver"
	case Return:
		return "return"
	case Reply:
		return "reply"
	case Deny:
		return "deny"
	case Wait:
		return "wait"
	}
	return "invalid"
}
