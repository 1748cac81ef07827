package test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestSessionMigratesFromBlackholedPath drops all packets on the 5-tuples in use. The
// session migrates to another port of its caller and keeps its target; new flows work
// at once.
func TestSessionMigratesFromBlackholedPath(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	caller := d.lodgement.NewCaller()
	watch := caller.Watch()
	firstTarget := caller.Echo("before").Target
	d.lodgement.Fabric.CutFlows(faultproxy.ToHost, faultproxy.ToCaller)
	checkEcho(t, d.lodgement, d.lodgement.NewCaller(), "from a new port")
	caller.Migrate()
	watch.WaitEvents()
	is.Equal(caller.Echo("after").Target, firstTarget)
}

// TestBlackholeBetweenEntryHostAndAgent drops all packets between one entry host and
// every agent, in one direction or both.
func TestBlackholeBetweenEntryHostAndAgent(t *testing.T) {
	for name, directions := range map[string][]faultproxy.Direction{
		"to the agent":   {faultproxy.ToHost},
		"from the agent": {faultproxy.ToCaller},
		"both ways":      {faultproxy.ToHost, faultproxy.ToCaller},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, 1, processtest.TargetOptions{Relayed: true})
			load := d.startLoad(t)
			for _, target := range d.all() {
				target.FrameRelay.CutFlow(d.entries[0].FrameAddr(), directions...)
			}
			load.progress()
			sessionTarget, _ := d.sessionTarget(t, load.watch)
			lost := 0
			for _, direction := range directions {
				// An agent may not use an entry host that it receives nothing from:
				// with both ways cut, one of them may lose nothing.
				lost += sessionTarget.FrameRelay.Counts(sessionTarget.FrameAddr, direction).Lost
			}
			is.New(t).True(lost > 0)
			d.StartEntry()
			load.progress()
			load.stop()
		})
	}
}

// TestReturnPathWithoutCallerPackets kills every entry host that a session used while
// its caller sends nothing. The agent has to choose an entry host that the flow never
// used.
func TestReturnPathWithoutCallerPackets(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	target, _ := d.sessionTarget(t, watch)
	fresh := d.StartEntry()
	fresh.RemoveFromFabric()
	for _, e := range d.entries {
		e.Kill() // the fabric still sends two of three packets there
	}
	fresh.AddToFabric()
	// The agent learns of the new entry host from another flow, which may need several
	// tries, as two of three of its packets are lost.
	processtest.Eventually(t, "another flow reaches "+target.Name, func() bool {
		answer, err := d.lodgement.NewCaller().Do(t.Context(), http.MethodGet, "/echo?text=other", nil, nil)
		return err == nil && target.Served(answer)
	})
	watch.WaitEvents()
	processtest.Eventually(t, "the agent used the last resort", func() bool {
		return target.CountByReason("return_paths_last_resort", "") > 0
	})
	is.True(fresh.Running())
}
