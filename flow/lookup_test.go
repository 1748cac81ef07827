package flow_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// cluster connects an entry host and the agents of one service. Frames arrive at once, in
// order, and are counted.
type cluster struct {
	entry  *flow.Entry
	agents map[flow.Endpoint]*flow.Agent
	all    []flow.Endpoint
	now    time.Duration
	// toEntry and betweenAgents count frames by receiver.
	toEntry, betweenAgents int
	// delivered has the agents whose targets got a packet, reset the flows that were
	// reset.
	delivered map[flow.Key][]flow.Endpoint
	reset     map[flow.Key]bool
	// unreachable agents receive nothing.
	unreachable map[flow.Endpoint]bool
}

// newCluster returns a cluster whose agents know all flows of their targets, except the
// uncertain ones.
func newCluster(count int, uncertain ...int) *cluster {
	f := &cluster{
		agents: map[flow.Endpoint]*flow.Agent{}, all: manyAgents(count), now: wellAfterStart,
		delivered: map[flow.Key][]flow.Endpoint{}, reset: map[flow.Key]bool{}, unreachable: map[flow.Endpoint]bool{},
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

// coordinatedPlacer selects coordinators.
type coordinatedPlacer struct{ fixedPlacer }

func (p *coordinatedPlacer) Coordinators(to []flow.Endpoint, key flow.Key, turn int) []flow.Endpoint {
	return flow.AppendCoordinators(to, key, turn, p.agents)
}

func manyAgents(count int) []flow.Endpoint {
	var out []flow.Endpoint
	for i := range count {
		out = append(out, endpoint(fmt.Sprintf("10.2.%d.%d:8172", i/250, i%250+1)))
	}
	return out
}

// packet sends a caller's packet to the entry host.
func (f *cluster) packet(p flow.Packet) { f.applyEntryVerdict(f.entry.Packet(p, f.now), p) }

func (f *cluster) applyEntryVerdict(v flow.Verdict, p flow.Packet) {
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

func (f *cluster) toAgent(to flow.Endpoint, m flow.Frame, p flow.Packet) {
	if f.unreachable[to] {
		return
	}
	a := f.agents[to]
	if m.Hops == flow.HopsLookup {
		f.sendNotices(to, a.Lookup(m.Entry, p.Key, f.now))
		m.Hops, m.Entry = 1, to
	}
	v := a.FromEntry(m, p, f.now)
	switch v.Action {
	case flow.Deliver:
		f.delivered[p.Key] = append(f.delivered[p.Key], to)
		if held := a.HeldNotice(p.Key); held != nil {
			f.reply(held.Entry, *held, to, p)
		}
	case flow.Deny:
		f.reply(v.To, flow.Frame{Kind: flow.Denied, Key: p.Key}, to, p)
	case flow.Send:
		f.betweenAgents++
		f.toAgent(v.To, v.Frame, p)
	}
}

// reply sends an agent's reply to the entry host or the coordinator.
func (f *cluster) reply(to flow.Endpoint, m flow.Frame, from flow.Endpoint, p flow.Packet) {
	a := f.agents[to]
	if a != nil && to != from {
		f.betweenAgents++
	}
	switch {
	case a != nil && m.Kind == flow.Held:
		f.sendNotices(to, a.RecordHolder(m.Key, from))
	case a != nil:
		f.sendNotices(to, a.HandleNotHeld([]flow.Key{m.Key}, from))
	case m.Kind == flow.Held:
		f.toEntry++
		f.entry.Held(m, from, f.now)
	default:
		f.toEntry++
		v, known := f.entry.Denied(m.Key, from, f.now)
		if v.UseCopy {
			known = p
		}
		f.applyEntryVerdict(v, known)
	}
}

func (f *cluster) sendNotices(from flow.Endpoint, notices []flow.Notice) {
	for _, n := range notices {
		if n.Frame.Kind == flow.Search {
			f.betweenAgents++
			f.toAgent(n.To, n.Frame, request(n.Key.Caller.Port, firstA))
			continue
		}
		f.toEntry++
		if n.Frame.Kind == flow.Located {
			f.entry.Located(n.Frame, f.now)
			continue
		}
		v, p := f.entry.HeldByNone(n.Frame, from, f.now)
		f.applyEntryVerdict(v, p)
	}
}

// sendQueries runs the due query rounds of all agents.
func (f *cluster) sendQueries() {
	for at, a := range f.agents {
		if wait, due := a.NextQueryIn(f.now); !due || wait > 0 || f.unreachable[at] {
			continue
		}
		for _, q := range append([]flow.Registration{}, a.Queries(f.now)...) {
			f.betweenAgents++
			if f.unreachable[q.To] {
				continue
			}
			notHeld, mayHold := f.agents[q.To].AnswerQuery(q.Keys, f.now)
			f.betweenAgents++
			f.sendNotices(at, a.HandleNotHeld(notHeld, q.To))
			f.sendNotices(at, a.HandleMayHold(mayHold, q.To))
		}
	}
}

// After a power loss thousands of callers send packets of flows that nobody holds. Each
// flow is reset at a cost of few frames.
func TestLookupsAfterPowerLoss(t *testing.T) {
	is := is.New(t)
	const agents, flows = 160, 2000
	f := newCluster(agents)
	for port := range uint16(flows) {
		f.packet(request(port, firstA))
	}
	f.sendQueries()
	is.Equal(len(f.reset), flows)
	is.True(f.toEntry <= 4*flows)                                // denials of the registrars, and the outcome
	is.True(f.betweenAgents <= 2*8*agents*flows/8/64+2*8*agents) // up to 64 keys in a query
	is.Equal(f.entry.Len(), 0)
}

// Queries of one agent are batched, however many packets arrive.
func TestQueriesAreRateLimited(t *testing.T) {
	is := is.New(t)
	f := newCluster(40)
	f.packet(request(1, firstA))
	f.sendQueries()
	is.True(f.reset[key(1)])
	first := f.betweenAgents
	for port := uint16(2); port < 200; port++ {
		f.packet(request(port, firstA))
		f.sendQueries()
	}
	rounds := (f.betweenAgents - first) / (2 * 39)
	is.True(rounds <= 8) // at most one for each coordinator
	f.now += 200 * time.Millisecond
	f.sendQueries()
	is.Equal(len(f.reset), 199)
}

// A lookup finds the holder of a flow whose registrations were lost.
func TestLookupFindsHolder(t *testing.T) {
	is := is.New(t)
	f := newCluster(40)
	holder := f.all[17]
	f.agents[holder].FromEntry(open(entryB), syn(1), f.now)
	f.agents[holder].FromTarget(synAck(1, firstA), f.now)
	f.agents[holder].FromEntry(data(entryB), request(1, firstA), f.now)
	f.packet(request(1, firstA))
	f.sendQueries()
	is.Equal(f.delivered[key(1)], []flow.Endpoint{holder})
	is.Equal(len(f.reset), 0)
	f.packet(request(1, firstA)) // the holder is known now
	is.Equal(f.delivered[key(1)], []flow.Endpoint{holder, holder})
}

// The flow is not reset before the target of an uncertain agent has denied it.
func TestLookupWaitsForUncertainAgent(t *testing.T) {
	is := is.New(t)
	f := newCluster(40, 17)
	f.packet(request(1, firstA))
	f.sendQueries()
	is.Equal(f.delivered[key(1)], []flow.Endpoint{f.all[17]})
	is.Equal(len(f.reset), 0)
	v, _ := f.agents[f.all[17]].FromTarget(returned(request(1, firstA)), f.now)
	is.Equal(v.Action, flow.Deny)
	f.reply(v.To, v.Frame, f.all[17], request(1, firstA))
	is.True(f.reset[key(1)])
	is.Equal(f.toEntry, 3) // two denials and the outcome
}

// An agent that does not reply may hold the flow.
func TestLookupWithoutReply(t *testing.T) {
	is := is.New(t)
	f := newCluster(40)
	f.unreachable[f.all[3]] = true
	for i := range 6 {
		f.now = wellAfterStart + time.Duration(i)*250*time.Millisecond
		f.packet(request(1, firstA))
		f.sendQueries()
	}
	is.Equal(len(f.reset), 0)
}

// A HeldByNone frame is ignored if the coordinator queried another list of agents than
// the entry host knows.
func TestHeldByNoneFromOtherAgentList(t *testing.T) {
	is := is.New(t)
	all := manyAgents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	e.Packet(request(1, firstA), 0)
	heldByNone := flow.Frame{Kind: flow.HeldByNone, Key: key(1), Digest: flow.Digest(all[1:])}
	v, _ := e.HeldByNone(heldByNone, all[5], 0)
	is.Equal(v.Action, flow.Drop)
	heldByNone.Digest = flow.Digest(all)
	v, _ = e.HeldByNone(heldByNone, all[5], 0)
	is.Equal(v.Action, flow.Reset)
}

// Replies for an outdated agent list are not counted for the new one.
func TestAgentListChangesDuringLookup(t *testing.T) {
	is := is.New(t)
	all := manyAgents(20)
	a := flow.NewAgent(0)
	a.SetServer(flow.Server{State: flow.Serving, Service: lodgement})
	a.MarkComplete(0)
	a.SetPeers(nil, all[:19], all[0])
	is.Equal(len(a.Lookup(entryA, key(1), wellAfterStart)), 0)
	a.HandleNotHeld([]flow.Key{key(1)}, all[0])
	is.Equal(len(a.Queries(wellAfterStart)), 18)
	a.SetPeers(nil, all, all[0])
	for _, from := range all[1:] {
		is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, from)), 0)
	}
	is.Equal(len(a.Lookup(entryA, key(1), wellAfterStart+time.Second)), 0)
	a.HandleNotHeld([]flow.Key{key(1)}, all[0])
	is.Equal(len(a.Queries(wellAfterStart+time.Second)), 19)
	for i, from := range all[1:] {
		notices := a.HandleNotHeld([]flow.Key{key(1)}, from)
		is.Equal(len(notices) == 1, i == 18)
	}
}

