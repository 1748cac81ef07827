package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

const millisecond = time.Millisecond

// full returns an agent whose target has a request in each slot and one more for each to
// follow, at time 0.
func full(t *testing.T) *flow.Agent {
	t.Helper()
	is := is.New(t)
	a := newAgent(serving())
	for port := uint16(1); port <= 8; port++ {
		is.Equal(a.FromEntry(open(entryA), syn(port), 0).Action, flow.Deliver)
		a.FromTarget(synAck(port, firstA), 0)
		a.FromEntry(data(entryA), request(port, firstA), 0)
	}
	return a
}

func nothing(t *testing.T, a *flow.Agent, now time.Duration) {
	t.Helper()
	_, _, ok := a.NextQueued(now)
	is.New(t).True(!ok)
}

func TestNewestOpeningGoesFirst(t *testing.T) {
	is := is.New(t)
	a := full(t)
	for port := uint16(11); port <= 13; port++ {
		v := a.FromEntry(open(entryA), syn(port), 0)
		is.Equal(v.Action, flow.Wait)
		is.Equal(v.Reason, flow.ReasonQueued)
	}
	is.Equal(a.FromEntry(open(entryB), syn(12), 0).Action, flow.Drop) // a copy
	is.Equal(a.QueueLen(), 3)
	nothing(t, a, millisecond)
	a.FromTarget(response(1, firstA), 30*millisecond)
	v, p, ok := a.NextQueued(30 * millisecond)
	is.True(ok)
	is.Equal(v.Action, flow.Deliver)
	is.True(v.UseCopy)
	is.Equal(p.Key, key(13))
	nothing(t, a, 30*millisecond) // its request is on its way
	_, p, ok = a.NextQueued(80 * millisecond)
	is.True(ok) // it does not come
	is.Equal(p.Key, key(12))
}

func TestOpeningThatWaitedForTooLongIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	a := full(t)
	a.FromEntry(open(entryA), syn(11), 0)
	a.FromEntry(open(entryA), syn(12), 100*millisecond)
	nothing(t, a, 449*millisecond)
	v, p, ok := a.NextQueued(450 * millisecond)
	is.True(ok)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.Reason, flow.ReasonQueueExpired)
	is.Equal(v.To, entryA)
	is.Equal(v.Frame.Kind, flow.Missed)
	is.Equal(p.Key, key(11))
	nothing(t, a, 450*millisecond)
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	a := full(t)
	for port := uint16(100); port < 100+60; port++ {
		is.Equal(a.FromEntry(open(entryA), syn(port), 0).Action, flow.Wait)
	}
	nothing(t, a, 0)
	is.Equal(a.FromEntry(open(entryA), syn(200), 0).Action, flow.Wait)
	v, p, ok := a.NextQueued(0)
	is.True(ok)
	is.Equal(v.Action, flow.Return)
	is.Equal(p.Key, key(100)) // the oldest
	nothing(t, a, 0)
}

// Openings beside a target that leaves meanwhile go to another one at once.
func TestQueueOfALeavingTarget(t *testing.T) {
	is := is.New(t)
	a := full(t)
	a.SetPeers([]flow.Endpoint{agentB}, []flow.Endpoint{agentA, agentB}, agentA)
	a.FromEntry(open(entryA), syn(11), 0)
	leaving := serving()
	leaving.State = flow.Draining
	a.SetServer(leaving)
	v, p, ok := a.NextQueued(millisecond)
	is.True(ok)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)
	is.Equal(p.Key, key(11))
}

// Only the entry host knows whether another target was offered the flow, or has it.
func TestOpeningThatWaitedInVain(t *testing.T) {
	for name, tt := range map[string]struct {
		before func(e *flow.Entry)
		want   flow.Action
	}{
		"one target":             {func(*flow.Entry) {}, flow.Reset},
		"another one is offered": {func(e *flow.Entry) { e.Packet(syn(1), 200*millisecond) }, flow.Drop},
		"another one has answered": {func(e *flow.Entry) {
			e.Packet(syn(1), 200*millisecond)
			e.Held(heldBy(1, firstB, false), agentB, 210*millisecond)
		}, flow.Drop},
		"another one has the flow": {func(e *flow.Entry) { e.Held(heldBy(1, firstB, true), agentB, 210*millisecond) }, flow.Drop},
		"neither has room": {func(e *flow.Entry) {
			e.Packet(syn(1), 200*millisecond)
			e.Missed(syn(1), agentB, 300*millisecond)
		}, flow.Reset},
		"the port is used again": {func(e *flow.Entry) {
			again := syn(1)
			again.Seq++
			e.Packet(again, 200*millisecond)
		}, flow.Drop},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA, agentB}}, entryA)
			is.Equal(e.Packet(syn(1), 0).To, agentA)
			tt.before(e)
			is.Equal(e.Missed(syn(1), agentA, 450*millisecond).Action, tt.want)
		})
	}
	is := is.New(t)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{agentA}}, entryB)
	is.Equal(e.Missed(syn(1), agentA, 0).Action, flow.Drop) // another entry host offered it
}

func TestOpeningThatWasTakenElsewhereLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	a := full(t)
	a.FromEntry(open(entryA), syn(11), 0)
	a.FromEntry(search(entryA), request(11, firstB), 200*millisecond)
	is.Equal(a.QueueLen(), 0)
}

// Nothing waits beside a target that does not tell its slots.
func TestTargetOfUnknownSlots(t *testing.T) {
	is := is.New(t)
	s := serving()
	s.Slots = 0
	a := newAgent(s)
	for port := uint16(1); port <= 100; port++ {
		is.Equal(a.FromEntry(open(entryA), syn(port), 0).Action, flow.Deliver)
	}
}

// TestBurst plays the heaviest load: 60 openings at once to a target that takes 50 ms for
// a request, and 40 a second after that, half of what it can do.
func TestBurst(t *testing.T) {
	is := is.New(t)
	arrival := newBurst(0).play()
	queued := newBurst(4).play()
	t.Logf("of %d new requests in time: %d in the order of arrival, %d with the queue; of the burst answered: %d, %d",
		queued.fresh, arrival.inTime, queued.inTime, arrival.late, queued.late)
	is.True(arrival.inTime*2 < arrival.fresh)        // most are late without the queue
	is.True(queued.inTime*10 >= queued.fresh*9)      // and hardly any with it
	is.True(queued.longest < 450*millisecond+2*tick) // refused at once
	is.Equal(queued.late+queued.refused, burstSize)  // nobody is left without an answer
}

const (
	tick      = 10 * millisecond
	burstSize = 60
	inTime    = 150 * millisecond
	workTime  = 50 * millisecond
	playFor   = 1500 * millisecond
)

// burst plays an agent and its target, which runs four requests at a time.
type burst struct {
	agent *flow.Agent
	// came is when each opening came, ends when the requests in progress end, queue
	// those that the target has yet to begin.
	came  map[uint16]time.Duration
	ends  map[uint16]time.Duration
	queue []uint16

	fresh, inTime, late, refused int
	longest                      time.Duration
}

func newBurst(slots int) *burst {
	s := serving()
	s.Slots = slots
	return &burst{agent: newAgent(s), came: map[uint16]time.Duration{}, ends: map[uint16]time.Duration{}}
}

func (b *burst) play() *burst {
	port := uint16(0)
	for now := time.Duration(0); now < 2*playFor; now += tick {
		b.answer(now)
		count := 0
		if now == 0 {
			count = burstSize
		} else if now < playFor && now%(25*millisecond) < tick {
			b.fresh++
			count = 1
		}
		for range count {
			port++
			b.came[port] = now
			if b.agent.FromEntry(open(entryA), syn(port), now).Action == flow.Deliver {
				b.begin(port, now)
			}
		}
		b.admit(now)
	}
	return b
}

// admit lets in or refuses what waits.
func (b *burst) admit(now time.Duration) {
	for {
		v, p, ok := b.agent.NextQueued(now)
		switch {
		case !ok:
			return
		case v.Action == flow.Deliver:
			b.begin(p.Key.Caller.Port, now)
		default:
			b.refused++
			b.longest = max(b.longest, now-b.came[p.Key.Caller.Port])
		}
	}
}

// begin opens a flow and sends its request.
func (b *burst) begin(port uint16, now time.Duration) {
	b.agent.FromTarget(synAck(port, firstA), now)
	b.agent.FromEntry(data(entryA), request(port, firstA), now)
	b.queue = append(b.queue, port)
	b.run(now)
}

func (b *burst) run(now time.Duration) {
	for len(b.ends) < 4 && len(b.queue) > 0 {
		b.ends[b.queue[0]] = now + workTime
		b.queue = b.queue[1:]
	}
}

// answer ends the requests that are done.
func (b *burst) answer(now time.Duration) {
	for port, at := range b.ends {
		if at > now {
			continue
		}
		delete(b.ends, port)
		b.agent.FromTarget(response(port, firstA), now)
		switch {
		case b.came[port] == 0:
			b.late++
		case now-b.came[port] <= inTime:
			b.inTime++
		}
	}
	b.run(now)
}
