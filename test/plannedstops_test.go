package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestConcurrentPlannedStops stops a process of each role at once, under requests in
// flight and open sessions, and starts an entry host. New flows go to the one
// remaining target.
func TestConcurrentPlannedStops(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	load := d.startLoad(t)
	target, other := d.sessionTarget(t, load.watch)
	atOther := d.callerOf(t, other).Watch()
	inFlight := []*requests{d.startRequests(t, target, 2), d.startRequests(t, other, 2)}
	d.callerOf(t, d.lodgement.StartTarget("c"))
	stopped := []*processtest.Process{d.controls[0].Process, d.entries[0].Process}

	d.controls[0].Terminate()
	d.entries[0].Terminate()
	target.Agent.Terminate()
	other.Backend.Terminate()
	d.StartEntry()
	d.entries[0].RemoveFromFabric()
	for _, r := range inFlight {
		for _, result := range r.wait() {
			is.Equal(result, completed)
		}
	}
	for _, p := range stopped {
		p.WaitCleanExit()
	}
	load.progress()
	atOther.WaitEvents()
	is.True(target.Agent.Running())
	is.True(other.Backend.Running())
	load.stop()
	load.watch.Close()
	target.Agent.WaitCleanExit()
	atOther.Close()
	other.Backend.WaitCleanExit()
}
