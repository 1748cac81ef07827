package test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// sessionTarget returns the target of lodgement that serves the watch, and the other
// one.
func (d *deployment) sessionTarget(t *testing.T, watch *processtest.Watch) (sessionTarget, other *processtest.Target) {
	t.Helper()
	targets := d.targets[d.lodgement]
	for i, target := range targets {
		if processtest.IsTarget(watch.Target(), target) {
			return target, targets[1-i]
		}
	}
	t.Fatalf("the watch is served by %q", watch.Target())
	return nil, nil
}

func TestAgentRestartKeepsSessions(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	load := d.startLoad(t)
	target, _ := d.sessionTarget(t, load.watch)
	old := target.Agent
	inFlight := d.startRequests(t, target, 2)
	target.DrainAgent()
	target.LaunchAgent()
	target.WaitRegistered()
	for _, answer := range inFlight.wait() {
		is.Equal(answer, completed)
	}
	load.progress()
	processtest.Eventually(t, "the new agent takes flows", func() bool {
		answer := d.lodgement.NewCaller().Echo("x")
		return target.Served(answer) && answer.Target != load.watch.Target()
	})
	is.True(old.Running()) // its session is still open
	load.watch.WaitEvents()
	load.stop()
	load.watch.Close()
	old.WaitCleanExit()
}

func TestControlHostRestarts(t *testing.T) {
	d := deploy(t, 1)
	load := d.startLoad(t)
	control := d.controls[0]
	control.Terminate()
	control.WaitCleanExit()
	load.progress()
	d.checkEchoes(t, "without control", 2)
	control.Launch()
	control.WaitReady()
	version := d.Patch(d.lodgement.PutSection())
	d.WaitActive(version, d.entries[0].Host, d.entries[1].Host)
	load.progress()
	load.stop()
}

func TestBackendServerDrains(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	load := d.startLoad(t)
	target, other := d.sessionTarget(t, load.watch)
	inFlight := d.startRequests(t, target, 2)
	target.Backend.Terminate()
	for _, answer := range inFlight.wait() {
		is.Equal(answer, completed)
	}
	target.WaitNoNewFlows()
	d.checkNoNewFlows(t, target)
	load.progress()
	is.True(target.Backend.Running())
	is.True(other.Served(d.lodgement.NewCaller().Echo("x")))
	load.stop()
	load.watch.Close()
	target.Backend.WaitCleanExit()
}

// TestDrainingTargetBehindPartitionedEntryHost sends every packet through an entry
// host that is cut off from control and does not learn of the draining.
func TestDrainingTargetBehindPartitionedEntryHost(t *testing.T) {
	d := deploy(t, 1)
	link := d.controls[0].Relay()
	d.StartEntry(link.Addr())
	for _, e := range d.entries {
		e.RemoveFromFabric()
	}
	load := d.startLoad(t)
	target, _ := d.sessionTarget(t, load.watch)
	link.Cut()
	target.DrainAgent()
	d.checkNoNewFlows(t, target)
	load.progress()
	load.stop()
}

// checkNoNewFlows opens many flows, none of which the target may take. Callers make
// sure that the target is already excluded: without that, load reports alone can keep
// flows away for a while.
func (d *deployment) checkNoNewFlows(t *testing.T, target *processtest.Target) {
	t.Helper()
	is.New(t).Equal(d.countFlowsTo(target, manyFlows), 0)
}

const manyFlows = 100

// countFlowsTo opens flows and returns how many the target took.
func (d *deployment) countFlowsTo(target *processtest.Target, flows int) int {
	taken := 0
	for i := range flows {
		answer := d.lodgement.NewCaller().Echo(fmt.Sprint(i))
		if answer.Status == http.StatusOK && target.Served(answer) {
			taken++
		}
	}
	return taken
}

// waitCandidates waits until all entry hosts have that many candidates.
func (d *deployment) waitCandidates(t *testing.T, count int) {
	t.Helper()
	d.eventuallyOnEntries(t, fmt.Sprint(count, " candidates"), func(e *processtest.Entry) bool {
		return e.Candidates() == count
	})
}

// eventuallyOnEntries waits until the condition holds on each entry host.
func (d *deployment) eventuallyOnEntries(t *testing.T, what string, holds func(*processtest.Entry) bool) {
	t.Helper()
	for _, e := range d.entries {
		processtest.Eventually(t, what+" on "+e.Host, func() bool { return holds(e) })
	}
}
