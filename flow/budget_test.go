package flow_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

const (
	// headers are those of UDP and IPv4, and frameHeader that of a frame, in bytes.
	headers     = 28
	frameHeader = 22
	// payload of a request.
	payload = 200
	// queueOnLink is how long packets wait before a full link until more are lost.
	queueOnLink = 500 * time.Millisecond
	objective   = 250 * time.Millisecond
)

// narrow plays callers at one entry host whose link carries both directions.
type narrow struct {
	entry  *flow.Entry
	now    time.Duration
	events events
	// width is in bytes a second, free is when the link has carried all that waits.
	width float64
	free  time.Duration
	// requests are those on open flows, inTime those of them that reach their agent.
	requests, inTime int
	// searched counts copies of packets that were searched with and reached an agent.
	searched int
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (n *narrow) after(d time.Duration, do func()) { heap.Push(&n.events, event{n.now + d, do}) }

func (n *narrow) run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at < until {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.do()
	}
}

// carry has the link carry a datagram, unless too many wait before it.
func (n *narrow) carry(size int, then func()) {
	if n.free-n.now > queueOnLink {
		return
	}
	took := time.Duration(float64(size+headers) / n.width * float64(time.Second))
	n.free = max(n.free, n.now) + took
	n.after(n.free-n.now, then)
}

// packet has a caller's request come through the link and go on to agents.
func (n *narrow) packet(port uint16, delivered func()) {
	n.carry(payload, func() {
		n.entry.CountTraffic(payload, n.now)
		switch v := n.entry.Packet(request(port, firstA), n.now); v.Action {
		case flow.Send:
			n.entry.CountTraffic(payload+frameHeader, n.now)
			n.carry(payload+frameHeader, delivered)
		case flow.SendAll:
			for range v.All {
				n.entry.CountTraffic(payload+frameHeader, n.now)
				n.carry(payload+frameHeader, func() { n.searched++ })
			}
		}
	})
}

// keep has a caller with an open flow send a request each second.
func (n *narrow) keep(port uint16) {
	began := n.now
	n.requests++
	n.packet(port, func() {
		if n.now-began <= objective {
			n.inTime++
		}
	})
	n.after(time.Second, func() { n.keep(port) })
}

// lost has a caller whose flow is gone send its request again and again, and then try anew.
func (n *narrow) lost(port uint16) {
	for _, pause := range []time.Duration{0, 200, 600, 1400} {
		n.after(pause*time.Millisecond, func() { n.packet(port, func() {}) })
	}
	n.after(3*time.Second, func() { n.lost(port) })
}

// afterALossOfPower plays ten seconds of callers whose flows have opened anew, which take a
// third of the link, and of twice as many whose flows nobody holds. No agent answers.
func afterALossOfPower(bitsPerSecond float64, known bool) *narrow {
	n := &narrow{entry: flow.NewEntry(&fixedPlacer{agents: agents(60)}, entryA), width: bitsPerSecond / 8}
	if known {
		n.entry.SetLinkRate(bitsPerSecond, 0)
	}
	open := int(n.width / 3 / (2*payload + 2*headers + frameHeader))
	for i := range open {
		port := uint16(i + 1)
		n.entry.Packet(syn(port), 0)
		n.entry.Held(heldBy(port, firstA, true), agentA, 0)
		n.after(time.Duration(i)*time.Second/time.Duration(open), func() { n.keep(port) })
	}
	for i := range 2 * open {
		port := uint16(20_000 + i)
		n.after(time.Duration(i)*3*time.Second/time.Duration(2*open), func() { n.lost(port) })
	}
	n.run(10 * time.Second)
	return n
}

// Flows that are open are served, however many others are searched for over a narrow link,
// and what is left of the link is used for the searches.
func TestSearchesLeaveTheLinkToOpenFlows(t *testing.T) {
	for _, bitsPerSecond := range []float64{0.5e6, 1e6, 2.1e6} {
		t.Run(fmt.Sprint(bitsPerSecond), func(t *testing.T) {
			is := is.New(t)
			n := afterALossOfPower(bitsPerSecond, true)
			is.True(float64(n.inTime) >= 0.95*float64(n.requests))
			is.True(n.searched > n.requests/10)
		})
	}
}

// Where the width is not known the searches fill the link.
func TestSearchesOverALinkOfUnknownWidth(t *testing.T) {
	n := afterALossOfPower(1e6, false)
	is.New(t).True(float64(n.inTime) < 0.5*float64(n.requests)) // what the budget is for
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: agents(40)}, entryA)
	e.SetLinkRate(1e6, 0)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.SendAll)
	e.CountTraffic(12_000, 0) // more than a tenth of a second of the link
	is.Equal(e.Packet(request(2, firstA), 0).Reason, flow.ReasonLinkFull)
	is.Equal(e.Packet(syn(3), 0).Action, flow.Send)
	e.CountTraffic(1_000_000, 0)
	is.Equal(e.Packet(request(2, firstA), 200*millisecond).Reason, flow.ReasonLinkFull)
	is.Equal(e.Packet(request(2, firstA), 400*millisecond).Action, flow.SendAll) // the debt is bounded
}
