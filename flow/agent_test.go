package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// wellAfterStart is a time at which an agent knows all flows of its target.
const wellAfterStart = 10 * time.Minute

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

// agentWithOpenFlow returns an agent whose target has one open flow.
func agentWithOpenFlow(t *testing.T, port uint16, at time.Duration) *flow.Agent {
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
	a := agentWithOpenFlow(t, 1, wellAfterStart)
	v := a.FromEntry(search(entryB), request(1, firstA), wellAfterStart)
	is.Equal(v.Action, flow.Deliver)
	found := a.HeldNotice(key(1))
	is.Equal(found.Entry, entryB)
	is.True(found.Opened)
}

func TestAgentDoesNotHoldFlow(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	v := a.FromEntry(data(entryA), request(1, firstA), wellAfterStart)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.To, entryA)
	v = a.FromEntry(search(entryA), request(1, firstA), wellAfterStart)
	is.Equal(v.Action, flow.Deny)
	is.Equal(v.Frame, flow.Frame{Kind: flow.Denied, Key: key(1)})
}

// A target that started after its agent holds no flow that the agent has not seen, so
// it gets no packet of an unknown flow.
func TestAgentStartedBeforeTarget(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.MarkComplete(0)
	is.Equal(a.FromEntry(search(entryA), request(1, firstA), time.Second).Action, flow.Deny)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)
}

// The caller has selected another target before this one's reply arrived.
func TestFlowOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.FromEntry(open(entryA), syn(1), wellAfterStart)
	a.FromTarget(synAck(1, firstA), wellAfterStart)
	v := a.FromEntry(data(entryA), request(1, firstB), wellAfterStart)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.Reason, flow.ReasonOpenedElsewhere)
}

// A target with a half-open flow would accept packets that are meant for the target that
// the caller selected.
func TestTargetNotProbedForFlowOpenedElsewhere(t *testing.T) {
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
		targetReset := synAck(1, firstA)
		targetReset.Flags = flow.RST
		verdict, notice := a.FromTarget(targetReset, time.Second)
		is.Equal(verdict.Action, flow.Drop) // the caller's flow is open elsewhere
		is.True(notice == nil)
		// The half-open flow lasts longer than a retransmission interval.
		a.Sweep(10*time.Second, time.Minute, time.Minute)
		v = a.FromEntry(search(entryB), p, 10*time.Second)
		is.Equal(v.Action, flow.Deny)
		v = a.FromEntry(open(entryA), syn(1), 10*time.Second) // the port is reused
		is.Equal(v.Action, flow.Deliver)
	}
}

func TestRefusedOpenings(t *testing.T) {
	draining := serving()
	draining.State = flow.Draining
	absent := serving()
	absent.State = flow.Absent
	other := serving()
	other.Service = certificates
	for _, tt := range []struct {
		name   string
		server flow.Server
		want   flow.Reason
	}{
		{"draining", draining, flow.ReasonDraining},
		{"gone", absent, flow.ReasonNoServer},
		{"another service", other, flow.ReasonOtherService},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(tt.server)
			m := open(entryA)
			m.Alternate = agentB
			v := a.FromEntry(m, syn(1), wellAfterStart)
			is.Equal(v.Action, flow.Send)
			is.Equal(v.Reason, tt.want)
			is.Equal(v.To, agentB)
			is.Equal(v.Frame, flow.Frame{Kind: flow.Open, Hops: 1, Service: lodgement, Entry: entryA})

			m.Alternate = flow.Endpoint{}
			v = a.FromEntry(m, syn(2), wellAfterStart) // no other agent
			is.Equal(v.Reason, tt.want)
			wantCallerRefused(t, v, syn(2), agentA)
			m.Hops = 3
			m.Alternate = agentB
			v = a.FromEntry(m, syn(3), wellAfterStart)
			is.Equal(v.Reason, flow.ReasonHopLimit)
			wantCallerRefused(t, v, syn(3), agentB)
		})
	}
}

