package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func agents(count int) []flow.Endpoint {
	var out []flow.Endpoint
	for i := range count {
		out = append(out, endpoint(fmt.Sprintf("10.2.0.%d:8172", i+1)))
	}
	return out
}

// Everybody who knows the same agents names the same two, and one more or one less
// agent changes few.
func TestRegistrars(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	moved := 0
	load := map[flow.Endpoint]int{}
	const flows = 4000
	for port := range flows {
		two := flow.AppendRegistrars(nil, key(uint16(port)), all)
		is.Equal(len(two), 2)
		is.True(two[0] != two[1])
		load[two[0]]++
		fewer := flow.AppendRegistrars(nil, key(uint16(port)), all[1:])
		if fewer[0] != two[0] {
			moved++
		}
	}
	is.True(moved < 2*flows/len(all))
	for _, n := range load {
		is.True(n < 2*flows/len(all))
	}
	is.Equal(len(flow.AppendRegistrars(nil, key(1), all[:1])), 1)
	is.Equal(len(flow.AppendRegistrars(nil, key(1), nil)), 0)
}

// An agent registers its open flows once, again when the list of agents has changed,
// and again after a while.
func TestFlowsAreRegistered(t *testing.T) {
	is := is.New(t)
	all := agents(20)
	a := opened(t, 1, long)
	a.SetPeers(all[1:], all, all[0])
	first := a.DueRegistrations(long)
	is.True(len(first) > 0)
	for _, r := range first {
		is.Equal(r.Keys, []flow.Key{key(1)})
		is.True(r.To != all[0]) // not to itself
	}
	is.Equal(len(a.DueRegistrations(long+time.Second)), 0)
	a.SetPeers(all[1:19], all[:19], all[0])
	is.True(len(a.DueRegistrations(long+2*time.Second)) > 0)
	is.Equal(len(a.DueRegistrations(long+3*time.Second)), 0)
	is.True(len(a.DueRegistrations(long+40*time.Second)) > 0)
}

func TestRegistrationsAreBounded(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	for port := range uint16(500) {
		a.FromEntry(open(entryA), syn(port), long)
		a.FromTarget(synAck(port, firstA), long)
		a.FromEntry(data(entryA), request(port, firstA), long)
	}
	a.SetPeers([]flow.Endpoint{agentB}, []flow.Endpoint{agentA, agentB}, agentA)
	keys := 0
	for _, r := range a.DueRegistrations(long) {
		is.True(len(r.Keys) <= flow.MaxKeys)
		got, err := flow.ParseKeys(flow.AppendRegister(nil, r.Keys)[2:])
		is.NoErr(err)
		is.Equal(got, r.Keys)
		keys += len(r.Keys)
	}
	is.Equal(keys, 500)
}

// An agent that is told of a flow passes a search for it on to the holder, once.
func TestRegisteredFlowIsFound(t *testing.T) {
	is := is.New(t)
	a := newAgent(serving())
	a.MarkComplete(0)
	a.Register([]flow.Key{key(1)}, agentB, long)
	v := a.FromEntry(search(entryA), request(1, firstA), long)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)
	is.Equal(v.Frame, flow.Frame{Kind: flow.Search, Hops: 1, Entry: entryA})
	is.Equal(v.Holder, agentB)
	is.Equal(a.FromEntry(v.Frame, request(1, firstA), long).Action, flow.Deny) // no endless rounds
	a.Sweep(long+2*time.Minute, time.Minute, time.Minute)
	is.Equal(a.FromEntry(search(entryA), request(1, firstA), long+2*time.Minute).Action, flow.Deny)
}

// In a large service only those are asked first that should know; the others are asked
// with the same packet when these deny, or with the next one when they do not answer.
func TestSearchInALargeService(t *testing.T) {
	is := is.New(t)
	all := agents(40)
	e := flow.NewEntry(&fixedPlacer{agents: all}, entryA)
	v := e.Packet(request(1, firstA), 0)
	is.Equal(v.Action, flow.SendAll)
	is.Equal(len(v.All), 2)
	is.True(v.KeepCopy)
	asked := append([]flow.Endpoint{}, v.All...)
	v, _ = e.Denied(key(1), asked[0], 0)
	is.Equal(v.Action, flow.Drop)
	v, p := e.Denied(key(1), asked[1], 0)
	is.Equal(v.Action, flow.SendAll)
	is.True(v.UseCopy)
	is.Equal(p.Key, key(1))
	is.Equal(v.All, asked[:1]) // it passes the packet on to all others
	is.Equal(v.Frame.Hops, uint8(flow.HopsLookup))
	var rest []flow.Endpoint
	for _, agent := range all {
		if agent != asked[0] && agent != asked[1] {
			rest = append(rest, agent)
		}
	}
	for i, agent := range rest {
		v, _ = e.Denied(key(1), agent, 0)
		is.Equal(v.Action == flow.Reset, i == len(rest)-1)
	}

	for range 3 { // a burst goes one way
		is.Equal(len(e.Packet(request(2, firstA), 0).All), 2)
	}
	for i := range 20 { // by one, by another, and so on
		is.Equal(len(e.Packet(request(2, firstA), time.Duration(i+1)*time.Second).All), 1)
	}
}
