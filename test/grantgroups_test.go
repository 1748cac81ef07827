package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// grantGroups is the number of grant groups: more than the control hosts, so that one
// host leads two.
const grantGroups = 4

// deployWithGroups is deploy with several grant groups, whose leaders are balanced
// over the hosts.
func deployWithGroups(t *testing.T) *deployment {
	t.Helper()
	d := deployOn(t, processtest.TargetOptions{}, func(c *processtest.Cluster) []*processtest.Control {
		return c.StartControlsWithGrantGroups(3, grantGroups)
	})
	d.WaitGrantLeadersBalanced(grantGroups)
	return d
}

// callersOfTargets returns a caller of each target of lodgement.
func (d *deployment) callersOfTargets(t *testing.T) (first, second *processtest.Caller) {
	t.Helper()
	targets := d.targets[d.lodgement]
	return d.callerOf(t, targets[0]), d.callerOf(t, targets[1])
}

// deployWithRuns is deployWithGroups with finished and running keys of all groups at
// the first target. It returns a caller of the second one.
func deployWithRuns(t *testing.T) (d *deployment, other *processtest.Caller, attempts runs) {
	t.Helper()
	d = deployWithGroups(t)
	caller, other := d.callersOfTargets(t)
	d.checkRunsOnce(t, caller, keyOfEachGroup("ended")...)
	return d, other, d.startRuns(t, caller, keyOfEachGroup("running"))
}

// keyOfGroup returns a key of lodgement that belongs to a grant group.
func keyOfGroup(group int, name string) string {
	const lodgement = 1 // the first service that a deployment creates
	table := grant.NewSlotTable(grantGroups)
	for i := 0; ; i++ {
		if key := fmt.Sprintf("%s-%d", name, i); table.GroupOf(lodgement, key) == group {
			return key
		}
	}
}

// keyOfEachGroup returns one key of each group.
func keyOfEachGroup(name string) []string {
	var keys []string
	for group := range grantGroups {
		keys = append(keys, keyOfGroup(group, name))
	}
	return keys
}

// checkRunsOnce expects that each key is answered and ran once.
func (d *deployment) checkRunsOnce(t *testing.T, caller *processtest.Caller, keys ...string) {
	t.Helper()
	is := is.New(t)
	for _, key := range keys {
		answer := d.resendUntilAnswered(t, caller, key)
		is.Equal(string(answer.Body), key)
		is.Equal(d.runs(key), 1)
	}
}

// TestGrantGroupLeaderKilled kills the leader of one group while keys of all groups
// run. Another target serves new keys of every group and returns the recorded
// responses.
func TestGrantGroupLeaderKilled(t *testing.T) {
	d, other, attempts := deployWithRuns(t)
	lost := d.GrantGroupLeader(1)
	lost.Kill()
	d.checkRunsOnce(t, other, keyOfGroup(2, "beside"), keyOfGroup(0, "beside"), keyOfGroup(1, "after"))
	d.checkRunsOnce(t, other, append(keyOfEachGroup("ended"), keyOfEachGroup("running")...)...)
	attempts.abandon()
	lost.Relaunch()
	d.WaitGrantLeadersBalanced(grantGroups) // the restarted host leads its groups again
	d.checkRunsOnce(t, other, keyOfEachGroup("back")...)
}

// startRuns sends each key and waits until all of them run.
func (d *deployment) startRuns(t *testing.T, caller *processtest.Caller, keys []string) runs {
	t.Helper()
	var all runs
	for _, key := range keys {
		all = append(all, startRun(caller, key))
		processtest.Eventually(t, key+" runs", func() bool { return d.runs(key) == 1 })
	}
	return all
}

type runs []*pendingRun

func (all runs) abandon() {
	for _, r := range all {
		r.abandon()
	}
}

// TestGrantGroupsSurviveTwoHostLosses is TestGrantsSurviveTwoHostLosses for several
// groups.
func TestGrantGroupsSurviveTwoHostLosses(t *testing.T) {
	d, other, attempts := deployWithRuns(t)
	lost := d.GrantGroupLeader(2)
	lost.Kill()
	lost.RemoveDataDir()
	d.checkRunsOnce(t, other, keyOfEachGroup("ended")...)
	lost.Relaunch()
	lost.Replace()
	lost.Others()[0].Kill()
	d.checkRunsOnce(t, other, append(keyOfEachGroup("ended"), keyOfEachGroup("running")...)...)
	d.checkRunsOnce(t, other, keyOfEachGroup("fresh")...)
	attempts.abandon()
}