// wantCallerRefused checks that an agent returns an opening that its entry host has sent to the
// first agent, and that the entry host resets the flow at once.
func wantCallerRefused(t *testing.T, v flow.Verdict, p flow.Packet, first flow.Endpoint) {
	t.Helper()
	is := is.New(t)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.To, entryA)
	e := flow.NewEntry(&fixedPlacer{agents: []flow.Endpoint{first}}, entryA)
	is.Equal(e.Packet(p, wellAfterStart).To, first)
	refused := e.Missed(v.Frame, p, agentA, wellAfterStart)
	is.Equal(refused, flow.Verdict{Action: flow.Reset, Reason: flow.ReasonQueueExpired})
}

func TestDrainingTargetKeepsFlows(t *testing.T) {
	is := is.New(t)
	a := agentWithOpenFlow(t, 1, wellAfterStart)
	draining := serving()
	draining.State = flow.Draining
	a.SetServer(draining)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), wellAfterStart).Action, flow.Deliver)
	wantCallerRefused(t, a.FromEntry(open(entryA), syn(2), wellAfterStart), syn(2), agentA)
	a.SetPeers([]flow.Endpoint{agentC}, []flow.Endpoint{agentA, agentC}, agentA)
	is.Equal(a.FromEntry(open(entryA), syn(2), wellAfterStart).To, agentC)
}

// A late copy of the opening must not reach the target of an open flow while that takes no new
// flows: if it has ended the flow it takes the copy for a new one.
func TestLateCopyOfOpening(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.SetClasses(flow.Classes{public: stated})
	a.FromEntry(open(entryA), syn(1), 0)
	is.Equal(a.FromEntry(open(entryA), syn(1), 0).Action, flow.Deliver) // the answer may be lost
	a.FromTarget(synAck(1, firstA), 0)
	is.Equal(a.FromEntry(open(entryA), syn(1), 0).Action, flow.Deliver)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), 0).Action, flow.Deliver)
	is.Equal(a.FromEntry(open(entryA), syn(1), millisecond).Action, flow.Deliver)
	leaving := serving()
	leaving.State = flow.Draining
	for _, s := range []flow.Server{leaving, evacuated()} {
		a.SetServer(s)
		is.Equal(a.FromEntry(open(entryA), syn(1), millisecond), flow.Verdict{Action: flow.Drop, Reason: flow.ReasonHeld})
	}
	a.SetServer(serving())
	reused := syn(1)
	reused.Seq += 1000
	is.Equal(a.FromEntry(open(entryA), reused, millisecond).Action, flow.Deliver)
}

func TestOpeningReturnedByTarget(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	m := open(entryA)
	m.Alternate = agentB
	a.FromEntry(m, syn(1), wellAfterStart)
	v, _ := a.FromTarget(returned(syn(1)), wellAfterStart)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)
	is.Equal(v.Frame.Entry, entryA)
}

// A flow that its target has lost, as after a restart, is reset.
func TestFlowLostByTarget(t *testing.T) {
	is := is.New(t)
	a := agentWithOpenFlow(t, 1, wellAfterStart)
	v, _ := a.FromTarget(returned(request(1, firstA)), wellAfterStart)
	is.Equal(v.Action, flow.Reset)
	is.Equal(v.Reason, flow.ReasonLostByTarget)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), wellAfterStart).Action, flow.Return)
}

// An agent that has just started delivers packets of unknown flows to its target. If one
// comes back it is returned, and the target gets no second one.
func TestAgentJustStarted(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	v := a.FromEntry(data(entryA), request(1, firstA), time.Second)
	is.Equal(v.Action, flow.Deliver)
	is.Equal(v.Reason, flow.ReasonUncertain)
	v, _ = a.FromTarget(returned(request(1, firstA)), time.Second)
	is.Equal(v.Action, flow.Return)
	is.Equal(v.To, entryA)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)

	is.Equal(a.FromEntry(search(entryB), request(3, firstA), time.Second).Action, flow.Deliver)
	v, _ = a.FromTarget(returned(request(3, firstA)), time.Second)
	is.Equal(v.Action, flow.Deny)
	is.Equal(v.To, entryB)

	is.Equal(a.FromEntry(search(entryB), request(2, firstA), time.Second).Action, flow.Deliver)
	v, notice := a.FromTarget(response(2, firstA), time.Second)
	is.Equal(v.Action, flow.Reply)
	is.Equal(notice.Entry, entryB)
	is.True(notice.Opened)
}

