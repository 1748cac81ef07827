package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func TestFlowStaysWhereItBegan(t *testing.T) {
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

// A copy of an opening that nobody has answered goes to another target; one that was
// answered goes to the same.
func TestCopiesOfAnOpening(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB, agentC}}, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	v := e.Packet(syn(1), 200*time.Millisecond)
	is.Equal(v.To, agentB)
	is.Equal(v.Reason, flow.ReasonPlacedAgain)
	is.Equal(e.Packet(syn(1), 600*time.Millisecond).To, agentB) // two are enough

	is.Equal(e.Packet(syn(2), 0).To, agentC)
	e.Held(heldBy(2, firstA, false), agentC, 0)
	is.Equal(e.Packet(syn(2), 200*time.Millisecond).To, agentC)
}

func TestCallerSettlesWhichOfTwoTargetsHasTheFlow(t *testing.T) {
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

// An agent may hand an opening on: the flow is where it was answered.
func TestOpeningThatWasHandedOn(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstB, false), agentB, 0)
	is.Equal(e.Packet(request(1, firstB), time.Second).To, agentB)
}

func TestUnknownFlowIsSearchedFor(t *testing.T) {
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

// The packets of one flow that nobody holds must not flood the agents.
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
	is.Equal(e.Packet(request(1, firstA), time.Second).Action, flow.SendAll) // but it is tried again
}

func TestPacketThatAnAgentDoesNotHold(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	v := e.Missed(request(1, firstA), agentA, 0)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.All, []flow.Endpoint{agentB}) // not to the one that has just said no
}

// A host that has just started knows no routes: it must not tell callers anything.
func TestNothingIsResetBeforeTheRoutesAreKnown(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNotReady, unready: true}, entryA)
	is.Equal(e.Packet(syn(1), 0).Action, flow.Wait)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.Wait)
}

func TestOpeningThatCannotBeServedIsResetAtOnce(t *testing.T) {
	for _, reason := range []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget} {
		is := is.New(t)
		e := flow.NewEntry(&fixedPlacer{reason: reason}, entryA)
		v := e.Packet(syn(1), 0)
		is.Equal(v.Action, flow.Reset)
		is.Equal(v.Reason, reason)
	}
}

// A later packet to an address without a route may belong to a flow that opened under
// a newer version than this host has.
func TestLaterPacketIsNeverReset(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoRoute}, entryA)
	is.Equal(e.Packet(request(1, firstA), 0).Action, flow.Drop)
}

func TestPortThatIsUsedAgain(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	again := syn(1)
	again.Seq++
	is.Equal(e.Packet(again, time.Second).To, agentB)
}

func TestEntryForgetsIdleAndOldFlows(t *testing.T) {
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

// Only once all agents that could hold a flow have said that they do not, and no
// other one can, is its caller told.
func TestFlowThatNobodyHolds(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}, doubtful: true}
	e := flow.NewEntry(p, entryA)
	e.Packet(request(1, firstA), 0)
	denied := func(from flow.Endpoint) flow.Verdict {
		v, _ := e.Denied(key(1), from, 0)
		return v
	}
	is.Equal(denied(agentA).Action, flow.Drop)
	is.Equal(denied(agentA).Action, flow.Drop) // the same one again
	is.Equal(denied(agentB).Action, flow.Drop) // there may be others
	p.doubtful = false
	v, packet := e.Denied(key(1), agentB, 0)
	is.Equal(v.Action, flow.Reset)
	is.Equal(packet.Key, key(1))
	is.Equal(packet.Ack, request(1, firstA).Ack)
	is.Equal(e.Len(), 0)
}

func TestDenialsDoNotOutweighTheHolder(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
	e.Packet(request(1, firstA), 0)
	e.Denied(key(1), agentA, 0)
	e.Held(heldBy(1, firstB, true), agentB, 0)
	v, _ := e.Denied(key(1), agentB, 0) // late
	is.Equal(v.Action, flow.Drop)
	is.Equal(e.Packet(request(1, firstB), 0).To, agentB)
}

