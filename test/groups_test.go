package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// grantGroups is the number of groups of grants in these tests: more than the
// control hosts, so that one host leads two.
const grantGroups = 4

// deployGroups is deploy with several groups of grants, whose leaders are
// spread.
func deployGroups(t *testing.T) *deployment {
	t.Helper()
	d := deployAs(t, processtest.TargetOptions{}, func(c *processtest.Cluster) []*processtest.Control {
		return c.StartControlsWithGrantGroups(3, grantGroups)
	})
	d.WaitGrantLeadersBalanced(grantGroups)
	return d
}

// callers returns a caller of each target of lodgement.
func (d *deployment) callers(t *testing.T) (first, second *processtest.Caller) {
	t.Helper()
	targets := d.targets[d.lodgement]
	return d.callerOf(t, targets[0]), d.callerOf(t, targets[1])
}

// deployRunning is deployGroups with keys of all groups that have ended, and
// others that run, at the first target. It returns a caller of the second one.
func deployRunning(t *testing.T) (d *deployment, other *processtest.Caller, attempts runs) {
	t.Helper()
	d = deployGroups(t)
	caller, other := d.callers(t)
	d.checkRun(t, caller, keysOf("ended")...)
	return d, other, d.startRuns(t, caller, keysOf("running"))
}

// keyOf returns a key of lodgement that a group of grants decides on.
func keyOf(group int, name string) string {
	const lodgement = 1 // the first service that a deployment creates
	table := grant.NewSlotTable(grantGroups)
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s-%d", name, i); table.GroupOf(lodgement, key) == group {
			return key
		}
	}
}

// keysOf returns one key of each group.
func keysOf(name string) []string {
	var keys []string
	for group := range grantGroups {
		keys = append(keys, keyOf(group, name))
	}
	return keys
}

// checkRun expects that each key is answered, and ran once.
func (d *deployment) checkRun(t *testing.T, caller *processtest.Caller, keys ...string) {
	t.Helper()
	is := is.New(t)
	for _, key := range keys {
		answer := d.resendThroughLoss(t, caller, key)
		is.Equal(string(answer.Body), key)
		is.Equal(d.runs(key), 1)
	}
}

// TestLeaderOfOneGroupKilled kills the leader of one group while keys of all
// groups run at one target. The other target serves new keys of the other groups
// and of that one, and gets the answers of all.
func TestLeaderOfOneGroupKilled(t *testing.T) {
	d, other, attempts := deployRunning(t)
	lost := d.GrantGroupLeader(1)
	lost.Kill()
	d.checkRun(t, other, keyOf(2, "beside"), keyOf(0, "beside"), keyOf(1, "after"))
	d.checkRun(t, other, append(keysOf("ended"), keysOf("running")...)...)
	attempts.giveUp()
	lost.Relaunch()
	d.WaitGrantLeadersBalanced(grantGroups) // it leads again what it should
	d.checkRun(t, other, keysOf("back")...)
}

// startRuns starts a run of each key and waits until all run.
func (d *deployment) startRuns(t *testing.T, caller *processtest.Caller, keys []string) runs {
	t.Helper()
	var all runs
	for _, key := range keys {
		all = append(all, startRun(caller, key))
		processtest.Eventually(t, key+" runs", func() bool { return d.runs(key) == 1 })
	}
	return all
}

type runs []*run

func (all runs) giveUp() {
	for _, r := range all {
		r.giveUp()
	}
}

// TestGroupsOutliveTwoLosses is TestGrantOutlivesTwoLosses for all groups: the
// leader of one of them loses its disk, and another host is killed right after
// the repair.
func TestGroupsOutliveTwoLosses(t *testing.T) {
	d, other, attempts := deployRunning(t)
	lost := d.GrantGroupLeader(2)
	lost.Kill()
	lost.RemoveDataDir()
	d.checkRun(t, other, keysOf("ended")...)
	lost.Relaunch()
	lost.Replace()
	lost.Others()[0].Kill()
	d.checkRun(t, other, append(keysOf("ended"), keysOf("running")...)...)
	d.checkRun(t, other, keysOf("fresh")...)
	attempts.giveUp()
}

