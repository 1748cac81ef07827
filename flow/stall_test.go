package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// stallTime is the length of the stall, after which a host has outdated information.
const stallTime = 2400 * time.Millisecond

// afterStall returns a table that was stalled from time 0 on.
func afterStall(p flow.Placer) *flow.Entry {
	e := flow.NewEntry(p, entryA)
	e.ObserveClock(0)
	e.ObserveClock(stallTime)
	return e
}

// observeRange observes the clock as a running host does.
func observeRange(e *flow.Entry, from, to time.Duration) {
	for now := from; now < to; now += 20 * time.Millisecond {
		e.ObserveClock(now)
	}
}

// An opening that was buffered by the socket may have been placed elsewhere meanwhile. A
// reset based on outdated information would end an open flow.
func TestOpeningAfterStallIsNotReset(t *testing.T) {
	for _, reason := range []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			e := afterStall(&fixedPlacer{reason: reason})
			is.Equal(e.Packet(syn(1), stallTime).Action, flow.Wait)
			observeRange(e, stallTime, stallTime+499*time.Millisecond)
			is.True(!e.MayReset(stallTime + 499*time.Millisecond))
			is.Equal(e.Packet(syn(1), stallTime+499*time.Millisecond).Action, flow.Wait)
			is.True(e.MayReset(stallTime + 500*time.Millisecond))
			is.Equal(e.Packet(syn(1), stallTime+500*time.Millisecond).Action, flow.Reset)
		})
	}
}

// An opening that can be placed is placed at once.
func TestOpeningAfterStallIsPlaced(t *testing.T) {
	is := is.New(t)
	e := afterStall(&fixedPlacer{agents: []flow.Endpoint{agentA}})
	v := e.Packet(syn(1), stallTime)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentA)
}

// An opening that was buffered by the socket of a stalled host can be placed by outdated
// information on a target that takes no flows. Neither its agent nor the host may reset the flow,
// which the caller may have opened by a copy of the opening meanwhile.
func TestOpeningAfterStallIsNotResetByAgents(t *testing.T) {
	for name, server := range map[string]flow.Server{"evacuated": evacuated(), "leaving": {State: flow.Draining, Service: lodgement, Slots: 4}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := afterStall(&fixedPlacer{agents: []flow.Endpoint{agentA}})
			sent := e.Packet(syn(1), stallTime)
			refused := newAgent(server).FromEntry(sent.Frame, syn(1), stallTime)
			is.Equal(refused.Action, flow.Return)
			is.Equal(e.Missed(refused.Frame, syn(1), agentA, stallTime+millisecond).Action, flow.Drop)
		})
	}
}

// The packet itself reveals the stall if the clock was not observed before.
func TestPacketRevealsStall(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	is.Equal(e.Packet(syn(1), stallTime).Action, flow.Wait)
}

// The monotonic clock does not count the time of a suspension.
func TestSuspendedMachine(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	e.ReportStall(20*time.Millisecond, time.Hour)
	is.Equal(e.Packet(syn(1), 20*time.Millisecond).Action, flow.Wait)
	observeRange(e, 40*time.Millisecond, 520*time.Millisecond)
	is.Equal(e.Packet(syn(1), 520*time.Millisecond).Action, flow.Reset)
	is.Equal(e.ObserveClock(540*time.Millisecond), time.Duration(0)) // already returned
}

// After a short stall resets are delayed by no more than its length.
func TestShortStall(t *testing.T) {
	is := is.New(t)
	const short = 200 * time.Millisecond
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	is.Equal(e.Packet(syn(1), short).Action, flow.Wait)
	observeRange(e, short, short+200*time.Millisecond)
	is.Equal(e.Packet(syn(1), short+200*time.Millisecond).Action, flow.Reset)
}

// A probe does not time out while replies are unread.
func TestProbeDoesNotExpireDuringStall(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA}}
	e := flow.NewEntry(p, entryA)
	e.ObserveClock(0)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	p.gone = agentA
	is.Equal(e.Packet(request(1, firstA), time.Millisecond).Frame.Kind, flow.Search)
	for now := stallTime; now < stallTime+500*time.Millisecond; now += 100 * time.Millisecond {
		v := e.Packet(request(1, firstA), now)
		is.Equal(v.Action, flow.Send) // the reply may be unread
		is.Equal(v.To, agentA)
	}
	resetsAllowed := stallTime + 500*time.Millisecond
	observeRange(e, resetsAllowed-100*time.Millisecond, resetsAllowed)
	is.Equal(e.Packet(request(1, firstA), resetsAllowed).Frame.Kind, flow.Search) // probed again
	e.ObserveClock(resetsAllowed + 100*time.Millisecond)
	v := e.Packet(request(1, firstA), resetsAllowed+200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonTargetGone)
}

// Denials by all known agents do not count while the list may be outdated.
func TestDenialsAfterStall(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	e.ObserveClock(0)
	e.Packet(request(1, firstA), 0)
	v, _ := e.Denied(denial(1), agentA, stallTime)
	is.Equal(v.Action, flow.Drop)
	observeRange(e, stallTime, stallTime+500*time.Millisecond)
	e.Packet(request(1, firstA), stallTime+500*time.Millisecond)
	v, _ = e.Denied(denial(1), agentA, stallTime+501*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
}
