package flow

import (
	"math"
	"time"
)

// search handles a packet of a flow without a known holder.
func (e *Entry) search(f *entryFlow, p Packet, now time.Duration) Verdict {
	if p.Flags.Has(RST) {
		// The holder does not need the packet, and the caller expects no reply.
		return Verdict{Action: Drop, Reason: ReasonUnknown}
	}
	e.all = e.placer.Holders(e.all[:0], p.Key.Public, maxBroadcast+1)
	if len(e.all) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNoRoute}
	}
	if e.budget.exhausted(now) {
		// Open flows have priority, and the caller retransmits the packet.
		return Verdict{Action: Drop, Reason: ReasonLinkFull}
	}
	if f == nil {
		if len(e.flows) >= MaxEntryFlows {
			return Verdict{Action: Drop, Reason: ReasonTableFull}
		}
		f = &entryFlow{lastSeen: now, createdAt: now, searchedAt: now}
		e.flows[p.Key] = f
	}
	if now-f.searchedAt >= searchInterval {
		f.searchedAt, f.searchCount = now, 0
	}
	staged := len(e.all) > maxBroadcast
	if f.searchCount >= searchLimit(staged) {
		return Verdict{Action: Drop, Reason: ReasonSearchLimit}
	}
	f.searchCount++
	f.lastAck = p.Ack
	if f.searchedSince == 0 {
		f.searchedSince = max(now, 1)
	}
	if staged {
		return e.searchStaged(f, p, now)
	}
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}}
}

// searchLimit returns the number of searches for a flow within searchInterval.
func searchLimit(staged bool) uint8 {
	if staged {
		return maxStagedSearches
	}
	return maxSearches
}

// searchStage is a stage of the search in a large service.
type searchStage uint8

// Stages of a search, in their order. A stage ends when all agents that it was sent to have
// denied the flow, or with a packet after searchInterval.
const (
	// stageRegistrars: the agents at which the flow is registered.
	stageRegistrars searchStage = iota + 1
	// stagePreferred: the agents that the flow was most likely placed on. After a restart
	// of all processes nobody has a registration, and an agent can tell only by a packet to
	// its target whether that one holds a flow: without this stage each flow would cost a
	// packet to each target. Where agents know their flows, a lookup costs less.
	stagePreferred
	// stageLookup: a coordinator, which asks all agents; another one in each round.
	stageLookup
)

// searchStaged searches in a large service. The packets of a burst belong to one stage.
func (e *Entry) searchStaged(f *entryFlow, p Packet, now time.Duration) Verdict {
	switch {
	case f.searchStage == 0:
		f.searchStage, f.stageStart = stageRegistrars, now
	case now-f.stageStart < searchInterval:
	case f.searchStage < stageLookup:
		f.searchStage++
		f.stageStart = now
	default:
		f.lookupRound = min(f.lookupRound, math.MaxUint8-1) + 1
		f.stageStart = now
	}
	return e.searchVerdict(f, p.Key)
}

// searchVerdict returns the verdict that sends a packet to the agents of the flow's stage. A
// stage without agents is passed over.
func (e *Entry) searchVerdict(f *entryFlow, key Key) Verdict {
	if f.searchStage == stageRegistrars {
		e.all = e.placer.Registrars(e.all[:0], key)
		f.asked = append(f.asked[:0], e.all...)
		return Verdict{Action: SendAll, Reason: ReasonRegistered, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}, KeepCopy: true}
	}
	if f.searchStage == stagePreferred && f.probed {
		e.all = e.placer.Preferred(e.all[:0], key)
		if len(e.all) > 0 {
			f.asked = append(f.asked[:0], e.all...)
			return Verdict{Action: SendAll, Reason: ReasonPreferred, All: e.all, Frame: Frame{Kind: Search, Hops: 1, Entry: e.self}, KeepCopy: true}
		}
	}
	f.searchStage, f.asked = stageLookup, nil
	attempt := int(f.lookupRound)
	e.all = e.placer.Coordinators(e.all[:0], key, attempt/registrars)
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: pickFromPairs(e.all, attempt%registrars), Frame: Frame{Kind: Search, Hops: HopsLookup, Entry: e.self}}
}

