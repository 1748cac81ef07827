package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// long is after the time in which an agent may lack flows of its target.
const long = 10 * time.Minute

func serving() flow.Server {
	return flow.Server{State: flow.Serving, Service: lodgement, Slots: 4, Number: 7, Incarnation: 2}
}

func newAgent(s flow.Server) *flow.Agent {
	a := flow.NewAgent(0)
	a.SetServer(s)
	return a
}

func open(entry flow.Endpoint) flow.Frame {
	return flow.Frame{Kind: flow.Open, Service: lodgement, Entry: entry}
}

func data(entry flow.Endpoint) flow.Frame {
	return flow.Frame{Kind: flow.Data, Service: lodgement, Entry: entry}
}

func search(entry flow.Endpoint) flow.Frame { return flow.Frame{Kind: flow.Search, Entry: entry} }

// opened returns an agent whose target has one open flow.
func opened(t *testing.T, port uint16, at time.Duration) *flow.Agent {
	t.Helper()
	is := is.New(t)
	a := newAgent(serving())
	is.Equal(a.FromEntry(open(entryA), syn(port), at).Action, flow.Deliver)
	v, notice := a.FromTarget(synAck(port, firstA), at)
	is.Equal(v.Action, flow.Reply)
	is.True(notice != nil)
	is.Equal(notice.Entry, entryA)
	is.Equal(notice.First, uint32(firstA))
	is.Equal(a.FromEntry(data(entryA), request(port, firstA), at).Action, flow.Deliver)
	return a
}

func TestFlowOverTwoEntryHosts(t *testing.T) {
	is := is.New(t)
	a := opened(t, 1, long)
	v := a.FromEntry(search(entryB), request(1, firstA), long)
	is.Equal(v.Action, flow.Deliver)
	found := a.HeldNotice(key(1))
	is.Equal(found.Entry, entryB)
	is.True(found.Opened)
}

func TestAgentThatDoesNotHoldAFlow(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	v := a.FromEntry(data(entryA), request(1, firstA), long)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.To, entryA)
	v = a.FromEntry(search(entryA), request(1, firstA), long)
	is.Equal(v.Action, flow.Deny)
	is.Equal(v.Frame, flow.Frame{Kind: flow.Denied, Key: key(1)})
}

// A target that has started after its agent holds no flow that the agent has not
// seen: no packet of another flow reaches it.
func TestAgentThatSawItsTargetStart(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.MarkComplete(0)
	is.Equal(a.FromEntry(search(entryA), request(1, firstA), time.Second).Action, flow.Deny)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)
}

// The target's answer to an opening and the caller's choice of another target cross:
// the packet must not reach this one.
func TestFlowThatTheCallerOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.FromEntry(open(entryA), syn(1), long)
	a.FromTarget(synAck(1, firstA), long)
	v := a.FromEntry(data(entryA), request(1, firstB), long)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.Reason, flow.ReasonOpenedElsewhere)
}

// A target that was offered a flow which the caller opened with another one still holds
// half of it, and would take a later packet for one of its own: an agent that may lack
// flows does not ask it.
func TestTargetIsNotAskedForAFlowThatOpenedElsewhere(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		a := newAgent(serving())
		a.FromEntry(open(entryA), syn(1), 0)
		if answered {
			a.FromTarget(synAck(1, firstA), 0)
		}
		p := request(1, firstB)
		v := a.FromEntry(data(entryA), p, time.Second)
		is.Equal(v.Action, flow.Return)
		is.Equal(v.Reason, flow.ReasonOpenedElsewhere)
		v = a.FromEntry(search(entryB), p, time.Second)
		is.Equal(v.Action, flow.Deny)
		gaveUp := synAck(1, firstA)
		gaveUp.Flags = flow.RST
		verdict, notice := a.FromTarget(gaveUp, time.Second)
		is.Equal(verdict.Action, flow.Drop) // the caller's flow lives
		is.True(notice == nil)
		// The half stays at the target for longer than a sender waits between two copies.
		a.Sweep(10*time.Second, time.Minute, time.Minute)
		v = a.FromEntry(search(entryB), p, 10*time.Second)
		is.Equal(v.Action, flow.Deny)
		v = a.FromEntry(open(entryA), syn(1), 10*time.Second) // the port is used again
		is.Equal(v.Action, flow.Deliver)
	}
}

func TestOpeningsThatATargetDoesNotTake(t *testing.T) {
	leaving := serving()
	leaving.State = flow.Draining
	absent := serving()
	absent.State = flow.Absent
	other := serving()
	other.Service = copies
	for _, tt := range []struct {
		name   string
		server flow.Server
		want   flow.Reason
	}{
		{"leaving", leaving, flow.ReasonDraining},
		{"gone", absent, flow.ReasonNoServer},
		{"another service", other, flow.ReasonOtherService},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(tt.server)
			m := open(entryA)
			m.Alternate = agentB
			v := a.FromEntry(m, syn(1), long)
			is.Equal(v.Action, flow.Send)
			is.Equal(v.Reason, tt.want)
			is.Equal(v.To, agentB)
			is.Equal(v.Frame, flow.Frame{Kind: flow.Open, Hops: 1, Service: lodgement, Entry: entryA})

			m.Alternate = flow.Endpoint{}
			is.Equal(a.FromEntry(m, syn(2), long).Action, flow.Reset) // nobody else is known
			m.Hops = 3
			m.Alternate = agentB
			is.Equal(a.FromEntry(m, syn(3), long).Action, flow.Reset) // no endless rounds
		})
	}
}

func TestLeavingTargetKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	a := opened(t, 1, long)
	leaving := serving()
	leaving.State = flow.Draining
	a.SetServer(leaving)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), long).Action, flow.Deliver)
	is.Equal(a.FromEntry(open(entryA), syn(2), long).Action, flow.Reset)
	a.SetPeers([]flow.Endpoint{agentC}, []flow.Endpoint{agentA, agentC}, agentA)
	is.Equal(a.FromEntry(open(entryA), syn(2), long).To, agentC)
}

func TestOpeningThatTheTargetSendsBack(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	m := open(entryA)
	m.Alternate = agentB
	a.FromEntry(m, syn(1), long)
	v, _ := a.FromTarget(sentBack(syn(1)), long)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)
	is.Equal(v.Frame.Entry, entryA)
}

// The target held the flow and does not any more: nobody else holds it.
func TestFlowThatTheTargetHasLost(t *testing.T) {
	is := is.New(t)
	a := opened(t, 1, long)
	v, _ := a.FromTarget(sentBack(request(1, firstA)), long)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonLostByTarget)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), long).Action, flow.Return)
}

// An agent that has just started asks its target, and takes its word: a packet that
// comes back goes on to whoever holds the flow, and no second one reaches the target.
func TestAgentThatHasJustStarted(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	v := a.FromEntry(data(entryA), request(1, firstA), time.Second)
	is.Equal(v.Action, flow.Deliver)
	is.Equal(v.Reason, flow.ReasonUncertain)
	v, _ = a.FromTarget(sentBack(request(1, firstA)), time.Second)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.To, entryA)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)

	is.Equal(a.FromEntry(search(entryB), request(3, firstA), time.Second).Action, flow.Deliver)
	v, _ = a.FromTarget(sentBack(request(3, firstA)), time.Second)
	is.Equal(v.Action, flow.Deny)
	is.Equal(v.To, entryB)

	is.Equal(a.FromEntry(search(entryB), request(2, firstA), time.Second).Action, flow.Deliver)
	v, notice := a.FromTarget(response(2, firstA), time.Second)
	is.Equal(v.Action, flow.Reply)
	is.Equal(notice.Entry, entryB)
	is.True(notice.Opened)
}

func TestAgentThatHasJustStartedBesideAnotherService(t *testing.T) {
	is := is.New(t)
	other := serving()
	other.Service = copies
	a := newAgent(other)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)
}

func TestLoadFollowsRequestsInProgress(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	idle := a.LoadFrame().LoadPermille
	for port := uint16(1); port <= 4; port++ {
		a.FromEntry(open(entryA), syn(port), long)
		a.FromTarget(synAck(port, firstA), long)
		a.FromEntry(data(entryA), request(port, firstA), long)
	}
	busy := a.LoadFrame().LoadPermille
	is.True(busy >= idle+1000) // all four slots
	for port := uint16(1); port <= 4; port++ {
		a.FromTarget(response(port, firstA), long+30*time.Millisecond)
	}
	a.Sweep(long+10*time.Second, 20*time.Second, time.Minute)
	is.True(a.LoadFrame().LoadPermille < busy/2)
}

// A request counts as in progress until it is answered or one end of its flow no longer
// waits, and a copy of its packet does not begin it anew.
func TestRequestsThatEnd(t *testing.T) {
	finish := func(p flow.Packet) flow.Packet {
		p.Flags |= flow.FIN
		p.Length = 0
		return p
	}
	abort := request(1, firstA)
	abort.Flags, abort.Length = flow.RST, 0
	next := request(1, firstA)
	next.Seq += uint32(next.Length)
	for name, tt := range map[string]struct {
		after func(a *flow.Agent)
		busy  bool
	}{
		"in progress": {func(*flow.Agent) {}, true},
		"answered":    {func(a *flow.Agent) { a.FromTarget(response(1, firstA), time.Second) }, false},
		"copied after the answer": {func(a *flow.Agent) {
			a.FromTarget(response(1, firstA), time.Second)
			a.FromEntry(data(entryA), request(1, firstA), time.Second)
		}, false},
		"followed by another one": {func(a *flow.Agent) {
			a.FromTarget(response(1, firstA), time.Second)
			a.FromEntry(data(entryA), next, time.Second)
		}, true},
		"ended by the caller":   {func(a *flow.Agent) { a.FromEntry(data(entryA), finish(request(1, firstA)), time.Second) }, false},
		"aborted by the caller": {func(a *flow.Agent) { a.FromEntry(data(entryA), abort, time.Second) }, false},
		"ended by the target":   {func(a *flow.Agent) { a.FromTarget(finish(response(1, firstA)), time.Second) }, false},
		"sent after the target's end": {func(a *flow.Agent) {
			a.FromTarget(finish(response(1, firstA)), time.Second)
			a.FromEntry(data(entryA), next, time.Second)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := opened(t, 1, time.Second)
			tt.after(a)
			a.Sweep(3*time.Second, time.Minute, time.Minute) // the average has followed
			is.Equal(a.LoadFrame().LoadPermille >= 250, tt.busy)
		})
	}
}

func TestAgentForgets(t *testing.T) {
	is := is.New(t)
	a := opened(t, 1, long)
	a.Sweep(long+21*time.Second, 20*time.Second, time.Minute)
	is.Equal(a.Len(), 0)
	is.True(a.LoadFrame().LoadPermille == 0 || a.LoadFrame().LoadPermille < 1000)
}
