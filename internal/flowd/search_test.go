package flowd

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/incarnation"
)

// An agent that has restarted leaves it to its target whether it holds a flow, and the target may
// work on the request for long. An entry host that probes the agent would take its silence for
// the end of the target.
func TestProbeIsAnsweredBeforeTarget(t *testing.T) {
	is := is.New(t)
	a, target, _, _ := busyTestAgent(t)
	entry := newTestSocket(t)
	const unknown = 9
	probe := flow.Frame{Kind: flow.Search, Hops: 1, Entry: entry.address()}
	for range 3 { // each probe, also those of a burst
		a.handleFrame(append(probe.Append(nil), plainPacket(unknown, flow.ACK, 101, 10)...), entry.address())
		receive(t, target)
		is.Equal(entry.next().Kind, flow.Load)
	}
}

// An agent that restarts soon after its target gets a report with a low sequence number. It must
// not conclude that the target has started later than itself and holds no flow: the flows that
// were opened by its earlier process would be denied.
func TestRestartedAgentAsksNewTarget(t *testing.T) {
	is := is.New(t)
	a, target, _, _ := busyTestAgent(t)
	entry := newTestSocket(t)
	report := incarnation.Report{Instance: incarnation.Instance{ID: "i-1"}, Sequence: 2, Slots: 1}
	a.ctx, a.cancel = endedContext() // no control host to register at
	is.Equal(a.HandleReport(report), incarnation.NewInstance)
	search := flow.Frame{Kind: flow.Search, Entry: entry.address()}
	packet := plainPacket(9, flow.ACK, 101, 10)
	a.handleFrame(append(search.Append(nil), packet...), entry.address())
	is.Equal(receive(t, target), packet)
}

func endedContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}

// Only the first registration of a target proves that it holds no flows of an earlier process of
// the agent. A wrong conclusion resets them.
func TestFirstRegistrationProvesNoFlows(t *testing.T) {
	for _, test := range []struct {
		name        string
		created     bool
		incarnation uint32
		want        bool
	}{
		{"first", true, 1, true},
		{"registered before this agent started", false, 1, false},
		{"a later instance, which an earlier process may not have heard of", true, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &configpb.Registration{TargetNumber: 7, Incarnation: test.incarnation}
			is.New(t).Equal(isFirst(r, test.created), test.want)
		})
	}
}
