package flow

import (
	"slices"
	"time"
)

const (
	// coordinators is how many agents of a service share its inquiries, whatever its
	// size: each of them asks all others, so that few ask about many flows at once.
	coordinators = 8
	// inquiryPause is the least time between two rounds of questions of one agent. All that
	// it is asked about meanwhile goes into one round. Callers wait for the outcome.
	inquiryPause = 20 * time.Millisecond
	// pausePerAgent lengthens that pause in a large service, so that an agent sends at
	// most two thousand questions a second.
	pausePerAgent = 500 * time.Microsecond
	// maxInquiries bounds the flows that an agent inquires about, at some 200 bytes each.
	maxInquiries = 8192
)

// AppendCoordinators appends the agents of a list that inquire about a flow among all of
// the list, the first one and another one in case of its loss. Another turn gives others.
func AppendCoordinators(to []Endpoint, key Key, turn int, list []Endpoint) []Endpoint {
	group := Key{Caller: Endpoint{Port: uint16((key.Hash(0) + uint64(turn)) % coordinators)}}
	return AppendRegistrars(to, group, list)
}

// Digest sums up a list of agents, in whatever order they are.
func Digest(agents []Endpoint) uint64 {
	var sum uint64
	for _, agent := range agents {
		sum += Key{Caller: agent}.Hash(0)
	}
	return sum
}

// inquiry is what an agent knows of a flow that it asks all others about.
type inquiry struct {
	// entry searches for the flow.
	entry Endpoint
	// lacks has a bit for each agent of the list numbered listed whose target does not
	// hold the flow; missing counts the others.
	lacks   []uint64
	listed  uint32
	missing int
	// open are the agents that may hold the flow, holder is the one that does, if known.
	open   []Endpoint
	holder Endpoint
	// told: the entry host has been told the outcome since it last searched.
	told    bool
	askedAt time.Duration
	seen    time.Duration
}

// begin forgets what agents of another list said.
func (q *inquiry) begin(count int, listed uint32) {
	*q = inquiry{entry: q.entry, seen: q.seen, listed: listed, missing: count}
	q.lacks = make([]uint64, (count+63)/64)
}

// note takes in that the agent at a place of the list does not hold the flow.
func (q *inquiry) note(place int) {
	bit := uint64(1) << (place % 64)
	if q.lacks[place/64]&bit == 0 {
		q.lacks[place/64] |= bit
		q.missing--
	}
}

// asks reports whether the agent at a place of the list is to be asked.
func (q *inquiry) asks(place int, agent Endpoint) bool {
	return q.lacks[place/64]&(1<<(place%64)) == 0 && !contains(q.open, agent)
}

// inquiries are those of one agent.
type inquiries struct {
	flows map[Key]*inquiry
	// askedAt is when the last round began; due tells that some flow is to be asked about.
	askedAt time.Duration
	due     bool
}

// Notice is a frame for an entry host or another agent. Behind a Search stands the packet
// that was searched with.
type Notice struct {
	Key   Key
	To    Endpoint
	Frame Frame
}

// Lookup takes in that an entry host wants to know whether any agent of the service holds
// a flow. Whether the own target does is told by Lacked and Found. It returns what can be
// sent by now.
func (a *Agent) Lookup(entry Endpoint, key Key, now time.Duration) []Notice {
	q := a.inquiries.flows[key]
	if q == nil {
		if len(a.inquiries.flows) >= maxInquiries {
			return nil
		}
		if a.inquiries.flows == nil {
			a.inquiries.flows = make(map[Key]*inquiry)
		}
		q = &inquiry{}
		a.inquiries.flows[key] = q
	}
	q.entry, q.seen, q.told = entry, now, false
	if len(q.lacks) == 0 || q.listed != a.listed {
		q.begin(len(a.all), a.listed)
	}
	if q.missing > 0 && q.holder.IsZero() {
		a.inquiries.due = true
	}
	var out []Notice
	for _, agent := range q.open {
		out = append(out, a.passOn(key, agent))
	}
	return a.conclude(out, q, key)
}

// passOn is for an agent that may hold a flow. It answers this one, so that an entry host
// hears of the outcome alone.
func (a *Agent) passOn(key Key, agent Endpoint) Notice {
	return Notice{Key: key, To: agent, Frame: Frame{Kind: Search, Hops: 1, Entry: a.self}}
}