func TestCoordinatorsAreFew(t *testing.T) {
	is := is.New(t)
	all := manyAgents(160)
	seen := map[flow.Endpoint]bool{}
	for port := range uint16(2000) {
		two := flow.AppendCoordinators(nil, key(port), 0, all)
		is.Equal(len(two), 2)
		is.True(two[0] != two[1])
		seen[two[0]] = true
	}
	is.True(len(seen) <= 8)
}

func TestHeldByNoneFrame(t *testing.T) {
	is := is.New(t)
	m := flow.Frame{Kind: flow.HeldByNone, Key: key(7), Digest: 1<<63 + 5}
	b := m.Append(nil)
	got, _, err := flow.ParseFrame(b)
	is.NoErr(err)
	is.Equal(got, m)
	_, _, err = flow.ParseFrame(b[:20])
	is.Equal(err, flow.ErrFrame)
}

// While an agent does not reply, an entry host sends few copies of each packet, never one
// to each agent of a large service.
func TestSearchesAreCheap(t *testing.T) {
	for _, agents := range []int{17, 60, 64, 160} {
		t.Run(strconv.Itoa(agents), func(t *testing.T) { testSearchesAreCheap(t, agents) })
	}
}

func testSearchesAreCheap(t *testing.T, agents int) {
	is := is.New(t)
	const flows, rounds = 50, 40
	f := newCluster(agents)
	f.unreachable[f.all[3]] = true
	copies := 0
	for round := range rounds {
		f.now = wellAfterStart + time.Duration(round)*250*time.Millisecond
		for port := range uint16(flows) {
			v := f.entry.Packet(request(port, firstA), f.now)
			copies += len(v.All)
			f.applyEntryVerdict(v, request(port, firstA))
		}
		f.sendQueries()
	}
	is.True(copies <= 2*flows*rounds)
	is.Equal(len(f.reset), 0)
}
