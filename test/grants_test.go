package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestGrantOutlivesTwoLosses loses the leader of the grants with its disk
// while a request runs, and another control host soon after the repair. A
// resend over another entry host to another target never runs again, and a
// request that ended before gets its answer.
func TestGrantOutlivesTwoLosses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller, other := d.callerOf(t, first), d.callerOf(t, second)
	ended, err := runKey(caller, "ended before")
	is.NoErr(err)
	is.Equal(ended.Outcome, processtest.OutcomeAnswered)
	attempt := startRun(caller, "running")
	processtest.Eventually(t, "the request runs", func() bool { return first.Runs("running") == 1 })

	lost := d.GrantLeader()
	lost.Kill()
	lost.LoseDisk()
	d.resendThroughLoss(t, other, "ended before")
	lost.Launch()
	lost.WaitReady()
	lost.Replace()
	lost.Others()[0].Kill()

	for _, key := range []string{"ended before", "running"} {
		answer := d.resendThroughLoss(t, other, key)
		is.Equal(string(answer.Body), key)
		is.Equal(d.runs(key), 1)
	}
	fresh := d.resendThroughLoss(t, other, "after the losses")
	is.Equal(string(fresh.Body), "after the losses")
	is.Equal(d.runs("after the losses"), 1)
	attempt.giveUp()
}

// resendThroughLoss sends a key until its answer comes. While no quorum can be
// asked, a not-run must say that it speaks of the attempt only.
func (d *deployment) resendThroughLoss(t *testing.T, caller *processtest.Caller, key string) *processtest.Answer {
	t.Helper()
	is := is.New(t)
	var last *processtest.Answer
	processtest.Eventually(t, key+" is answered", func() bool {
		answer, err := runKey(caller, key)
		is.NoErr(err)
		if answer.Outcome == processtest.OutcomeNotRun {
			is.Equal(answer.Reason, "grant-unavailable")
			is.Equal(answer.Header.Get(processtest.HeaderScope), processtest.ScopeAttempt)
		}
		last = answer
		return answer.Outcome == processtest.OutcomeAnswered
	})
	return last
}

// TestHostWithoutDiskRestartsDuringRun kills the agent and the backend server
// of a host while a request runs there. The new processes know nothing of it,
// and a resend to the same host must not run.
func TestHostWithoutDiskRestartsDuringRun(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	attempt := startRun(d.callerOf(t, target), "amnesia")
	processtest.Eventually(t, "the request runs", func() bool { return target.Runs("amnesia") == 1 })
	target.Agent.Kill()
	target.Backend.Kill()
	attempt.giveUp()
	target.LaunchBackend()
	target.LaunchAgent()
	target.WaitRegistered()
	caller := d.callerOf(t, target)
	for range 3 {
		answer, err := runKey(caller, "amnesia")
		is.NoErr(err)
		is.True(target.Answered(answer))
		is.Equal(answer.Outcome, processtest.OutcomeUnknown)
		is.Equal(answer.Reason, "held")
	}
	is.Equal(d.runs("amnesia"), 1)
}
