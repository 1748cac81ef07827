package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func TestFlowStaysWithTarget(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	v := e.Packet(syn(1), 0)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentA)
	is.Equal(v.Frame, flow.Frame{Kind: flow.Open, Service: lodgement, Entry: entryA})
	e.Held(heldBy(1, firstA, false), agentA, time.Millisecond)
	for range 3 {
		v = e.Packet(request(1, firstA), time.Second)
		is.Equal(v.To, agentA)
		is.Equal(v.Frame.Kind, flow.Data)
	}
}

// A retransmitted opening goes to a second target unless the first one has answered.
func TestRetransmittedOpening(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB, agentC}}, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	v := e.Packet(syn(1), 200*time.Millisecond)
	is.Equal(v.To, agentB)
	is.Equal(v.Reason, flow.ReasonPlacedAgain)
	is.Equal(e.Packet(syn(1), 600*time.Millisecond).To, agentB) // at most two targets

	is.Equal(e.Packet(syn(2), 0).To, agentC)
	e.Held(heldBy(2, firstA, false), agentC, 0)
	is.Equal(e.Packet(syn(2), 200*time.Millisecond).To, agentC)
}

func TestCallerSelectsTarget(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first uint32
		want  flow.Endpoint
	}{{"the first", firstA, agentA}, {"the second", firstB, agentB}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
			e.Packet(syn(1), 0)
			e.Packet(syn(1), 200*time.Millisecond)
			e.Held(heldBy(1, firstA, false), agentA, 0)
			e.Held(heldBy(1, firstB, false), agentB, 0)
			is.Equal(e.Packet(request(1, tt.first), time.Second).To, tt.want)
			is.Equal(e.Packet(request(1, tt.first), time.Second).To, tt.want)
		})
	}
}

// An agent may forward an opening: the flow is held by the agent that answers.
func TestForwardedOpening(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstB, false), agentB, 0)
	is.Equal(e.Packet(request(1, firstB), time.Second).To, agentB)
}

func TestUnknownFlowIsSearched(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryB)
	v := e.Packet(request(1, firstA), 0)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.All, []flow.Endpoint{agentA, agentB})
	is.Equal(v.Frame, flow.Frame{Kind: flow.Search, Entry: entryB})
	e.Held(heldBy(1, firstA, true), agentA, 0)
	v = e.Packet(request(1, firstA), time.Millisecond)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentA)
}

// Packets of a flow that nobody holds must not flood the agents.
func TestSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	searches := 0
	for range 1000 {
		if e.Packet(request(1, firstA), 0).Action == flow.SendAll {
			searches++
		}
	}
	is.True(searches < 10)
	is.Equal(e.Packet(request(1, firstA), time.Second).Action, flow.SendAll) // retried later
}

func TestMissedPacketIsSearched(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	v := e.Missed(flow.Frame{Kind: flow.Missed}, request(1, firstA), agentA, 0)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.All, []flow.Endpoint{agentB}) // not the agent that denied it
}

// A host without routes must not reset flows.
func TestNoResetBeforeReady(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNotReady, notReady: true}, entryA)
	is.Equal(e.Packet(syn(1), 0).Action, flow.Wait)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.Wait)
}

func TestUnplaceableOpeningIsReset(t *testing.T) {
	for _, reason := range []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget} {
		is := is.New(t)
		e := flow.NewEntry(&fixedPlacer{reason: reason}, entryA)
		v := e.Packet(syn(1), 0)
		is.Equal(v.Action, flow.Reset)
		is.Equal(v.Reason, reason)
	}
}

// The flow may have been opened under a newer configuration than this host has.
func TestPacketWithoutRouteIsDropped(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoRoute}, entryA)
	is.Equal(e.Packet(request(1, firstA), 0).Action, flow.Drop)
}

func TestReusedCallerPort(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	again := syn(1)
	again.Seq++
	is.Equal(e.Packet(again, time.Second).To, agentB)
}

