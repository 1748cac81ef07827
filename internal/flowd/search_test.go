package flowd

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/flow"
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
