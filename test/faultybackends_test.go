package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestWrongReportsKeepServiceUp makes all backend servers send the same wrong health
// and load reports. All of them work, so every request is answered.
func TestWrongReportsKeepServiceUp(t *testing.T) {
	for name, faults := range map[string][]string{
		"always unhealthy":          {"--fault-health=ill"},
		"health endpoint hangs":     {"--fault-health=frozen", "--fault-load=stale"},
		"unhealthy and idle":        {"--fault-health=ill", "--fault-load=idle"},
		"healthy and full":          {"--fault-health=well", "--fault-load=full"},
		"health hangs, always full": {"--fault-health=frozen", "--fault-load=full"},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployWith(t, 1, processtest.TargetOptions{FaultFlags: faults})
			load := d.startLoad(t)
			for i := range 10 {
				d.checkEchoes(t, fmt.Sprint("wrong reports ", i), 2)
			}
			load.progress()
			load.stop()
		})
	}
}

// TestOneBackendServerWithWrongReports makes one of three backend servers send wrong
// reports. The agent's own observations decide: a broken one is avoided although it
// reports healthy, a working one takes flows although it reports unhealthy and full.
func TestOneBackendServerWithWrongReports(t *testing.T) {
	t.Run("broken, reports healthy and idle", func(t *testing.T) {
		d := deploy(t, 1)
		faulty := d.lodgement.StartTargetWith("faulty", processtest.TargetOptions{
			FaultFlags: []string{"--fault-broken", "--fault-health=well", "--fault-load=idle"},
		})
		d.checkFaultyAvoided(t, faulty)
	})
	t.Run("working, reports unhealthy and full", func(t *testing.T) {
		d := deploy(t, 1)
		faulty := d.lodgement.StartTargetWith("faulty", processtest.TargetOptions{
			FaultFlags: []string{"--fault-health=ill", "--fault-load=full"},
		})
		load := d.startLoad(t)
		d.callerOf(t, faulty)
		load.progress()
		load.stop()
	})
}

// checkFaultyAvoided sends new flows until the target takes none of them.
func (d *deployment) checkFaultyAvoided(t *testing.T, faulty *processtest.Target) {
	t.Helper()
	const flows = 20
	flowsTaken := func() int {
		n := 0
		for i := range flows {
			if faulty.Served(d.lodgement.NewCaller().Echo(fmt.Sprint(i))) {
				n++
			}
		}
		return n
	}
	processtest.Eventually(t, "a flow reaches the faulty target", func() bool { return flowsTaken() > 0 })
	processtest.Eventually(t, "the faulty target takes no new flow", func() bool { return flowsTaken() == 0 })
	is.New(t).True(faulty.Backend.Running())
}

// TestRampFollowsBackendServerAge restarts the agent beside an old backend server,
// which stays old, and then the backend server, which is cold at the same address.
func TestRampFollowsBackendServerAge(t *testing.T) {
	const hour = 3600
	d := deploy(t, 1)
	target := d.lodgement.StartTargetWith("old", processtest.TargetOptions{FaultFlags: []string{"--fault-age=24h"}})
	old := func() bool { return target.BackendAge() >= 23*hour }
	processtest.Eventually(t, "the agent considers its server old", old)
	target.DrainAgent()
	target.LaunchAgent()
	target.WaitRegistered()
	processtest.Eventually(t, "the new agent considers its server old", old)
	target.RestartBackend()
	processtest.Eventually(t, "the new server is cold", func() bool { return target.BackendAge() < hour })
}

// TestClaimedAgeOfNewBackendServerIgnored restarts a backend server while its agent
// waits for it. The agent's observation overrides the age that the server reports.
func TestClaimedAgeOfNewBackendServerIgnored(t *testing.T) {
	const hour = 3600
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	processtest.Eventually(t, "the agent knows its server", func() bool { return target.BackendAge() > 0 })
	target.RestartBackend("--fault-age=24h")
	processtest.Eventually(t, "the new server is ready", target.BackendReady)
	caller := d.callerOf(t, target)
	is.New(t).Equal(caller.Echo("x").Outcome, processtest.OutcomeAnswered)
	is.New(t).True(target.BackendAge() < hour)
}
