package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestLostLeaseKeepsEstablishedFlows cuts the control links of both targets of
// a service in turn. The one without a lease takes no new flow, its open
// session goes on, and it takes flows again once it can renew the lease.
func TestLostLeaseKeepsEstablishedFlows(t *testing.T) {
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(1)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.Put())
	d.entries = append(d.entries, d.StartEntry())
	links := map[*processtest.Target]*faultproxy.Relay{}
	d.targets = map[*processtest.Service][]*processtest.Target{}
	for _, name := range []string{"a", "b"} {
		link := d.controls[0].Relay()
		target := d.lodgement.StartTarget(name, link.Addr())
		links[target] = link
		d.targets[d.lodgement] = append(d.targets[d.lodgement], target)
	}
	for target, link := range links {
		watch := d.callerOf(t, target).Watch()
		link.Cut()
		d.avoids(t, target)
		watch.Advance()
		link.Heal()
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
	_, flapping := d.holder(t, watch)
	flapping.Agent.Kill()
	flapping.Flap(6)
	flapping.LaunchAgent()
	flapping.WaitRegistered()
	is.Equal(d.controls[0].Status().Damped, 1)
	d.avoids(t, flapping)
	is.True(flapping.Agent.Running())
	watch.Advance() // the other target's flows are not touched
	processtest.Eventually(t, "the damping ends", func() bool { return d.controls[0].Status().Damped == 0 })
	d.callerOf(t, flapping)
	watch.Advance()
}
