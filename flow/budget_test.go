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
	// headers is the size of the UDP and IPv4 headers, frameHeader that of a frame.
	headers     = 28
	frameHeader = 22
	// payload is the size of a request.
	payload = 200
	// linkQueueLimit is the queueing delay above which the link drops datagrams.
	linkQueueLimit = 500 * time.Millisecond
	objective      = 250 * time.Millisecond
)

// narrowLink simulates callers at an entry host whose link carries both directions.
type narrowLink struct {
	entry  *flow.Entry
	now    time.Duration
	events events
	// freeAt is when the link has transmitted all queued datagrams.
	bytesPerSecond float64
	freeAt         time.Duration
	// requests counts those on open flows, inTime those that reach their agent in time.
	requests, inTime int
	// searched counts the copies of search packets that reached an agent.
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

func (n *narrowLink) after(d time.Duration, do func()) { heap.Push(&n.events, event{n.now + d, do}) }

func (n *narrowLink) run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at < until {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.do()
	}
}

// transmit sends a datagram over the link, or drops it if the queue is too long.
func (n *narrowLink) transmit(size int, then func()) {
	if n.freeAt-n.now > linkQueueLimit {
		return
	}
	duration := time.Duration(float64(size+headers) / n.bytesPerSecond * float64(time.Second))
	n.freeAt = max(n.freeAt, n.now) + duration
	n.after(n.freeAt-n.now, then)
}

// packet sends a caller's request through the link, and on to agents.
func (n *narrowLink) packet(port uint16, delivered func()) {
	n.transmit(payload, func() {
		n.entry.CountTraffic(payload, n.now)
		switch v := n.entry.Packet(request(port, firstA), n.now); v.Action {
		case flow.Send:
			n.entry.CountTraffic(payload+frameHeader, n.now)
			n.transmit(payload+frameHeader, delivered)
		case flow.SendAll:
			for range v.All {
				n.entry.CountTraffic(payload+frameHeader, n.now)
				n.transmit(payload+frameHeader, func() { n.searched++ })
			}
		}
	})
}

// sendRequests sends a request each second on an open flow.
func (n *narrowLink) sendRequests(port uint16) {
	began := n.now
	n.requests++
	n.packet(port, func() {
		if n.now-began <= objective {
			n.inTime++
		}
	})
	n.after(time.Second, func() { n.sendRequests(port) })
}

// retryLostFlow retransmits a request of a lost flow, and starts over after a timeout.
func (n *narrowLink) retryLostFlow(port uint16) {
	for _, delay := range []time.Duration{0, 200, 600, 1400} {
		n.after(delay*time.Millisecond, func() { n.packet(port, func() {}) })
	}
	n.after(3*time.Second, func() { n.retryLostFlow(port) })
}

// afterPowerLoss simulates ten seconds of open flows that use a third of the link, and
// twice as many callers whose flows nobody holds. No agent replies.
func afterPowerLoss(bitsPerSecond float64, rateKnown bool) *narrowLink {
	n := &narrowLink{entry: flow.NewEntry(&fixedPlacer{agents: agents(60)}, entryA), bytesPerSecond: bitsPerSecond / 8}
	if rateKnown {
		n.entry.SetLinkRate(bitsPerSecond, 0)
	}
	open := int(n.bytesPerSecond / 3 / (2*payload + 2*headers + frameHeader))
	for i := range open {
		port := uint16(i + 1)
		n.entry.Packet(syn(port), 0)
		n.entry.Held(heldBy(port, firstA, true), agentA, 0)
		n.after(time.Duration(i)*time.Second/time.Duration(open), func() { n.sendRequests(port) })
	}
	for i := range 2 * open {
		port := uint16(20_000 + i)
		n.after(time.Duration(i)*3*time.Second/time.Duration(2*open), func() { n.retryLostFlow(port) })
	}
	n.run(10 * time.Second)
	return n
}

// Searches get only the part of a narrow link that open flows do not use.
func TestSearchesYieldToOpenFlows(t *testing.T) {
	for _, bitsPerSecond := range []float64{0.5e6, 1e6, 2.1e6} {
		t.Run(fmt.Sprint(bitsPerSecond), func(t *testing.T) {
			is := is.New(t)
			n := afterPowerLoss(bitsPerSecond, true)
			is.True(float64(n.inTime) >= 0.95*float64(n.requests))
			is.True(n.searched > n.requests/10)
		})
	}
}

// Without a known rate the searches fill the link, so that open flows are late.
func TestSearchesWithUnknownLinkRate(t *testing.T) {
	n := afterPowerLoss(1e6, false)
	is.New(t).True(float64(n.inTime) < 0.5*float64(n.requests))
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: agents(40)}, entryA)
	e.SetLinkRate(1e6, 0)
	is.Equal(e.Packet(request(2, firstA), 0).Action, flow.SendAll)
	e.CountTraffic(12_000, 0) // more than the burst size
	is.Equal(e.Packet(request(2, firstA), 0).Reason, flow.ReasonLinkFull)
	is.Equal(e.Packet(syn(3), 0).Action, flow.Send)
	e.CountTraffic(1_000_000, 0)
	is.Equal(e.Packet(request(2, firstA), 200*millisecond).Reason, flow.ReasonLinkFull)
	is.Equal(e.Packet(request(2, firstA), 400*millisecond).Action, flow.SendAll) // the debt is limited
}
