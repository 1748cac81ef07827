package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestTargetsAddedInBursts adds targets in bursts while others drain. Sessions keep
// their targets; every new target takes flows.
func TestTargetsAddedInBursts(t *testing.T) {
	is := is.New(t)
	const bursts, size = 2, 4
	d := deploy(t, 1)
	load := d.startLoad(t)
	caller := d.lodgement.NewCaller()
	firstTarget := caller.Echo("before").Target
	var draining *processtest.Target
	for burst := range bursts {
		var added []*processtest.Target
		for i := range size {
			added = append(added, d.lodgement.LaunchTarget(fmt.Sprintf("burst-%d-%d", burst, i), processtest.TargetOptions{}))
		}
		if draining != nil {
			draining.Backend.Terminate()
		}
		for _, target := range added {
			target.WaitRegistered()
		}
		for _, target := range added {
			d.callerOf(t, target)
		}
		load.progress()
		is.Equal(caller.Echo("after a burst").Target, firstTarget)
		draining = added[0]
	}
	load.stop()
}

// TestNewFlowsAreDistributed opens short flows to six equally loaded targets. None may
// get far more than its share.
func TestNewFlowsAreDistributed(t *testing.T) {
	is := is.New(t)
	const flows, maxShare = 180, 3 // maxShare is a multiple of the mean
	d := deploy(t, 1)
	d.WaitActive(d.Patch(d.lodgement.PutSection()+"ramp_ms = 1\n"), d.entryNames()...)
	for _, name := range []string{"c", "d", "e", "f"} {
		d.targets[d.lodgement] = append(d.targets[d.lodgement], d.lodgement.LaunchTarget(name, processtest.TargetOptions{}))
	}
	targets := d.targets[d.lodgement]
	for _, target := range targets {
		target.WaitRegistered()
		d.callerOf(t, target)
	}
	taken := make(map[string]int)
	for i := range flows {
		taken[d.lodgement.NewCaller().Echo(fmt.Sprint(i)).Target]++
	}
	t.Logf("flows by target: %v", taken)
	is.Equal(len(taken), len(targets))
	for _, n := range taken {
		is.True(n <= maxShare*flows/len(targets))
	}
}