func TestFlowOfATargetWhoseLeaseHasEnded(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	e.Packet(request(1, firstA), 0)
	p.lost, p.doubtful = agentA, true
	is.Equal(e.Packet(request(1, firstA), time.Second).To, agentA) // the list may lack it
	p.doubtful = false
	v := e.Packet(request(1, firstA), 2*time.Second)
	is.Equal(v.To, agentA)
	is.Equal(v.Frame.Kind, flow.Search) // it has to answer
	e.MarkSeen(agentA, 2*time.Second)
	is.Equal(e.Packet(request(1, firstA), 3*time.Second).To, agentA) // it lives
	is.Equal(e.Packet(request(1, firstA), 3*time.Second+50*time.Millisecond).To, agentA)
	v = e.Packet(request(1, firstA), 3*time.Second+200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonTargetGone)
}

// A flow that is known to have lived beside an agent that is gone is not searched for
// any further.
func TestHintAtATargetThatIsGone(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	p := &fixedPlacer{agents: all, lost: agentA}
	e := flow.NewEntry(p, entryA)
	e.Packet(request(1, firstA), 0)
	e.Located(flow.Frame{Kind: flow.Located, Key: key(1), Alternate: agentA}, time.Millisecond)
	v := e.Packet(request(1, firstA), 200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
}

// The caller's first packet after the opening may overtake what the agent says of it. Until
// then it is not known which of the targets has the flow, or that any of them has it.
func TestPacketThatOvertakesTheAgentsWord(t *testing.T) {
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

// A flow may open through another entry host, by a copy of its opening. A target that was
// offered it here and never answered is not known to have had it: that the target is gone
// says nothing of the flow.
func TestFlowThatOpenedThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	p.lost = agentA
	is.Equal(e.Packet(request(1, firstB), time.Second).All, []flow.Endpoint{agentA})
	is.Equal(e.Packet(request(1, firstB), time.Second+50*time.Millisecond).All, []flow.Endpoint{agentA}) // of one burst
	v := e.Packet(request(1, firstB), time.Second+200*time.Millisecond)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(v.Reason, flow.ReasonUnknown)
	is.Equal(v.All, []flow.Endpoint{agentA, agentB})
	e.Held(heldBy(1, firstB, true), agentB, time.Second+201*time.Millisecond)
	is.Equal(e.Packet(request(1, firstB), 2*time.Second).To, agentB)
}

// The same where the first target answered too, but too late for the caller.
func TestFlowThatOpenedWithALaterAnswer(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}
	e := flow.NewEntry(p, entryA)
	is.Equal(e.Packet(syn(1), 0).To, agentA)
	e.Held(heldBy(1, firstA, false), agentA, time.Millisecond)
	p.lost = agentA
	is.Equal(e.Packet(request(1, firstB), time.Second).Action, flow.SendAll)
	is.Equal(e.Packet(request(1, firstB), time.Second+200*time.Millisecond).Action, flow.SendAll)
}

// The agent's word waits before a full link, for longer than a caller waits between two
// packets: the targets that were offered the flow are asked, and not all agents, since that
// would keep the link full.
func TestWordThatComesLateCostsNoSearch(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	home := e.Packet(syn(1), 0).To
	for at := 50 * time.Millisecond; at < time.Second; at += 100 * time.Millisecond {
		v := e.Packet(request(1, firstA), at)
		is.Equal(v.Reason, flow.ReasonUnconfirmed)
		is.Equal(v.All, []flow.Endpoint{home})
	}
	e.Held(heldBy(1, firstA, true), home, time.Second)
	is.Equal(e.Packet(request(1, firstA), time.Second).To, home)
}

// Each target that was offered the flow says that it opened elsewhere: the next packet is
// searched with at once.
func TestHomesThatDenyAreAskedNoMore(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: agents(40)}, entryA)
	first := e.Packet(syn(1), 0).To
	second := e.Packet(syn(1), 200*time.Millisecond).To
	e.Held(heldBy(1, firstA, false), first, 201*time.Millisecond)
	is.Equal(len(e.Packet(request(1, firstB), 210*time.Millisecond).All), 2)
	e.Denied(key(1), first, 211*time.Millisecond)
	e.Denied(key(1), second, 212*time.Millisecond)
	is.Equal(e.Packet(request(1, firstB), 230*time.Millisecond).Reason, flow.ReasonRegistered)
}