func TestEntryExpiresFlows(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	e.Packet(syn(1), 0)
	e.Packet(syn(2), 0)
	e.Packet(request(2, firstA), 15*time.Second)
	e.Sweep(21*time.Second, 20*time.Second, time.Minute)
	is.Equal(e.Len(), 1)
	e.Packet(request(2, firstA), 61*time.Second)
	e.Sweep(61*time.Second, 20*time.Second, time.Minute)
	is.Equal(e.Len(), 0)
}

func TestEntryTableIsBounded(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	for i := range flow.MaxEntryFlows + 10 {
		p := syn(uint16(i))
		p.Key.Caller.IP[2] = byte(i >> 16)
		e.Packet(p, 0)
	}
	is.Equal(e.Len(), flow.MaxEntryFlows)
}

// A flow is reset only after all agents have denied it and the list is complete.
func TestFlowHeldByNone(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}, incomplete: true}
	e := flow.NewEntry(p, entryA)
	e.Packet(request(1, firstA), 0)
	denied := func(from flow.Endpoint) flow.Verdict {
		v, _ := e.Denied(denial(1), from, 0)
		return v
	}
	is.Equal(denied(agentA).Action, flow.Drop)
	is.Equal(denied(agentA).Action, flow.Drop) // a duplicate
	is.Equal(denied(agentB).Action, flow.Drop) // the list is incomplete
	p.incomplete = false
	v, packet := e.Denied(denial(1), agentB, 0)
	is.Equal(v.Action, flow.Reset)
	is.Equal(packet.Key, key(1))
	is.Equal(packet.Ack, request(1, firstA).Ack)
	is.Equal(e.Len(), 0)
}

func TestHeldOverridesDenials(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(request(1, firstA), 0)
	e.Denied(denial(1), agentA, 0)
	e.Held(heldBy(1, firstB, true), agentB, 0)
	v, _ := e.Denied(denial(1), agentB, 0) // a late denial
	is.Equal(v.Action, flow.Drop)
	is.Equal(e.Packet(request(1, firstB), 0).To, agentB)
}

func TestFlowOfTargetWithExpiredLease(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	p.gone, p.incomplete = agentA, true
	is.Equal(e.Packet(request(1, firstA), time.Second).To, agentA) // the list is incomplete
	p.incomplete = false
	v := e.Packet(request(1, firstA), 2*time.Second)
	is.Equal(v.To, agentA)
	is.Equal(v.Frame.Kind, flow.Search) // a probe
	e.MarkSeen(agentA, 2*time.Second)
	is.Equal(e.Packet(request(1, firstA), 3*time.Second).To, agentA) // it replied
	is.Equal(e.Packet(request(1, firstA), 3*time.Second+50*time.Millisecond).To, agentA)
	v = e.Packet(request(1, firstA), 3*time.Second+200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonTargetGone)
}

// A flow located at an agent without a target is reset without another search.
func TestLocatedAtGoneTarget(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	p := &fixedPlacer{agents: all, gone: agentA}
	e := flow.NewEntry(p, entryA)
	e.Packet(request(1, firstA), 0)
	e.Located(flow.Frame{Kind: flow.Located, Key: key(1), Alternate: agentA}, agentB, time.Millisecond)
	v := e.Packet(request(1, firstA), 200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
}

// The first packet after the opening may arrive before the Held frame, when the holder is
// not known yet.
func TestRequestBeforeHeldFrame(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB, agentC}}, entryA)
	e.Packet(syn(1), 0)
	e.Packet(syn(1), 200*time.Millisecond)
	v := e.Packet(request(1, firstB), 210*time.Millisecond)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.All, []flow.Endpoint{agentA, agentB})
	is.Equal(v.Frame, flow.Frame{Kind: flow.Search, Entry: entryA})
	e.Held(heldBy(1, firstB, true), agentB, 211*time.Millisecond)
	v = e.Packet(request(1, firstB), 220*time.Millisecond)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)
}

