package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// confirmedEntry returns an entry host that knows some agents, confirmed as of a time.
func confirmedEntry(agents []flow.Endpoint, at time.Duration) *flow.Entry {
	e := flow.NewEntry(&fixedPlacer{agents: agents}, entryA)
	e.RequireConfirmation()
	e.Confirm(at, at)
	return e
}

// Guards against a reset by a host whose configuration or list of targets is older than the flow:
// its target may be one that the host does not know yet.
func TestResetNeedsLaterConfirmation(t *testing.T) {
	is := is.New(t)
	known := []flow.Endpoint{agentA, agentB}
	e := confirmedEntry(known, time.Second)
	const arrived = 2 * time.Second
	is.Equal(e.Packet(request(1, firstA), arrived).Action, flow.SendAll)
	deny := func(now time.Duration) flow.Verdict {
		e.Denied(denial(1), agentA, now)
		v, _ := e.Denied(denial(1), agentB, now)
		return v
	}
	is.True(!e.AwaitsConfirmation())
	is.Equal(deny(arrived).Reason, flow.ReasonViewUnconfirmed)
	is.True(e.AwaitsConfirmation())
	is.Equal(len(e.Confirm(arrived-1, arrived+1)), 0) // began before
	is.True(e.AwaitsConfirmation())
	resets := e.Confirm(arrived, arrived+2)
	is.Equal(len(resets), 1)
	is.Equal(resets[0].Verdict.Action, flow.Reset)
	is.Equal(resets[0].Packet.Key, key(1))
	is.Equal(resets[0].Packet.Ack, request(1, firstA).Ack)
	is.True(!e.AwaitsConfirmation())
	is.Equal(e.Len(), 0)

	// With a confirmation that covers it, a flow is reset at once.
	is.Equal(e.Packet(request(1, firstA), arrived).Action, flow.SendAll)
	is.Equal(deny(arrived+3).Action, flow.Reset)
}

// Guards against a reset of a flow that was found, or of one that a service which the confirmed
// configuration names may hold.
func TestConfirmationOfFoundFlow(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA}}
	e := flow.NewEntry(p, entryA)
	e.RequireConfirmation()
	for port := uint16(1); port <= 2; port++ {
		e.Packet(request(port, firstA), time.Second)
		v, _ := e.Denied(denial(port), agentA, time.Second)
		is.Equal(v.Reason, flow.ReasonViewUnconfirmed)
	}
	e.Held(heldBy(1, firstB, true), agentB, time.Second)
	p.agents = []flow.Endpoint{agentA, agentB} // a target came with the confirmation
	is.Equal(len(e.Confirm(2*time.Second, 2*time.Second)), 0)
	is.True(!e.AwaitsConfirmation())
	v, _ := e.Denied(denial(2), agentB, 2*time.Second)
	is.Equal(v.Action, flow.Reset)
}

// Guards against a reset right after a stall, when what was received meanwhile is not applied.
func TestConfirmationAfterStall(t *testing.T) {
	is := is.New(t)
	e := confirmedEntry([]flow.Endpoint{agentA}, 1)
	e.Packet(request(1, firstA), time.Second)
	e.Denied(denial(1), agentA, time.Second)
	e.ReportStall(2*time.Second, time.Second)
	is.True(!e.MayReset(2 * time.Second))
	is.Equal(len(e.Confirm(2*time.Second, 2*time.Second)), 0)
	is.True(e.AwaitsConfirmation())
	is.Equal(len(e.Confirm(4*time.Second, 4*time.Second)), 1)
}

// Guards against a reset because an agent is slow to answer and its target is not in a list that is
// older than the target.
func TestProbeNeedsLaterConfirmation(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA}}
	e := flow.NewEntry(p, entryA)
	e.RequireConfirmation()
	e.Confirm(time.Second, time.Second)
	const start = 2 * time.Second
	e.Held(heldBy(1, firstA, true), agentA, start)
	p.gone = agentA
	is.Equal(e.Packet(request(1, firstA), start).Frame.Kind, flow.Search)
	is.True(e.AwaitsConfirmation())
	v := e.Packet(request(1, firstA), start+200*millisecond)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.Frame.Kind, flow.Search)
	e.Confirm(start, start+300*millisecond)
	is.True(!e.AwaitsConfirmation())
	is.Equal(e.Packet(request(1, firstA), start+400*millisecond).Reason, flow.ReasonTargetGone)
}