// TestGroupsRestart restarts all control hosts, by plan in turn and by kill -9
// at once. What was decided holds.
func TestGroupsRestart(t *testing.T) {
	is := is.New(t)
	d := deployGroups(t)
	caller, other := d.callers(t)
	d.checkRun(t, caller, keysOf("first")...)
	for _, host := range d.controls {
		d.WaitGrantLeadersBalanced(grantGroups)
		before, led := host.LogCount(handedOverMessage), leads(host)
		host.Terminate()
		host.WaitCleanExit()
		is.True(led > 0)
		is.True(host.LogCount(handedOverMessage) >= before+led) // of every group
		host.Relaunch()
	}
	d.checkRun(t, other, append(keysOf("first"), keysOf("second")...)...)
	for _, host := range d.controls {
		host.Kill()
	}
	for _, host := range d.controls {
		host.Launch()
	}
	d.checkRun(t, other, append(keysOf("first"), keysOf("second")...)...)
	d.checkRun(t, caller, keysOf("third")...)
}

// leads returns how many groups of grants a host leads.
func leads(host *processtest.Control) int {
	n := 0
	for _, group := range host.Status().Groups {
		if group.Grants != nil && group.State == "leads" {
			n++
		}
	}
	return n
}

// TestLostGroupStopsOnlyItsKeys takes one group away from two of three hosts
// for good. Its keys do not run, the others are served, and so are requests
// that may be repeated.
func TestLostGroupStopsOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	d := deployGroups(t)
	const lost = 1
	caller := d.callerOf(t, d.targets[d.lodgement][0])
	d.checkRun(t, caller, keysOf("before")...)
	for _, host := range d.controls[1:] {
		host.Kill()
		host.RemoveGroupDir(lost)
		host.Relaunch()
	}
	for group := range grantGroups {
		if group != lost {
			d.checkRun(t, caller, keyOf(group, "before"), keyOf(group, "after"))
		}
	}
	for _, key := range []string{keyOf(lost, "before"), keyOf(lost, "after")} {
		ran := d.runs(key)
		answer, err := runKey(caller, key)
		is.NoErr(err)
		is.Equal(answer.Outcome, processtest.OutcomeUnknown)
		is.Equal(answer.Reason, "grant-unavailable")
		is.Equal(d.runs(key), ran)
	}
	d.checkEchoes(t, "may be repeated", 3)
}

// TestOldSlotTable asks by another table than the agreed one: as an agent that
// knew the deployment before it was founded anew, and as a control host whose
// settings name another number of groups.
func TestOldSlotTable(t *testing.T) {
	is := is.New(t)
	d := deployGroups(t)
	host := d.controls[0]
	key := keyOf(3, "old")
	acquire := &grantpb.Command{
		Table: grant.NewSlotTable(grantGroups + 1).Digest(),
		Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
			Service: 1, Key: key, Attempt: []byte("a"), Digest: []byte("d"),
		}},
	}
	result, err := host.SendGrantCommand(d.lodgement.Name, acquire)
	is.NoErr(err)
	is.Equal(result.GetDecision(), grantpb.Decision_DECISION_TABLE)
	is.Equal(result.GetTable(), grant.NewSlotTable(grantGroups).Digest())
	processtest.Eventually(t, "the refusal is counted", func() bool { return host.Refused("slot_table") == 1 })
	d.checkRun(t, d.callerOf(t, d.targets[d.lodgement][0]), key) // nothing was granted

	host.SetGrantGroups(2)
	host.Restart()
	d.WaitGrantLeadersBalanced(grantGroups) // it took the agreed number
	host.Kill()
	host.RemoveDataDir()
	host.Relaunch()
	host.Remove()
	host.JoinUntil("invalid number of grant groups")
	is.Equal(host.WaitExitCode(), 1)
	d.checkRun(t, d.callerOf(t, d.targets[d.lodgement][1]), keysOf("without it")...)
	host.Relaunch()
	host.Join()
	d.WaitGrantLeadersBalanced(grantGroups)
}

// TestFormerDataFolder opens the folder of a deployment with one group under
// settings that ask for more. It keeps its one group and what that decided.
func TestFormerDataFolder(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	caller := d.callerOf(t, d.targets[d.lodgement][0])
	d.checkRun(t, caller, "decided before")
	host := d.controls[0]
	host.SetGrantGroups(grantGroups)
	host.Restart()
	d.checkRun(t, caller, "decided before", "decided after")
	is.Equal(len(host.Status().Groups), 2) // configuration and grants
}