// TestGrantGroupsSurviveRestart restarts all control hosts, first gracefully in turn,
// then after a simultaneous kill. Recorded responses stay.
func TestGrantGroupsSurviveRestart(t *testing.T) {
	is := is.New(t)
	d := deployWithGroups(t)
	caller, other := d.callersOfTargets(t)
	d.checkRunsOnce(t, caller, keyOfEachGroup("first")...)
	for _, host := range d.controls {
		d.WaitGrantLeadersBalanced(grantGroups)
		before, led := host.LogCount(transferredMessage), groupsLed(host)
		host.Terminate()
		host.WaitCleanExit()
		is.True(led > 0)
		is.True(host.LogCount(transferredMessage) >= before+led) // of every group
		host.Relaunch()
	}
	d.checkRunsOnce(t, other, append(keyOfEachGroup("first"), keyOfEachGroup("second")...)...)
	for _, host := range d.controls {
		host.Kill()
	}
	for _, host := range d.controls {
		host.Launch()
	}
	d.checkRunsOnce(t, other, append(keyOfEachGroup("first"), keyOfEachGroup("second")...)...)
	d.checkRunsOnce(t, caller, keyOfEachGroup("third")...)
}

// groupsLed returns how many grant groups a host leads.
func groupsLed(host *processtest.Control) int {
	n := 0
	for _, group := range host.Status().Groups {
		if group.Grants != nil && group.State == "leads" {
			n++
		}
	}
	return n
}

// TestLostGrantGroupAffectsOnlyItsKeys removes one group from two of three hosts. Its
// keys do not run; other keys and repeatable requests are served.
func TestLostGrantGroupAffectsOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	d := deployWithGroups(t)
	const lost = 1
	caller := d.callerOf(t, d.targets[d.lodgement][0])
	d.checkRunsOnce(t, caller, keyOfEachGroup("before")...)
	for _, host := range d.controls[1:] {
		host.Kill()
		host.RemoveGroupDir(lost)
		host.Relaunch()
	}
	for group := range grantGroups {
		if group != lost {
			d.checkRunsOnce(t, caller, keyOfGroup(group, "before"), keyOfGroup(group, "after"))
		}
	}
	for _, key := range []string{keyOfGroup(lost, "before"), keyOfGroup(lost, "after")} {
		ran := d.runs(key)
		answer, err := runKey(caller, key)
		is.NoErr(err)
		is.Equal(answer.Outcome, processtest.OutcomeUnknown)
		is.Equal(answer.Reason, "grant-unavailable")
		is.Equal(d.runs(key), ran)
	}
	d.checkEchoes(t, "repeatable", 3)
}

// TestOutdatedSlotTableRefused sends a command with a different slot table, and starts
// a control host whose settings have a different number of groups.
func TestOutdatedSlotTableRefused(t *testing.T) {
	is := is.New(t)
	d := deployWithGroups(t)
	host := d.controls[0]
	key := keyOfGroup(3, "old")
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
	d.checkRunsOnce(t, d.callerOf(t, d.targets[d.lodgement][0]), key) // nothing was granted

	host.SetGrantGroups(2)
	host.Restart()
	d.WaitGrantLeadersBalanced(grantGroups) // uses the agreed number
	host.Kill()
	host.RemoveDataDir()
	host.Relaunch()
	host.Remove()
	host.JoinUntil("invalid number of grant groups")
	is.Equal(host.WaitExitCode(), 1)
	d.checkRunsOnce(t, d.callerOf(t, d.targets[d.lodgement][1]), keyOfEachGroup("without the host")...)
	host.Relaunch()
	host.Join()
	d.WaitGrantLeadersBalanced(grantGroups)
}

// TestExistingDataDirKeepsGroupCount restarts a deployment with one group under
// settings that have more. It keeps its one group and the recorded responses.
func TestExistingDataDirKeepsGroupCount(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	caller := d.callerOf(t, d.targets[d.lodgement][0])
	d.checkRunsOnce(t, caller, "decided before")
	host := d.controls[0]
	host.SetGrantGroups(grantGroups)
	host.Restart()
	d.checkRunsOnce(t, caller, "decided before", "decided after")
	is.Equal(len(host.Status().Groups), 2) // configuration and grants
}
