package flow_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// fleet is an entry host and the agents of one service. What they send arrives at once, in
// order, and is counted.
type fleet struct {
	entry  *flow.Entry
	agents map[flow.Endpoint]*flow.Agent
	all    []flow.Endpoint
	now    time.Duration
	// toEntry and between count frames to the entry host, and between agents.
	toEntry, between int
	// delivered has the agents whose targets got a packet, reset the flows whose callers
	// were told that they are gone.
	delivered map[flow.Key][]flow.Endpoint
	reset     map[flow.Key]bool
	// deaf agents get nothing.
	deaf map[flow.Endpoint]bool
}

// newFleet has agents that know all flows of their targets, but for the uncertain ones.
func newFleet(count int, uncertain ...int) *fleet {
	f := &fleet{
		agents: map[flow.Endpoint]*flow.Agent{}, all: fellows(count), now: long,
		delivered: map[flow.Key][]flow.Endpoint{}, reset: map[flow.Key]bool{}, deaf: map[flow.Endpoint]bool{},
	}
	f.entry = flow.NewEntry(&coordinatedPlacer{fixedPlacer{agents: f.all}}, entryA)
	for i, at := range f.all {
		a := flow.NewAgent(f.now)
		a.SetServer(flow.Server{State: flow.Serving, Service: lodgement, Slots: 4})
		a.MarkComplete(f.now)
		for _, u := range uncertain {
			if u == i {
				a = flow.NewAgent(f.now)
				a.SetServer(flow.Server{State: flow.Serving, Service: lodgement, Slots: 4})
			}
		}
		a.SetPeers(nil, f.all, at)
		f.agents[at] = a
	}
	return f
}

// coordinatedPlacer has few agents ask all others.
type coordinatedPlacer struct{ fixedPlacer }

func (p *coordinatedPlacer) Coordinators(to []flow.Endpoint, key flow.Key, turn int) []flow.Endpoint {
	return flow.AppendCoordinators(to, key, turn, p.agents)
}

func fellows(count int) []flow.Endpoint {
	var out []flow.Endpoint
	for i := range count {
		out = append(out, endpoint(fmt.Sprintf("10.2.%d.%d:8172", i/250, i%250+1)))
	}
	return out
}

// packet is a caller's packet at the entry host.
func (f *fleet) packet(p flow.Packet) { f.entryActs(f.entry.Packet(p, f.now), p) }

func (f *fleet) entryActs(v flow.Verdict, p flow.Packet) {
	switch v.Action {
	case flow.SendAll:
		for _, to := range append([]flow.Endpoint{}, v.All...) {
			f.toAgent(to, v.Frame, p)
		}
	case flow.Send:
		f.toAgent(v.To, v.Frame, p)
	case flow.Reset:
		f.reset[p.Key] = true
	}
}

func (f *fleet) toAgent(to flow.Endpoint, m flow.Frame, p flow.Packet) {
	if f.deaf[to] {
		return
	}
	a := f.agents[to]
	if m.Hops == flow.HopsLookup {
		f.tell(to, a.Lookup(m.Entry, p.Key, f.now))
		m.Hops, m.Entry = 1, to
	}
	v := a.FromEntry(m, p, f.now)
	switch v.Action {
	case flow.Deliver:
		f.delivered[p.Key] = append(f.delivered[p.Key], to)
		if held := a.HeldNotice(p.Key); held != nil {
			f.answer(held.Entry, *held, to, p)
		}
	case flow.Deny:
		f.answer(v.To, flow.Frame{Kind: flow.Denied, Key: p.Key}, to, p)
	case flow.Send:
		f.between++
		f.toAgent(v.To, v.Frame, p)
	}
}

// answer is what an agent says to whoever searches: the entry host, or an agent that asks
// for it.
func (f *fleet) answer(to flow.Endpoint, m flow.Frame, from flow.Endpoint, p flow.Packet) {
	a := f.agents[to]
	if a != nil && to != from {
		f.between++
	}
	switch {
	case a != nil && m.Kind == flow.Held:
		f.tell(to, a.RecordHolder(m.Key, from))
	case a != nil:
		f.tell(to, a.HandleNotHeld([]flow.Key{m.Key}, from))
	case m.Kind == flow.Held:
		f.toEntry++
		f.entry.Held(m, from, f.now)
	default:
		f.toEntry++
		v, known := f.entry.Denied(m.Key, from, f.now)
		if v.UseCopy {
			known = p
		}
		f.entryActs(v, known)
	}
}

