package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestWrongReportsKeepServiceUp lets every backend server lie in the same
// way. All of them work, so every request is answered.
func TestWrongReportsKeepServiceUp(t *testing.T) {
	for name, faults := range map[string][]string{
		"always ill":                 {"--fault-health=ill"},
		"frozen":                     {"--fault-health=frozen", "--fault-load=stale"},
		"ill and idle":               {"--fault-health=ill", "--fault-load=idle"},
		"well and full":              {"--fault-health=well", "--fault-load=full"},
		"frozen health, always full": {"--fault-health=frozen", "--fault-load=full"},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, 1, processtest.TargetOptions{Faults: faults})
			load := d.startLoad(t)
			for i := range 10 {
				d.checkEchoes(t, fmt.Sprint("lying ", i), 2)
			}
			load.progress()
			load.stop()
		})
	}
}

// TestOneBackendServerWithWrongReports lets one of three backend servers lie. A broken one
// that claims to be well is avoided by what its agent sees; a working one that
// claims to be ill and full takes flows again for the same reason.
func TestOneBackendServerWithWrongReports(t *testing.T) {
	t.Run("broken, claims to be well and idle", func(t *testing.T) {
		d := deploy(t, 1)
		liar := d.lodgement.StartTargetWith("liar", processtest.TargetOptions{
			Faults: []string{"--fault-broken", "--fault-health=well", "--fault-load=idle"},
		})
		d.checkFaultyAvoided(t, liar)
	})
	t.Run("working, claims to be ill and full", func(t *testing.T) {
		d := deploy(t, 1)
		liar := d.lodgement.StartTargetWith("liar", processtest.TargetOptions{
			Faults: []string{"--fault-health=ill", "--fault-load=full"},
		})
		load := d.startLoad(t)
		d.callerOf(t, liar)
		load.progress()
		load.stop()
	})
}

// checkFaultyAvoided sends new flows until the liar takes none of them.
func (d *deployment) checkFaultyAvoided(t *testing.T, liar *processtest.Target) {
	t.Helper()
	const flows = 20
	broken := func() int {
		n := 0
		for i := range flows {
			if liar.Answered(d.lodgement.NewCaller().Echo(fmt.Sprint(i))) {
				n++
			}
		}
		return n
	}
	processtest.Eventually(t, "a flow reaches the liar", func() bool { return broken() > 0 })
	processtest.Eventually(t, "the liar takes no new flow", func() bool { return broken() == 0 })
	is.New(t).True(liar.Backend.Running())
}

// TestRampFollowsBackendServerAge restarts the agent beside an old backend
// server, which stays old, and then the backend server beside its agent, which
// is cold, although it listens at the same address.
func TestRampFollowsBackendServerAge(t *testing.T) {
	const hour = 3600
	d := deploy(t, 1)
	target := d.lodgement.StartTargetWith("old", processtest.TargetOptions{Faults: []string{"--fault-age=24h"}})
	old := func() bool { return target.BackendAge() >= 23*hour }
	processtest.Eventually(t, "the agent takes its server for old", old)
	target.StopAgent()
	target.LaunchAgent()
	target.WaitRegistered()
	processtest.Eventually(t, "the next agent does as well", old)
	target.RestartBackend()
	processtest.Eventually(t, "the new server is cold", func() bool { return target.BackendAge() < hour })
}

// TestClaimedAgeOfNewBackendServerIgnored has a backend server begin after its
// agent has waited for it: what the agent saw goes before the claim.
func TestClaimedAgeOfNewBackendServerIgnored(t *testing.T) {
	const hour = 3600
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	processtest.Eventually(t, "the agent knows its server", func() bool { return target.BackendAge() > 0 })
	target.RestartBackend("--fault-age=24h")
	processtest.Eventually(t, "the new server is ready", target.Ready)
	caller := d.callerOf(t, target)
	is.New(t).Equal(caller.Echo("x").Outcome, processtest.OutcomeAnswered)
	is.New(t).True(target.BackendAge() < hour)
}
