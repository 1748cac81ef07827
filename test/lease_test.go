package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestExpiredLeaseKeepsEstablishedFlows cuts the control link of each target in turn.
// A target without a lease takes no new flows, keeps its session, and takes flows
// again after it renews the lease.
func TestExpiredLeaseKeepsEstablishedFlows(t *testing.T) {
	t.Parallel()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(1)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.PutSection())
	d.entries = append(d.entries, d.StartEntry())
	var links []*faultproxy.Relay
	var targets []*processtest.Target
	for _, name := range []string{"a", "b"} {
		link := d.controls[0].Relay()
		links = append(links, link)
		targets = append(targets, d.lodgement.StartTarget(name, link.Addr()))
	}
	d.waitCandidates(t, len(targets))
	for i, target := range targets {
		watch := d.callerOf(t, target).Watch()
		links[i].Cut()
		processtest.Eventually(t, "the lease expires", func() bool { return d.controls[0].Status().Targets == 1 })
		d.waitCandidates(t, 1)
		d.checkNoNewFlows(t, target)
		watch.WaitEvents()
		links[i].Heal()
		d.waitCandidates(t, len(targets))
		d.callerOf(t, target) // takes new flows again
		watch.WaitEvents()
	}
}

// TestFlappingTargetIsDamped alternates a target between healthy and unhealthy and
// restarts its agent. The target gets no new flows while damped, and gets them again
// afterwards.
func TestFlappingTargetIsDamped(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	d.lodgement.StartTarget("c") // one unhealthy target of two would cause panic mode
	_, flapping := d.sessionTarget(t, watch)
	for flows := 0; flows < manyFlows; {
		processtest.Eventually(t, "a flow while the target is damped", func() bool {
			more := d.checkNoFlowsWhileDamped(t, flapping, manyFlows-flows)
			flows += more
			return more > 0
		})
	}
	is.True(flapping.Agent.Running())
	watch.WaitEvents() // flows of the other target go on
	processtest.Eventually(t, "damping ends", func() bool { return !d.damped() })
	d.callerOf(t, flapping)
	watch.WaitEvents()
}

// damped reports whether the control host damps a target.
func (d *deployment) damped() bool { return d.controls[0].Status().Damped == 1 }

// checkNoFlowsWhileDamped makes a target flap and opens up to maxFlows flows while it is
// damped, none of which it may take. It returns how many those were: on a slow machine
// damping may end early.
func (d *deployment) checkNoFlowsWhileDamped(t *testing.T, flapping *processtest.Target, maxFlows int) int {
	t.Helper()
	d.eventuallyOnEntries(t, "no damping", func(e *processtest.Entry) bool { return e.DampedTargets() == 0 })
	flapping.Agent.Kill()
	flapping.Flap(6)
	flapping.LaunchAgent()
	flapping.WaitRegistered()
	d.eventuallyOnEntries(t, "damping", func(e *processtest.Entry) bool { return e.DampedTargets() == 1 || !d.damped() })
	for flows := range maxFlows {
		taken := d.countFlowsTo(flapping, 1)
		if !d.damped() { // damping may have ended before the flow
			return flows
		}
		is.New(t).Equal(taken, 0)
	}
	return maxFlows
}