func TestAgentJustStartedOtherService(t *testing.T) {
	is := is.New(t)
	other := serving()
	other.Service = certificates
	a := newAgent(other)
	is.Equal(a.FromEntry(data(entryA), request(1, firstA), time.Second).Action, flow.Return)
}

func TestLoadFollowsRequestsInProgress(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	idle := a.LoadFrame().LoadPermille
	for port := uint16(1); port <= 4; port++ {
		a.FromEntry(open(entryA), syn(port), wellAfterStart)
		a.FromTarget(synAck(port, firstA), wellAfterStart)
		a.FromEntry(data(entryA), request(port, firstA), wellAfterStart)
	}
	busy := a.LoadFrame().LoadPermille
	is.True(busy >= idle+1000) // all four slots
	for port := uint16(1); port <= 4; port++ {
		a.FromTarget(response(port, firstA), wellAfterStart+30*time.Millisecond)
	}
	a.Sweep(wellAfterStart+10*time.Second, 20*time.Second, time.Minute)
	is.True(a.LoadFrame().LoadPermille < busy/2)
}

// A request is in progress until the response starts or one end closes the flow.
// Retransmissions do not restart it.
func TestRequestAccounting(t *testing.T) {
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
		"retransmitted after the response": {func(a *flow.Agent) {
			a.FromTarget(response(1, firstA), time.Second)
			a.FromEntry(data(entryA), request(1, firstA), time.Second)
		}, false},
		"followed by another request": {func(a *flow.Agent) {
			a.FromTarget(response(1, firstA), time.Second)
			a.FromEntry(data(entryA), next, time.Second)
		}, true},
		"closed by the caller":  {func(a *flow.Agent) { a.FromEntry(data(entryA), finish(request(1, firstA)), time.Second) }, false},
		"aborted by the caller": {func(a *flow.Agent) { a.FromEntry(data(entryA), abort, time.Second) }, false},
		"closed by the target":  {func(a *flow.Agent) { a.FromTarget(finish(response(1, firstA)), time.Second) }, false},
		"sent after the target closed": {func(a *flow.Agent) {
			a.FromTarget(finish(response(1, firstA)), time.Second)
			a.FromEntry(data(entryA), next, time.Second)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := agentWithOpenFlow(t, 1, time.Second)
			tt.after(a)
			a.Sweep(3*time.Second, time.Minute, time.Minute) // let the average decay
			is.Equal(a.LoadFrame().LoadPermille >= 250, tt.busy)
		})
	}
}

func TestAgentExpiresFlows(t *testing.T) {
	is := is.New(t)
	a := agentWithOpenFlow(t, 1, wellAfterStart)
	a.Sweep(wellAfterStart+21*time.Second, 20*time.Second, time.Minute)
	is.Equal(a.Len(), 0)
	is.True(a.LoadFrame().LoadPermille == 0 || a.LoadFrame().LoadPermille < 1000)
}

// An entry host that was frozen passes on an old copy of an opening after the agent has restarted.
// The target, which has held the flow for long, answers it again. The agent must not conclude from
// what the caller has acknowledged since that the flow was opened with another target.
func TestLateCopyAfterAgentRestart(t *testing.T) {
	is := is.New(t)
	a := flow.NewAgent(0)
	a.SetServer(serving())
	const now = time.Second
	is.Equal(a.FromEntry(open(entryA), syn(1), now).Action, flow.Deliver)
	a.FromTarget(synAck(1, firstA), now)
	later := request(1, firstA)
	later.Seq, later.Ack = opening+5000, firstA+1+40_000
	is.Equal(a.FromEntry(data(entryA), later, now).Action, flow.Deliver)

	// Of a flow that was opened with another target the numbers are far off.
	is.Equal(a.FromEntry(open(entryA), syn(2), now).Action, flow.Deliver)
	a.FromTarget(synAck(2, firstA), now)
	is.Equal(a.FromEntry(data(entryA), request(2, 1<<30), now).Reason, flow.ReasonOpenedElsewhere)
}