func (f *fleet) tell(from flow.Endpoint, notices []flow.Notice) {
	for _, n := range notices {
		if n.Frame.Kind == flow.Search {
			f.between++
			f.toAgent(n.To, n.Frame, request(n.Key.Caller.Port, firstA))
			continue
		}
		f.toEntry++
		if n.Frame.Kind == flow.Located {
			f.entry.Located(n.Frame, f.now)
			continue
		}
		v, p := f.entry.HeldByNone(n.Frame, from, f.now)
		f.entryActs(v, p)
	}
}

// ask has each agent whose pause is over send its questions.
func (f *fleet) ask() {
	for at, a := range f.agents {
		if wait, due := a.NextQueryIn(f.now); !due || wait > 0 || f.deaf[at] {
			continue
		}
		for _, q := range append([]flow.Registration{}, a.Queries(f.now)...) {
			f.between++
			if f.deaf[q.To] {
				continue
			}
			lacks, open := f.agents[q.To].AnswerQuery(q.Keys, f.now)
			f.between++
			f.tell(at, a.HandleNotHeld(lacks, q.To))
			f.tell(at, a.HandleMayHold(open, q.To))
		}
	}
}

// All targets have lost power, and thousands of callers send packets of flows that nobody
// holds. Each caller is told so by its second packet, at a few frames a flow.
func TestFlowsThatNobodyHoldsAfterALossOfPower(t *testing.T) {
	is := is.New(t)
	const agents, flows = 160, 2000
	f := newFleet(agents)
	for port := range uint16(flows) {
		f.packet(request(port, firstA))
	}
	f.ask()
	is.Equal(len(f.reset), flows)
	is.True(f.toEntry <= 4*flows)                          // two denials, and the word of one agent for all
	is.True(f.between <= 2*8*agents*flows/8/64+2*8*agents) // one question for 64 flows at a time
	is.Equal(f.entry.Len(), 0)
}

// A round of questions waits for the pause, however many packets come meanwhile.
func TestInquiriesArePaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	f.packet(request(1, firstA))
	f.ask()
	is.True(f.reset[key(1)])
	first := f.between
	for port := uint16(2); port < 200; port++ {
		f.packet(request(port, firstA))
		f.ask()
	}
	begun := (f.between - first) / (2 * 39)
	is.True(begun <= 8) // each of the agents that ask has done so at most once
	f.now += 200 * time.Millisecond
	f.ask()
	is.Equal(len(f.reset), 199)
}

// The registrations of a flow are lost: its holder is found by asking all, gets the packet,
// and nobody is told that the flow is gone.
func TestInquiryFindsTheHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	holder := f.all[17]
	f.agents[holder].FromEntry(open(entryB), syn(1), f.now)
	f.agents[holder].FromTarget(synAck(1, firstA), f.now)
	f.agents[holder].FromEntry(data(entryB), request(1, firstA), f.now)
	f.packet(request(1, firstA))
	f.ask()
	is.Equal(f.delivered[key(1)], []flow.Endpoint{holder})
	is.Equal(len(f.reset), 0)
	f.packet(request(1, firstA)) // known by now
	is.Equal(f.delivered[key(1)], []flow.Endpoint{holder, holder})
}

// An agent that has started after its target has to ask that one: until it has denied the
// flow, too, nobody is told.
func TestInquiryWaitsForAnUncertainAgent(t *testing.T) {
	is := is.New(t)
	f := newFleet(40, 17)
	f.packet(request(1, firstA))
	f.ask()
	is.Equal(f.delivered[key(1)], []flow.Endpoint{f.all[17]})
	is.Equal(len(f.reset), 0)
	v, _ := f.agents[f.all[17]].FromTarget(sentBack(request(1, firstA)), f.now)
	is.Equal(v.Action, flow.Deny)
	f.answer(v.To, v.Frame, f.all[17], request(1, firstA))
	is.True(f.reset[key(1)])
	is.Equal(f.toEntry, 3) // two that should have known it, and the outcome
}

