package flow

import "time"

const (
	// coordinatorCount is how many agents of a service share its lookups, so that their
	// queries can be batched.
	coordinatorCount = 8
	// queryInterval is the minimum time between two rounds of queries of one agent.
	// Flows that are searched for meanwhile are batched in the next round.
	queryInterval = 20 * time.Millisecond
	// queryIntervalPerAgent extends queryInterval in large services: an agent sends at
	// most 2,000 queries a second.
	queryIntervalPerAgent = 500 * time.Microsecond
	// maxLookups bounds the lookups of one agent, about 200 bytes each.
	maxLookups = 8192
)

// AppendCoordinators appends the two agents of a list that look a flow up among all of
// the list, the second one in case the first is lost. Each turn selects other agents.
func AppendCoordinators(to []Endpoint, key Key, turn int, list []Endpoint) []Endpoint {
	group := Key{Caller: Endpoint{Port: uint16((key.Hash(0) + uint64(turn)) % coordinatorCount)}}
	return AppendRegistrars(to, group, list)
}

// lookup is the state of a flow that an agent looks up among all others.
type lookup struct {
	// entry is the entry host that searches for the flow.
	entry Endpoint
	// notHeld has a bit, by its position in the list, for each agent whose target does not
	// hold the flow. pending counts the other agents of the list.
	notHeld []uint64
	pending int
	// candidates are the agents that may hold the flow, holder the one that does.
	candidates []Endpoint
	holder     Endpoint
	// reported: the outcome was sent to the entry host since its last search.
	reported  bool
	queriedAt time.Duration
	lastSeen  time.Duration
}

// newLookup returns a lookup among a number of agents.
func newLookup(agents int) *lookup {
	return &lookup{pending: agents, notHeld: make([]uint64, wordsFor(agents))}
}

// wordsFor returns the number of words that have a bit for each agent.
func wordsFor(agents int) int { return (agents + 63) / 64 }

func (l *lookup) isNotHeld(index int) bool { return l.notHeld[index/64]&(1<<(index%64)) != 0 }

// addAgent extends the lookup to an agent at the end of the list, which has count agents now.
func (l *lookup) addAgent(count int) {
	l.pending++
	for len(l.notHeld) < wordsFor(count) {
		l.notHeld = append(l.notHeld, 0)
	}
}

// removeAgent removes an agent from the lookup. The one at position last has taken its
// position.
func (l *lookup) removeAgent(agent Endpoint, position, last int) {
	if !l.isNotHeld(position) {
		l.pending--
	}
	l.notHeld[position/64] &^= 1 << (position % 64)
	if position != last && l.isNotHeld(last) {
		l.notHeld[position/64] |= 1 << (position % 64)
	}
	l.notHeld[last/64] &^= 1 << (last % 64)
	l.candidates = without(l.candidates, agent)
	if l.holder == agent {
		l.holder = Endpoint{}
	}
}

// markNotHeld records that the target of an agent does not hold the flow.
func (l *lookup) markNotHeld(index int) {
	if !l.isNotHeld(index) {
		l.notHeld[index/64] |= 1 << (index % 64)
		l.pending--
	}
}

// needsQuery reports whether an agent has to be queried.
func (l *lookup) needsQuery(index int, agent Endpoint) bool {
	return !l.isNotHeld(index) && !contains(l.candidates, agent)
}

// lookups are the lookups of one agent.
type lookups struct {
	flows map[Key]*lookup
	// queriedAt is when the last round began, due is set if another one is needed.
	queriedAt time.Duration
	due       bool
}

// Notice is a frame for an entry host or another agent. A Search is followed by the
// packet of the flow.
type Notice struct {
	Key   Key
	To    Endpoint
	Frame Frame
}

// Lookup starts or continues the lookup of a flow for an entry host and returns the
// notices that can be sent at once. The result for the own target is recorded by
// HandleNotHeld or RecordHolder.
func (a *Agent) Lookup(entry Endpoint, key Key, now time.Duration) []Notice {
	l := a.lookups.flows[key]
	if l == nil {
		if len(a.lookups.flows) >= maxLookups {
			return nil
		}
		if a.lookups.flows == nil {
			a.lookups.flows = make(map[Key]*lookup)
		}
		l = newLookup(len(a.serviceAgents.agents))
		a.lookups.flows[key] = l
	}
	l.entry, l.lastSeen, l.reported = entry, now, false
	if l.pending > 0 && l.holder.IsZero() {
		a.lookups.due = true
	}
	var out []Notice
	for _, agent := range l.candidates {
		out = append(out, a.probeNotice(key, agent))
	}
	return a.appendOutcome(out, l, key)
}

// probeNotice returns the search for an agent that may hold a flow. It replies to this
// agent, so that the entry host only receives the outcome.
func (a *Agent) probeNotice(key Key, agent Endpoint) Notice {
	return Notice{Key: key, To: agent, Frame: Frame{Kind: Search, Hops: 1, Entry: a.self}}
}