// conclude appends what the entry host is to be told, once it is known.
func (a *Agent) conclude(out []Notice, q *inquiry, key Key) []Notice {
	switch {
	case q.told:
		return out
	case !q.holder.IsZero():
		q.told = true
		return append(out, Notice{Key: key, To: q.entry, Frame: Frame{Kind: Located, Key: key, Alternate: q.holder}})
	case q.missing == 0 && len(q.lacks) > 0:
		q.told = true
		return append(out, Notice{Key: key, To: q.entry, Frame: Frame{Kind: HeldByNone, Key: key, Digest: Digest(a.all)}})
	}
	return out
}

// NextQueryIn returns how long it is until the next round of questions is due, and whether
// there is any.
func (a *Agent) NextQueryIn(now time.Duration) (time.Duration, bool) {
	if !a.inquiries.due {
		return 0, false
	}
	if a.inquiries.askedAt == 0 {
		return 0, true
	}
	pause := max(inquiryPause, time.Duration(len(a.all))*pausePerAgent)
	return max(a.inquiries.askedAt+pause-now, 0), true
}

// Queries begins a round: it returns which flows each of the other agents is to be
// asked about.
func (a *Agent) Queries(now time.Duration) []Registration {
	a.inquiries.due = false
	a.inquiries.askedAt = max(now, 1)
	a.due = a.due[:0]
	index := map[Endpoint]int{}
	for key, q := range a.inquiries.flows {
		if q.listed != a.listed || q.missing == 0 || !q.holder.IsZero() || q.askedAt != 0 && q.seen <= q.askedAt {
			continue
		}
		q.askedAt = max(now, 1)
		for place, agent := range a.all {
			if agent != a.self && q.asks(place, agent) {
				a.add(index, agent, key)
			}
		}
	}
	return a.due
}

// AnswerQuery sorts the flows that another agent asks about: those that the target beside this
// agent does not hold, and those that it may hold, which a packet of the flow has to tell.
func (a *Agent) AnswerQuery(keys []Key, now time.Duration) (lacks, open []Key) {
	for _, key := range keys {
		f := a.flows[key]
		if f == nil && now >= a.certainAt || f != nil && f.stage == absent {
			lacks = append(lacks, key)
			continue
		}
		open = append(open, key)
	}
	return lacks, open
}

// HandleNotHeld takes in that the target beside an agent, be it this one, does not hold flows.
func (a *Agent) HandleNotHeld(keys []Key, from Endpoint) []Notice {
	return a.answered(keys, from, func(out []Notice, q *inquiry, place int, _ Key) []Notice {
		q.note(place)
		return out
	})
}

// HandleMayHold takes in that the target beside another agent may hold flows.
func (a *Agent) HandleMayHold(keys []Key, from Endpoint) []Notice {
	return a.answered(keys, from, func(out []Notice, q *inquiry, place int, key Key) []Notice {
		if !q.asks(place, from) {
			return out
		}
		q.open = append(q.open, from)
		return append(out, a.passOn(key, from))
	})
}

// RecordHolder takes in that the target beside an agent, be it this one, holds a flow.
func (a *Agent) RecordHolder(key Key, from Endpoint) []Notice {
	return a.answered([]Key{key}, from, func(out []Notice, q *inquiry, _ int, _ Key) []Notice {
		q.holder = from
		return out
	})
}

// answered takes in what an agent says of flows that are inquired about.
func (a *Agent) answered(keys []Key, from Endpoint, take func([]Notice, *inquiry, int, Key) []Notice) []Notice {
	place := slices.Index(a.all, from)
	if place < 0 {
		return nil
	}
	var out []Notice
	for _, key := range keys {
		q := a.inquiries.flows[key]
		if q == nil || q.listed != a.listed || len(q.lacks) == 0 {
			continue
		}
		out = a.conclude(take(out, q, place, key), q, key)
	}
	return out
}

func (i *inquiries) sweep(now time.Duration) {
	for key, q := range i.flows {
		if now-q.seen > absentFor {
			delete(i.flows, key)
		}
	}
}
