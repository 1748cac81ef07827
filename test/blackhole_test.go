package test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestSessionMigratesFromBlackholedPath makes the 5-tuples of all callers silent for
// good, while new ones work. The session goes on from another port of its
// caller, at the target where it began, and new flows work at once.
func TestSessionMigratesFromBlackholedPath(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	caller := d.lodgement.NewCaller()
	watch := caller.Watch()
	began := caller.Echo("before").Target
	d.lodgement.Fabric.CutExisting(faultproxy.ToHost, faultproxy.ToCaller)
	checkEcho(t, d.lodgement, d.lodgement.NewCaller(), "from a new port")
	caller.Migrate()
	watch.Advance()
	is.Equal(caller.Echo("after").Target, began)
}

// TestBlackholeBetweenEntryHostAndAgent makes the path between one entry host
// and every agent silent for good, in one direction or both.
func TestBlackholeBetweenEntryHostAndAgent(t *testing.T) {
	for name, ways := range map[string][]faultproxy.Direction{
		"towards the agent":   {faultproxy.ToHost},
		"away from the agent": {faultproxy.ToCaller},
		"both ways":           {faultproxy.ToHost, faultproxy.ToCaller},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, 1, processtest.TargetOptions{Relayed: true})
			load := d.startLoad(t)
			for _, target := range d.all() {
				target.Path.CutExistingOf(d.entries[0].Frames(), ways...)
			}
			load.progress()
			sessionTarget, _ := d.sessionTarget(t, load.watch)
			lost := 0
			for _, way := range ways {
				// An agent that hears nothing through an entry host may not
				// try it: with both ways cut one of them may lose nothing.
				lost += sessionTarget.Path.Counts(sessionTarget.Frames, way).Lost
			}
			is.New(t).True(lost > 0)
			d.StartEntry()
			load.progress()
			load.stop()
		})
	}
}

// TestReturnPathWithoutCallerPackets loses every entry host that a session was
// heard through. Its caller has nothing to say before something reaches it, so
// the agent has to find an entry host that the flow never used.
func TestReturnPathWithoutCallerPackets(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	target, _ := d.sessionTarget(t, watch)
	fresh := d.StartEntry()
	fresh.Leave()
	for _, e := range d.entries {
		e.Kill() // the fabric goes on sending two of three packets there
	}
	fresh.Join()
	// The agent hears of the new entry host by another flow. That one may need more
	// than one try, as two of three of its packets are lost.
	processtest.Eventually(t, "another flow reaches "+target.Name, func() bool {
		answer, err := d.lodgement.NewCaller().Do(t.Context(), http.MethodGet, "/echo?text=other", nil, nil)
		return err == nil && target.Answered(answer)
	})
	watch.Advance()
	processtest.Eventually(t, "the agent used the last resort", func() bool {
		return target.Counted("return_paths_last_resort", "") > 0
	})
	is.True(fresh.Running())
}