// appendOutcome appends the notice for the entry host once the outcome is known.
func (a *Agent) appendOutcome(out []Notice, l *lookup, key Key) []Notice {
	switch {
	case l.reported:
		return out
	case !l.holder.IsZero():
		l.reported = true
		return append(out, Notice{Key: key, To: l.entry, Frame: Frame{Kind: Located, Key: key, Alternate: l.holder}})
	case l.pending == 0 && len(a.serviceAgents.agents) > 0:
		l.reported = true
		return append(out, Notice{Key: key, To: l.entry, Frame: Frame{Kind: HeldByNone, Key: key, ServiceDenial: a.serviceDenial()}})
	}
	return out
}

// serviceDenial returns the denial of the own service.
func (a *Agent) serviceDenial() ServiceDenial {
	return ServiceDenial{Service: a.serviceNumber, Digest: a.serviceAgents.digest}
}

// NextQueryIn returns the time until the next round of queries, false if none is
// needed.
func (a *Agent) NextQueryIn(now time.Duration) (time.Duration, bool) {
	if !a.lookups.due {
		return 0, false
	}
	if a.lookups.queriedAt == 0 {
		return 0, true
	}
	interval := max(queryInterval, time.Duration(len(a.serviceAgents.agents))*queryIntervalPerAgent)
	return max(a.lookups.queriedAt+interval-now, 0), true
}

// Queries begins a round and returns the flows to query each of the other agents for.
func (a *Agent) Queries(now time.Duration) []Registration {
	a.lookups.due = false
	a.lookups.queriedAt = max(now, 1)
	a.due = a.due[:0]
	index := map[Endpoint]int{}
	for key, l := range a.lookups.flows {
		if l.pending == 0 || !l.holder.IsZero() || l.queriedAt != 0 && l.lastSeen <= l.queriedAt {
			continue
		}
		l.queriedAt = max(now, 1)
		for i, agent := range a.serviceAgents.agents {
			if agent != a.self && l.needsQuery(i, agent) {
				a.addKey(index, agent, key)
			}
		}
	}
	return a.due
}

// AnswerQuery splits the queried flows into those that the target does not hold and
// those that it may hold. Only the target's reply to a packet of such a flow shows
// whether it does.
func (a *Agent) AnswerQuery(keys []Key, now time.Duration) (notHeld, mayHold []Key) {
	for _, key := range keys {
		f := a.flows[key]
		if f == nil && a.known.complete(now) || f != nil && f.stage == stageNotHeld {
			notHeld = append(notHeld, key)
			continue
		}
		mayHold = append(mayHold, key)
	}
	return notHeld, mayHold
}

// HandleNotHeld records that the target of an agent, or the own one, does not hold flows.
func (a *Agent) HandleNotHeld(keys []Key, from Endpoint) []Notice {
	return a.applyReply(keys, from, func(out []Notice, l *lookup, index int, _ Key) []Notice {
		l.markNotHeld(index)
		return out
	})
}

// HandleMayHold records that the target of another agent may hold flows.
func (a *Agent) HandleMayHold(keys []Key, from Endpoint) []Notice {
	return a.applyReply(keys, from, func(out []Notice, l *lookup, index int, key Key) []Notice {
		if !l.needsQuery(index, from) {
			return out
		}
		l.candidates = append(l.candidates, from)
		return append(out, a.probeNotice(key, from))
	})
}

// RecordHolder records that the target of an agent, or the own one, holds a flow.
func (a *Agent) RecordHolder(key Key, from Endpoint) []Notice {
	return a.applyReply([]Key{key}, from, func(out []Notice, l *lookup, _ int, _ Key) []Notice {
		l.holder = from
		return out
	})
}

// applyReply applies an agent's reply to the lookups of these flows.
func (a *Agent) applyReply(keys []Key, from Endpoint, apply func([]Notice, *lookup, int, Key) []Notice) []Notice {
	index, known := a.serviceAgents.position[from]
	if !known {
		return nil
	}
	var out []Notice
	for _, key := range keys {
		l := a.lookups.flows[key]
		if l == nil {
			continue
		}
		out = a.appendOutcome(apply(out, l, index, key), l, key)
	}
	return out
}

// addAgent and removeAgent apply a change of the list to all lookups: replies of the other
// agents stay valid, since no target takes a flow that another one has opened. If each change
// began the lookups anew, none would end while targets are replaced.
func (ls *lookups) addAgent(count int) {
	for _, l := range ls.flows {
		l.addAgent(count)
	}
}

func (ls *lookups) removeAgent(agent Endpoint, position, last int) {
	for _, l := range ls.flows {
		l.removeAgent(agent, position, last)
	}
}

func (ls *lookups) sweep(now time.Duration) {
	for key, l := range ls.flows {
		if now-l.lastSeen > notHeldFor {
			delete(ls.flows, key)
		}
	}
}
