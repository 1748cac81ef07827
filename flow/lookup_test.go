package flow_test

import (
	"fmt"
	"slices"
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
	placer *coordinatedPlacer
	agents map[flow.Endpoint]*flow.Agent
	all    []flow.Endpoint
	now    time.Duration
	// toEntry and betweenAgents count frames by receiver, targetPackets the packets that
	// targets took in bounce.
	toEntry, betweenAgents, targetPackets int
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
	c := &cluster{
		agents: map[flow.Endpoint]*flow.Agent{}, all: manyAgents(count), now: wellAfterStart,
		delivered: map[flow.Key][]flow.Endpoint{}, reset: map[flow.Key]bool{}, unreachable: map[flow.Endpoint]bool{},
	}
	c.placer = &coordinatedPlacer{fixedPlacer: fixedPlacer{agents: c.all}}
	c.entry = flow.NewEntry(c.placer, entryA)
	for i, at := range c.all {
		a := flow.NewAgent(c.now)
		a.SetServer(flow.Server{State: flow.Serving, Service: lodgement, Slots: 4})
		a.MarkComplete(c.now)
		for _, u := range uncertain {
			if u == i {
				a = flow.NewAgent(c.now)
				a.SetServer(flow.Server{State: flow.Serving, Service: lodgement, Slots: 4})
			}
		}
		a.SetServiceNumber(serviceNumber)
		a.SetPeers(nil, c.all, at)
		c.agents[at] = a
	}
	return c
}

// coordinatedPlacer selects coordinators, and preferred agents if these are set.
type coordinatedPlacer struct {
	fixedPlacer
	preferred bool
}

func (p *coordinatedPlacer) Preferred(to []flow.Endpoint, key flow.Key) []flow.Endpoint {
	if !p.preferred {
		return to
	}
	return flow.AppendPreferred(to, key, p.agents)
}

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

// setAgents sets the agents that the entry host knows.
func (c *cluster) setAgents(agents []flow.Endpoint) { c.placer.agents = slices.Clone(agents) }

// packet sends a caller's packet to the entry host.
func (c *cluster) packet(p flow.Packet) { c.applyEntryVerdict(c.entry.Packet(p, c.now), p) }

func (c *cluster) applyEntryVerdict(v flow.Verdict, p flow.Packet) {
	switch v.Action {
	case flow.SendAll:
		for _, to := range append([]flow.Endpoint{}, v.All...) {
			c.toAgent(to, v.Frame, p)
		}
	case flow.Send:
		c.toAgent(v.To, v.Frame, p)
	case flow.Reset:
		c.reset[p.Key] = true
	}
}

func (c *cluster) toAgent(to flow.Endpoint, m flow.Frame, p flow.Packet) {
	if c.unreachable[to] {
		return
	}
	a := c.agents[to]
	if m.Hops == flow.HopsLookup {
		c.sendNotices(to, a.Lookup(m.Entry, p.Key, c.now))
		m.Hops, m.Entry = 1, to
	}
	v := a.FromEntry(m, p, c.now)
	switch v.Action {
	case flow.Deliver:
		c.delivered[p.Key] = append(c.delivered[p.Key], to)
		if held := a.HeldNotice(p.Key); held != nil {
			c.reply(held.Entry, *held, to, p)
		}
	case flow.Deny:
		c.reply(v.To, v.Frame, to, p)
	case flow.Send:
		c.betweenAgents++
		c.toAgent(v.To, v.Frame, p)
	}
}

// reply sends an agent's reply to the entry host or the coordinator.
func (c *cluster) reply(to flow.Endpoint, m flow.Frame, from flow.Endpoint, p flow.Packet) {
	a := c.agents[to]
	if a != nil && to != from {
		c.betweenAgents++
	}
	switch {
	case a != nil && m.Kind == flow.Held:
		c.sendNotices(to, a.RecordHolder(m.Key, from))
	case a != nil:
		c.sendNotices(to, a.HandleNotHeld([]flow.Key{m.Key}, from))
	case m.Kind == flow.Held:
		c.toEntry++
		c.entry.Held(m, from, c.now)
	default:
		c.toEntry++
		v, known := c.entry.Denied(m, from, c.now)
		if v.UseCopy {
			known = p
		}
		c.applyEntryVerdict(v, known)
	}
}

func (c *cluster) sendNotices(from flow.Endpoint, notices []flow.Notice) {
	for _, n := range notices {
		if n.Frame.Kind == flow.Search {
			c.betweenAgents++
			c.toAgent(n.To, n.Frame, request(n.Key.Caller.Port, firstA))
			continue
		}
		c.toEntry++
		if n.Frame.Kind == flow.Located {
			c.entry.Located(n.Frame, from, c.now)
			continue
		}
		v, p := c.entry.HeldByNone(n.Frame, c.now)
		c.applyEntryVerdict(v, p)
	}
}

