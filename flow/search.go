package flow

import (
	"math"
	"time"
)

// firstWide is the round of a search in which an agent is asked to ask all others.
const firstWide = 2

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
	if e.budget.full(now) {
		// Its caller sends it again; the flows that are known come first.
		return Verdict{Action: Drop, Reason: ReasonLinkFull}
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
	asks := len(e.all) > smallService
	if f.searches >= searchLimit(asks) {
		return Verdict{Action: Drop, Reason: ReasonSearchLimit}
	}
	f.searches++
	f.ack = p.Ack
	if asks {
		return e.ask(f, p, now)
	}
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}}
}

// searchLimit is how many packets of a flow are searched with in a pause.
func searchLimit(asks bool) uint8 {
	if asks {
		return maxAsks
	}
	return maxSearches
}

// ask searches in a large service: first by the agents that should know where the flow
// lives, then by an agent that asks all others of its service, and after that by one other
// of these after another. A packet that comes after a pause begins the next round; those of one
// burst go the same way.
func (e *Entry) ask(f *entryFlow, p Packet, now time.Duration) Verdict {
	if f.round == 0 || now-f.roundAt >= searchPause {
		f.round = min(f.round, math.MaxUint8-1) + 1
		f.roundAt = now
	}
	if f.round == 1 {
		e.all = e.placer.Registrars(e.all[:0], p.Key)
		f.askedOf = append(f.askedOf[:0], e.all...)
		return Verdict{Action: SendAll, Reason: ReasonRegistered, All: e.all, Frame: Frame{Kind: Search, Entry: e.self}, KeepCopy: true}
	}
	f.askedOf = nil
	asked := int(f.round) - firstWide
	e.all = e.placer.Coordinators(e.all[:0], p.Key, asked/registrars)
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: each(e.all, asked%registrars), Frame: Frame{Kind: Search, Hops: HopsLookup, Entry: e.self}}
}

// each returns the agent at a place of each pair, in place.
func each(pairs []Endpoint, place int) []Endpoint {
	out := pairs[:0]
	for i := 0; i+place < len(pairs); i += registrars {
		out = append(out, pairs[i+place])
	}
	return out
}

// Denied decides on a flow that an agent's target does not hold. Once all that could
// hold it have said so, its caller is told at once that it is gone. The packet stands
// for the caller's last one. While the list of agents may be old, denials say nothing.
func (e *Entry) Denied(key Key, from Endpoint, now time.Duration) (Verdict, Packet) {
	f := e.flows[key]
	if !e.MayReset(now) {
		if f != nil {
			f.denied, f.cleared = nil, nil
		}
		return Verdict{Action: Drop, Reason: ReasonStalled}, Packet{}
	}
	if f != nil && f.count == 1 && f.homes[0].agent == from && (f.doubted != 0 || !f.homes[0].answered) {
		// It was said to live there, or has lived there and was asked again.
		f.count, f.opened = 0, false
	}
	if f != nil && !f.opened && f.asked != 0 {
		// It was asked whether the flow has opened there.
		f.drop(from)
	}
	if f == nil || f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}, Packet{}
	}
	if !contains(f.denied, from) && len(f.denied) < maxDenials {
		f.denied = append(f.denied, from)
	}
	if f.askedOf != nil {
		return e.widen(f, key)
	}
	return e.nowhere(f, key)
}

// HeldByNone decides on a flow of which an agent says that it has asked all agents of its
// service. That counts only if this host knows the same ones.
func (e *Entry) HeldByNone(m Frame, from Endpoint, now time.Duration) (Verdict, Packet) {
	f := e.flows[m.Key]
	if !e.MayReset(now) {
		return Verdict{Action: Drop, Reason: ReasonStalled}, Packet{}
	}
	if f == nil || f.count > 0 {
		return Verdict{Action: Drop, Reason: ReasonKnown}, Packet{}
	}
	e.fellows = e.placer.ServiceAgents(e.fellows[:0], from)
	if len(e.fellows) == 0 || Digest(e.fellows) != m.Digest {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
	}
	f.askedOf = nil
	if !contains(f.cleared, from) {
		f.cleared = append(f.cleared, from)
	}
	return e.nowhere(f, m.Key)
}

// nowhere decides whether all that could hold a flow have said that they do not.
func (e *Entry) nowhere(f *entryFlow, key Key) (Verdict, Packet) {
	var all bool
	e.all, all = e.placer.Holders(e.all[:0], key.Public)
	if !all || len(e.all) == 0 {
		return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
	}
	e.excuse(f)
	for _, agent := range e.all {
		if !e.excused[agent] && !contains(f.denied, agent) {
			return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
		}
	}
	delete(e.flows, key)
	return Verdict{Action: Reset, Reason: ReasonHeldNowhere}, Packet{Key: key, Ack: f.ack}
}

// excuse collects the agents that others have spoken for.
func (e *Entry) excuse(f *entryFlow) {
	clear(e.excused)
	for _, from := range f.cleared {
		e.fellows = e.placer.ServiceAgents(e.fellows[:0], from)
		for _, agent := range e.fellows {
			e.excused[agent] = true
		}
	}
}

// widen asks all agents once those that should know where a flow lives have denied it.
func (e *Entry) widen(f *entryFlow, key Key) (Verdict, Packet) {
	for _, agent := range f.askedOf {
		if !contains(f.denied, agent) {
			return Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}
		}
	}
	e.all = each(e.placer.Coordinators(e.all[:0], key, 0), 0)
	f.askedOf = nil
	f.round = max(f.round, firstWide)
	f.roundAt = f.searched
	return Verdict{Action: SendAll, Reason: ReasonUnknown, All: e.all, Frame: Frame{Kind: Search, Hops: HopsLookup, Entry: e.self}, UseCopy: true}, Packet{Key: key}
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