// An agent that does not answer may hold the flow.
func TestInquiryWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	f.deaf[f.all[3]] = true
	for i := range 6 {
		f.now = long + time.Duration(i)*250*time.Millisecond
		f.packet(request(1, firstA))
		f.ask()
	}
	is.Equal(len(f.reset), 0)
}

// An entry host that knows other agents than those that were asked does not believe that
// nobody holds the flow.
func TestClearedByAnotherListOfAgents(t *testing.T) {
	is := is.New(t)
	all := fellows(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	e.Packet(request(1, firstA), 0)
	cleared := flow.Frame{Kind: flow.HeldByNone, Key: key(1), Digest: flow.Digest(all[1:])}
	v, _ := e.HeldByNone(cleared, all[5], 0)
	is.Equal(v.Action, flow.Drop)
	cleared.Digest = flow.Digest(all)
	v, _ = e.HeldByNone(cleared, all[5], 0)
	is.Equal(v.Action, flow.Reset)
}

// The list of agents changes while questions are under way: what was said before is not
// counted for the new one.
func TestListChangesDuringAnInquiry(t *testing.T) {
	is := is.New(t)
	all := fellows(20)
	a := flow.NewAgent(0)
	a.SetServer(flow.Server{State: flow.Serving, Service: lodgement})
	a.MarkComplete(0)
	a.SetPeers(nil, all[:19], all[0])
	is.Equal(len(a.Lookup(entryA, key(1), long)), 0)
	a.HandleNotHeld([]flow.Key{key(1)}, all[0])
	is.Equal(len(a.Queries(long)), 18)
	a.SetPeers(nil, all, all[0])
	for _, from := range all[1:] {
		is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, from)), 0)
	}
	is.Equal(len(a.Lookup(entryA, key(1), long+time.Second)), 0)
	a.HandleNotHeld([]flow.Key{key(1)}, all[0])
	is.Equal(len(a.Queries(long+time.Second)), 19)
	for i, from := range all[1:] {
		notices := a.HandleNotHeld([]flow.Key{key(1)}, from)
		is.Equal(len(notices) == 1, i == 18)
	}
}

func TestCoordinatorsAreFew(t *testing.T) {
	is := is.New(t)
	all := fellows(160)
	seen := map[flow.Endpoint]bool{}
	for port := range uint16(2000) {
		two := flow.AppendCoordinators(nil, key(port), 0, all)
		is.Equal(len(two), 2)
		is.True(two[0] != two[1])
		seen[two[0]] = true
	}
	is.True(len(seen) <= 8)
}

func TestClearedFrame(t *testing.T) {
	is := is.New(t)
	m := flow.Frame{Kind: flow.HeldByNone, Key: key(7), Digest: 1<<63 + 5}
	b := m.Append(nil)
	got, _, err := flow.ParseFrame(b)
	is.NoErr(err)
	is.Equal(got, m)
	_, _, err = flow.ParseFrame(b[:20])
	is.Equal(err, flow.ErrFrame)
}

// Callers go on to send packets of flows that nobody answers for, since an agent is deaf. An
// entry host sends a few copies of each, never one to each agent of a large service.
func TestSearchesStayCheap(t *testing.T) {
	for _, agents := range []int{17, 60, 64, 160} {
		t.Run(strconv.Itoa(agents), func(t *testing.T) { searchesStayCheap(t, agents) })
	}
}

func searchesStayCheap(t *testing.T, agents int) {
	is := is.New(t)
	const flows, rounds = 50, 40
	f := newFleet(agents)
	f.deaf[f.all[3]] = true
	copies := 0
	for round := range rounds {
		f.now = long + time.Duration(round)*250*time.Millisecond
		for port := range uint16(flows) {
			v := f.entry.Packet(request(port, firstA), f.now)
			copies += len(v.All)
			f.entryActs(v, request(port, firstA))
		}
		f.ask()
	}
	is.True(copies <= 2*flows*rounds)
	is.Equal(len(f.reset), 0)
}