// A retransmitted opening may open the flow through another entry host. A candidate here
// that has not answered may never have held it, so the flow must survive its loss.
func TestFlowOpenedThroughOtherEntryHost(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	p.gone = agentA
	is.Equal(e.Packet(request(1, firstB), time.Second).All, []flow.Endpoint{agentA})
	is.Equal(e.Packet(request(1, firstB), time.Second+50*time.Millisecond).All, []flow.Endpoint{agentA}) // same burst
	v := e.Packet(request(1, firstB), time.Second+200*time.Millisecond)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.Reason, flow.ReasonUnknown)
	is.Equal(v.All, []flow.Endpoint{agentA, agentB})
	e.Held(heldBy(1, firstB, true), agentB, time.Second+201*time.Millisecond)
	is.Equal(e.Packet(request(1, firstB), 2*time.Second).To, agentB)
}

// The first target has answered as well, but after the caller had selected the second.
func TestFlowOpenedWithLaterReply(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	e.Held(heldBy(1, firstA, false), agentA, time.Millisecond)
	p.gone = agentA
	is.Equal(e.Packet(request(1, firstB), time.Second).Action, flow.SendAll)
	is.Equal(e.Packet(request(1, firstB), time.Second+200*time.Millisecond).Action, flow.SendAll)
}

// A Held frame delayed by a full link must not cause searches: packets go only to the
// candidates.
func TestLateHeldFrameCausesNoSearch(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	target := e.Packet(syn(1), 0).To
	for at := 50 * time.Millisecond; at < time.Second; at += 100 * time.Millisecond {
		v := e.Packet(request(1, firstA), at)
		is.Equal(v.Reason, flow.ReasonUnconfirmed)
		is.Equal(v.All, []flow.Endpoint{target})
	}
	e.Held(heldBy(1, firstA, true), target, time.Second)
	is.Equal(e.Packet(request(1, firstA), time.Second).To, target)
}

// After all candidates have denied the flow the next packet starts a search at once.
func TestDenyingCandidatesAreDropped(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: agents(40)}, entryA)
	first := e.Packet(syn(1), 0).To
	second := e.Packet(syn(1), 200*time.Millisecond).To
	e.Held(heldBy(1, firstA, false), first, 201*time.Millisecond)
	is.Equal(len(e.Packet(request(1, firstB), 210*time.Millisecond).All), 2)
	e.Denied(denial(1), first, 211*time.Millisecond)
	e.Denied(denial(1), second, 212*time.Millisecond)
	is.Equal(e.Packet(request(1, firstB), 230*time.Millisecond).Reason, flow.ReasonRegistered)
}

// An agent at which a flow is registered names its holder and does not deny the flow itself. If
// the holder does, the caller must be told: otherwise each packet goes round from the entry host
// to both agents until the caller's timeout.
func TestRegisteredHolderDeniesFlow(t *testing.T) {
	located := flow.Frame{Kind: flow.Located, Key: key(1), Alternate: agentB}
	for _, test := range []struct {
		name string
		// deniedBefore: the holder has denied the flow before it was named.
		deniedBefore bool
	}{{"named first", false}, {"denied first", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB, agentC}}, entryA)
			is.Equal(len(e.Packet(request(1, firstA), time.Second).All), 3)
			v, _ := e.Denied(denial(1), agentC, time.Second)
			is.Equal(v.Action, flow.Drop)
			if test.deniedBefore {
				v, _ = e.Denied(denial(1), agentB, time.Second)
				is.Equal(v.Action, flow.Drop) // agentA has not answered yet
			}
			e.Located(located, agentA, time.Second)
			v, p := e.Denied(denial(1), agentB, time.Second)
			is.Equal(v.Action, flow.Reset)
			is.Equal(v.Reason, flow.ReasonHeldNowhere)
			is.Equal(p.Key, key(1))
		})
	}
}

// A holder that was named wrongly does not end the flow while another agent may hold it.
func TestOtherAgentsAreAwaitedAfterWrongRegistration(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB, agentC}}, entryA)
	e.Packet(request(1, firstA), time.Second)
	e.Located(flow.Frame{Kind: flow.Located, Key: key(1), Alternate: agentB}, agentA, time.Second)
	v, _ := e.Denied(denial(1), agentB, time.Second)
	is.Equal(v.Action, flow.Drop)
	e.Held(heldBy(1, firstA, true), agentC, time.Second)
	is.Equal(e.Packet(request(1, firstA), time.Second).To, agentC)
}
