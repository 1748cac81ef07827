package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestExpiredLeaseKeepsEstablishedFlows cuts the control links of both targets of
// a service in turn. The one without a lease takes no new flow, its open
// session goes on, and it takes flows again once it can renew the lease.
func TestExpiredLeaseKeepsEstablishedFlows(t *testing.T) {
	t.Parallel()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(1)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.Put())
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
		processtest.Eventually(t, "the lease ends", func() bool { return d.controls[0].Status().Targets == 1 })
		d.waitCandidates(t, 1)
		d.checkNoNewFlows(t, target)
		watch.Advance()
		links[i].Heal()
		d.waitCandidates(t, len(targets))
		d.callerOf(t, target) // takes new flows again
		watch.Advance()
	}
}

// TestFlappingTargetIsDamped lets a target turn ill and well many times at once
// and then starts its agent anew: it is kept from new flows although the agent
// serves, and gets them again when it has been calm for a while.
func TestFlappingTargetIsDamped(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	d.lodgement.StartTarget("c") // one ill target of two would be half of the service
	_, flapping := d.sessionTarget(t, watch)
	for flows := 0; flows < manyFlows; {
		processtest.Eventually(t, "a flow while the target is damped", func() bool {
			more := d.checkNoFlowsWhileDamped(t, flapping, manyFlows-flows)
			flows += more
			return more > 0
		})
	}
	is.True(flapping.Agent.Running())
	watch.Advance() // the other target's flows are not touched
	processtest.Eventually(t, "the damping ends", func() bool { return !d.damped() })
	d.callerOf(t, flapping)
	watch.Advance()
}

// damped tells whether the control host damps a target.
func (d *deployment) damped() bool { return d.controls[0].Status().Damped == 1 }

// checkNoFlowsWhileDamped lets a target flap and opens up to that many flows while it is
// damped, none of which it may take. It returns how many those were: the damping
// ends by the clock, so that on a slow machine there may be few.
func (d *deployment) checkNoFlowsWhileDamped(t *testing.T, flapping *processtest.Target, most int) int {
	t.Helper()
	d.eventuallyOnEntries(t, "no damping", func(e *processtest.Entry) bool { return e.Damped() == 0 })
	flapping.Agent.Kill()
	flapping.Flap(6)
	flapping.LaunchAgent()
	flapping.WaitRegistered()
	d.eventuallyOnEntries(t, "damping", func(e *processtest.Entry) bool { return e.Damped() == 1 || !d.damped() })
	for flows := range most {
		taken := d.countFlowsTo(flapping, 1)
		if !d.damped() { // the flow may have come after the end
			return flows
		}
		is.New(t).Equal(taken, 0)
	}
	return most
}