// pickFromPairs returns the agent at an index of each pair, in place.
func pickFromPairs(pairs []Endpoint, index int) []Endpoint {
	out := pairs[:0]
	for i := 0; i+index < len(pairs); i += registrars {
		out = append(out, pairs[i+index])
	}
	return out
}

// Denied handles a Denied frame. Once no agent can hold the flow it is reset. The returned
// packet has the key and, for a reset, the last acknowledgement of the caller. Denials are
// ignored while the list of agents may be outdated.
func (e *Entry) Denied(m Frame, from Endpoint, now time.Duration) (Verdict, Packet) {
	key := m.Key
	f := e.flows[key]
	if !e.MayReset(now) {
		if f != nil {
			f.denied, f.heldByNone = nil, nil
		}
		return Verdict{Action: Drop, Reason: ReasonStalled}, Packet{}
	}
	if f != nil && f.count == 1 && f.candidates[0].agent == from && (f.probedAt != 0 || !f.candidates[0].answered) {
		// The flow was located or probed at this agent, which does not hold it.
		f.count, f.confirmed = 0, false
	}
	if f != nil && !f.confirmed && f.confirmSince != 0 {
		// The agent was a candidate that had to confirm that it holds the flow.
		f.removeCandidate(from)
	}
	if f == nil || f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}, Packet{}
	}
	f.probed = f.probed || m.Probed
	f.recordDenied(from)
	if f.asked != nil {
		return e.nextStage(f, key)
	}
	return e.resetIfHeldByNone(f, key)
}

// HeldByNone handles a HeldByNone frame. It only counts while this host knows the same list
// of agents of the service that was queried.
func (e *Entry) HeldByNone(m Frame, now time.Duration) (Verdict, Packet) {
	f := e.flows[m.Key]
	if !e.MayReset(now) {
		return Verdict{Action: Drop, Reason: ReasonStalled}, Packet{}
	}
	if f == nil || f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}, Packet{}
	}
	f.asked = nil
	f.recordServiceDenial(m.ServiceDenial)
	return e.resetIfHeldByNone(f, m.Key)
}

// resetIfHeldByNone resets a flow once all agents that could hold it have denied it.
func (e *Entry) resetIfHeldByNone(f *entryFlow, key Key) (Verdict, Packet) {
	if e.placer.HeldElsewhere(key.Public, f.denied, f.heldByNone) {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
	}
	if !e.confirmation.covers(f.searchedSince) {
		e.confirmation.await(key)
		return Verdict{Action: Drop, Reason: ReasonViewUnconfirmed}, Packet{}
	}
	delete(e.flows, key)
	evidence := Evidence{Denied: len(f.denied), HeldByNone: f.heldByNone}
	return Verdict{Action: Reset, Reason: ReasonHeldNowhere, Evidence: evidence}, Packet{Key: key, Ack: f.lastAck}
}

// nextStage continues the search once all agents of its stage have denied the flow. Agents
// that have denied it before are not asked again.
func (e *Entry) nextStage(f *entryFlow, key Key) (Verdict, Packet) {
	for f.asked != nil {
		for _, agent := range f.asked {
			if !contains(f.denied, agent) {
				return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
			}
		}
		f.searchStage++
		f.stageStart = f.searchedAt
		v := e.searchVerdict(f, key)
		v.All = withoutAll(v.All, f.denied, f.searchStage)
		if len(v.All) > 0 {
			v.UseCopy = true
			return v, Packet{Key: key}
		}
	}
	return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
}

// withoutAll returns the agents without those that have denied the flow. A lookup needs its
// coordinator all the same.
func withoutAll(agents, denied []Endpoint, stage searchStage) []Endpoint {
	if stage == stageLookup {
		return agents
	}
	kept := agents[:0]
	for _, agent := range agents {
		if !contains(denied, agent) {
			kept = append(kept, agent)
		}
	}
	return kept
}

func contains(list []Endpoint, one Endpoint) bool {
	for _, e := range list {
		if e == one {
			return true
		}
	}
	return false
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