// sendQueries runs the due query rounds of all agents.
func (c *cluster) sendQueries() {
	for at, a := range c.agents {
		if wait, due := a.NextQueryIn(c.now); !due || wait > 0 || c.unreachable[at] {
			continue
		}
		for _, q := range append([]flow.Registration{}, a.Queries(c.now)...) {
			c.betweenAgents++
			if c.unreachable[q.To] {
				continue
			}
			notHeld, mayHold := c.agents[q.To].AnswerQuery(q.Keys, c.now)
			c.betweenAgents++
			c.sendNotices(at, a.HandleNotHeld(notHeld, q.To))
			c.sendNotices(at, a.HandleMayHold(mayHold, q.To))
		}
	}
}

// After a power loss thousands of callers send packets of flows that nobody holds. Each
// flow is reset at a cost of few frames.
func TestLookupsAfterPowerLoss(t *testing.T) {
	is := is.New(t)
	const agents, flows = 160, 2000
	c := newCluster(agents)
	for port := range uint16(flows) {
		c.packet(request(port, firstA))
	}
	c.sendQueries()
	is.Equal(len(c.reset), flows)
	is.True(c.toEntry <= 4*flows)                                // denials of the registrars, and the outcome
	is.True(c.betweenAgents <= 2*8*agents*flows/8/64+2*8*agents) // up to 64 keys in a query
	is.Equal(c.entry.Len(), 0)
}

// Queries of one agent are batched, however many packets arrive.
func TestQueriesAreRateLimited(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	c.packet(request(1, firstA))
	c.sendQueries()
	is.True(c.reset[key(1)])
	first := c.betweenAgents
	for port := uint16(2); port < 200; port++ {
		c.packet(request(port, firstA))
		c.sendQueries()
	}
	rounds := (c.betweenAgents - first) / (2 * 39)
	is.True(rounds <= 8) // at most one for each coordinator
	c.now += 200 * time.Millisecond
	c.sendQueries()
	is.Equal(len(c.reset), 199)
}

// A lookup finds the holder of a flow whose registrations were lost.
func TestLookupFindsHolder(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	holder := c.all[17]
	c.agents[holder].FromEntry(open(entryB), syn(1), c.now)
	c.agents[holder].FromTarget(synAck(1, firstA), c.now)
	c.agents[holder].FromEntry(data(entryB), request(1, firstA), c.now)
	c.packet(request(1, firstA))
	c.sendQueries()
	is.Equal(c.delivered[key(1)], []flow.Endpoint{holder})
	is.Equal(len(c.reset), 0)
	c.packet(request(1, firstA)) // the holder is known now
	is.Equal(c.delivered[key(1)], []flow.Endpoint{holder, holder})
}

// The flow is not reset before the target of an uncertain agent has denied it.
func TestLookupWaitsForUncertainAgent(t *testing.T) {
	is := is.New(t)
	c := newCluster(40, 17)
	c.packet(request(1, firstA))
	c.sendQueries()
	is.Equal(c.delivered[key(1)], []flow.Endpoint{c.all[17]})
	is.Equal(len(c.reset), 0)
	v, _ := c.agents[c.all[17]].FromTarget(returned(request(1, firstA)), c.now)
	is.Equal(v.Action, flow.Deny)
	c.reply(v.To, v.Frame, c.all[17], request(1, firstA))
	is.True(c.reset[key(1)])
	is.Equal(c.toEntry, 3) // two denials and the outcome
}

// An agent that does not reply may hold the flow.
func TestLookupWithoutReply(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	c.unreachable[c.all[3]] = true
	for i := range 6 {
		c.now = wellAfterStart + time.Duration(i)*250*time.Millisecond
		c.packet(request(1, firstA))
		c.sendQueries()
	}
	is.Equal(len(c.reset), 0)
}

// A HeldByNone frame is ignored if the coordinator queried another list of agents than
// the entry host knows.
func TestHeldByNoneFromOtherAgentList(t *testing.T) {
	is := is.New(t)
	all := manyAgents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	e.Packet(request(1, firstA), 0)
	heldByNone := flow.Frame{Kind: flow.HeldByNone, Key: key(1), ServiceDenial: flow.ServiceDenial{Service: serviceNumber, Digest: flow.Digest(all[1:])}}
	v, _ := e.HeldByNone(heldByNone, 0)
	is.Equal(v.Action, flow.Drop)
	heldByNone.ServiceDenial.Digest = flow.Digest(all)
	v, _ = e.HeldByNone(heldByNone, 0)
	is.Equal(v.Action, flow.Reset)
}

// A lookup goes on while the agent list changes: replies of agents that stay count, an added
// agent has to reply as well, a removed one need not, and one that was removed and added
// again replies anew.
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
	for _, from := range all[1:17] {
		is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, from)), 0)
	}
	// 17 and 18 have not replied; 18 is removed, 1 returns, 19 is new.
	a.SetPeers(nil, slices.Concat(all[:1], all[2:18]), all[0])
	a.SetPeers(nil, slices.Concat(all[:18], all[19:]), all[0])
	is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, all[18])), 0)
	is.Equal(len(a.Lookup(entryA, key(1), wellAfterStart+time.Second)), 0)
	queried := map[flow.Endpoint]bool{}
	for _, q := range a.Queries(wellAfterStart + time.Second) {
		queried[q.To] = true
	}
	is.Equal(queried, map[flow.Endpoint]bool{all[1]: true, all[17]: true, all[19]: true})
	is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, all[17])), 0)
	is.Equal(len(a.HandleNotHeld([]flow.Key{key(1)}, all[1])), 0)
	notices := a.HandleNotHeld([]flow.Key{key(1)}, all[19])
	is.Equal(len(notices), 1)
	is.Equal(notices[0].Frame.Kind, flow.HeldByNone)
	is.Equal(notices[0].Frame.ServiceDenial.Digest, flow.Digest(slices.Concat(all[:18], all[19:])))
}

