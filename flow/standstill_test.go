package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// A host that stood still for frozen decides its next packets by what it knew before.
const frozen = 2400 * time.Millisecond

// thawed returns a table that looked at the clock until time 0, and then again after
// the standstill.
func thawed(p flow.Placer) *flow.Entry {
	e := flow.NewEntry(p, entryA)
	e.ObserveClock(0)
	e.ObserveClock(frozen)
	return e
}

// run looks at the clock as a host that runs does.
func run(e *flow.Entry, from, to time.Duration) {
	for now := from; now < to; now += 20 * time.Millisecond {
		e.ObserveClock(now)
	}
}

// An opening that waited in the socket may have been placed elsewhere meanwhile: a
// reset by the old view would end a flow that is open.
func TestOpeningAfterAStandstillIsNotReset(t *testing.T) {
	for _, reason := range []flow.Reason{flow.ReasonNoRoute, flow.ReasonNoTarget} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			e := thawed(&fixedPlacer{reason: reason})
			is.Equal(e.Packet(syn(1), frozen).Action, flow.Wait)
			run(e, frozen, frozen+499*time.Millisecond)
			is.True(!e.MayReset(frozen + 499*time.Millisecond))
			is.Equal(e.Packet(syn(1), frozen+499*time.Millisecond).Action, flow.Wait)
			is.True(e.MayReset(frozen + 500*time.Millisecond))
			is.Equal(e.Packet(syn(1), frozen+500*time.Millisecond).Action, flow.Reset)
		})
	}
}

// What can be placed is placed at once.
func TestOpeningAfterAStandstillIsPlaced(t *testing.T) {
	is := is.New(t)
	e := thawed(&fixedPlacer{agents: []flow.Endpoint{agentA}})
	v := e.Packet(syn(1), frozen)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentA)
}

// Without a regular look the packet itself shows the standstill.
func TestPacketShowsTheStandstill(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	is.Equal(e.Packet(syn(1), frozen).Action, flow.Wait)
}

// The steady clock of a machine does not count the time for which it was suspended.
func TestSuspendedMachine(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	e.ReportStall(20*time.Millisecond, time.Hour)
	is.Equal(e.Packet(syn(1), 20*time.Millisecond).Action, flow.Wait)
	run(e, 40*time.Millisecond, 520*time.Millisecond)
	is.Equal(e.Packet(syn(1), 520*time.Millisecond).Action, flow.Reset)
	is.Equal(e.ObserveClock(540*time.Millisecond), time.Duration(0)) // it was told before
}

// A short standstill, as on a busy processor, holds back resets for no longer than it
// took.
func TestShortStandstill(t *testing.T) {
	is := is.New(t)
	const short = 200 * time.Millisecond
	e := flow.NewEntry(&fixedPlacer{reason: flow.ReasonNoTarget}, entryA)
	e.ObserveClock(0)
	is.Equal(e.Packet(syn(1), short).Action, flow.Wait)
	run(e, short, short+200*time.Millisecond)
	is.Equal(e.Packet(syn(1), short+200*time.Millisecond).Action, flow.Reset)
}

// The time in which an agent has to answer does not pass while nobody reads its answer.
func TestDoubtDoesNotAgeInAStandstill(t *testing.T) {
	is := is.New(t)
	p := &fixedPlacer{agents: []flow.Endpoint{agentA}}
	e := flow.NewEntry(p, entryA)
	e.ObserveClock(0)
	e.Packet(syn(1), 0)
	e.Held(heldBy(1, firstA, false), agentA, 0)
	p.lost = agentA
	is.Equal(e.Packet(request(1, firstA), time.Millisecond).Frame.Kind, flow.Search)
	for now := frozen; now < frozen+500*time.Millisecond; now += 100 * time.Millisecond {
		v := e.Packet(request(1, firstA), now)
		is.Equal(v.Action, flow.Send) // what was not read may tell that the agent lives
		is.Equal(v.To, agentA)
	}
	settled := frozen + 500*time.Millisecond
	run(e, settled-100*time.Millisecond, settled)
	is.Equal(e.Packet(request(1, firstA), settled).Frame.Kind, flow.Search) // asked anew
	e.ObserveClock(settled + 100*time.Millisecond)
	v := e.Packet(request(1, firstA), settled+200*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonTargetGone)
}

// That all known agents deny a flow says nothing while the list of them may be old.
func TestDenialsAfterAStandstill(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryA)
	e.ObserveClock(0)
	e.Packet(request(1, firstA), 0)
	v, _ := e.Denied(key(1), agentA, frozen)
	is.Equal(v.Action, flow.Drop)
	run(e, frozen, frozen+500*time.Millisecond)
	e.Packet(request(1, firstA), frozen+500*time.Millisecond)
	v, _ = e.Denied(key(1), agentA, frozen+501*time.Millisecond)
	is.Equal(v.Action, flow.Reset)
}
