package flow_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

func evacuated() flow.Server {
	s := serving()
	s.Evacuated = true
	return s
}

// A target in an evacuated failure domain keeps its flows. New openings are forwarded,
// queued ones as well.
func TestEvacuatedTargetTakesNoNewFlows(t *testing.T) {
	is := is.New(t)
	a := saturatedAgent(t)
	a.SetPeers([]flow.Endpoint{agentB}, []flow.Endpoint{agentA, agentB}, agentA)
	is.Equal(a.FromEntry(open(entryA), syn(11), 0).Action, flow.Wait)
	a.SetServer(evacuated())

	v := a.FromEntry(open(entryA), syn(12), 0)
	is.Equal(v.Action, flow.Send)
	is.Equal(v.Reason, flow.ReasonEvacuated)
	is.Equal(v.To, agentB)
	v, p, ok := a.NextQueued(0)
	is.True(ok)
	is.Equal(p.Key, key(11))
	is.Equal(v.Action, flow.Send)
	is.Equal(v.To, agentB)

	is.Equal(a.FromEntry(data(entryA), request(1, firstA), 0).Action, flow.Deliver)
	is.True(!a.LoadFrame().Draining) // entry hosts learn of it from the configuration

	a.SetServer(serving())
	a.FromTarget(response(1, firstA), 0)
	is.Equal(a.FromEntry(open(entryA), syn(13), 0).Action, flow.Deliver)
}

func TestEvacuatedTargetWithoutPeersRefuses(t *testing.T) {
	is := is.New(t)
	a := newAgent(evacuated())
	v := a.FromEntry(open(entryA), syn(1), 0)
	is.Equal(v.Reason, flow.ReasonEvacuated)
	wantCallerRefused(t, v, syn(1), agentA)
}