// While targets are replaced between each search and the round of queries that it waits for,
// flows that nobody holds are still reset, and one that an agent holds never is.
func TestLookupsEndDuringRelease(t *testing.T) {
	is := is.New(t)
	const size, spare, flows = 60, 30, 50
	c := newCluster(size + spare)
	present := slices.Clone(c.all[:size])
	holder := c.all[0]
	c.agents[holder].FromEntry(open(entryB), syn(1), c.now)
	c.agents[holder].FromTarget(synAck(1, firstA), c.now)
	c.agents[holder].FromEntry(data(entryB), request(1, firstA), c.now)
	setList := func() {
		for _, at := range c.all {
			c.agents[at].SetPeers(nil, slices.Clone(present), at)
		}
		c.setAgents(present)
	}
	setList()
	for i := range 8 {
		c.now += 250 * time.Millisecond
		for port := range uint16(flows) {
			if !c.reset[key(port+1)] {
				c.packet(request(port+1, firstA))
			}
		}
		present[1+i] = c.all[size+i]
		setList()
		c.now += 50 * time.Millisecond
		c.sendQueries()
	}
	is.True(!c.reset[key(1)])
	is.Equal(len(c.reset), flows-1)
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
	m := flow.Frame{Kind: flow.HeldByNone, Key: key(7), ServiceDenial: flow.ServiceDenial{Service: 1<<24 - 1, Digest: 1<<63 + 5}}
	b := m.Append(nil)
	got, _, err := flow.ParseFrame(b)
	is.NoErr(err)
	is.Equal(got, m)
	_, _, err = flow.ParseFrame(b[:20])
	is.Equal(err, flow.ErrFrame)
}

// Guards against a reset by a frame of a release that does not name the service: it is read, and
// is no evidence.
func TestHeldByNoneWithoutService(t *testing.T) {
	is := is.New(t)
	all := manyAgents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	e.Packet(request(1, firstA), 0)
	m := flow.Frame{Kind: flow.HeldByNone, Key: key(1), ServiceDenial: flow.ServiceDenial{Service: serviceNumber, Digest: flow.Digest(all)}}
	b := m.Append(nil)
	old, _, err := flow.ParseFrame(b[:len(b)-4])
	is.NoErr(err)
	is.Equal(old.ServiceDenial, flow.ServiceDenial{Digest: flow.Digest(all)})
	v, _ := e.HeldByNone(old, 0)
	is.Equal(v.Action, flow.Drop)
}

// Guards against a reset by a denial that is no longer about all agents of the service: one may
// have come back since, and hold the flow.
func TestServiceDenialEndsWithChangeOfAgentList(t *testing.T) {
	is := is.New(t)
	all := manyAgents(41)
	p := &fixedPlacer{agents: all[:40], incomplete: true}
	e := flow.NewEntry(p, entryA)
	e.Packet(request(1, firstA), 0)
	deniedBy := func(agents []flow.Endpoint) flow.Frame {
		return flow.Frame{Kind: flow.HeldByNone, Key: key(1), ServiceDenial: flow.ServiceDenial{Service: serviceNumber, Digest: flow.Digest(agents)}}
	}
	v, _ := e.HeldByNone(deniedBy(all[:40]), 0)
	is.Equal(v.Action, flow.Drop) // another service may hold it
	p.agents, p.incomplete = all, false
	v, _ = e.Denied(denial(1), all[3], 0)
	is.Equal(v.Action, flow.Drop)
	v, _ = e.HeldByNone(deniedBy(all), 0)
	is.Equal(v.Action, flow.Reset)
}

// While an agent does not reply, an entry host sends few copies of each packet, never one
// to each agent of a large service.
func TestSearchesSendFewCopies(t *testing.T) {
	for _, agents := range []int{17, 60, 64, 160} {
		t.Run(strconv.Itoa(agents), func(t *testing.T) { testSearchesSendFewCopies(t, agents) })
	}
}

func testSearchesSendFewCopies(t *testing.T, agents int) {
	is := is.New(t)
	const flows, rounds = 50, 40
	c := newCluster(agents)
	c.unreachable[c.all[3]] = true
	copies := 0
	for round := range rounds {
		c.now = wellAfterStart + time.Duration(round)*250*time.Millisecond
		for port := range uint16(flows) {
			v := c.entry.Packet(request(port, firstA), c.now)
			copies += len(v.All)
			c.applyEntryVerdict(v, request(port, firstA))
		}
		c.sendQueries()
	}
	is.True(copies <= 2*flows*rounds)
	is.Equal(len(c.reset), 0)
}
