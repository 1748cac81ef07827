package test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestGrantsSurviveTwoHostLosses loses the grant leader with its disk while a request
// runs, and another control host after the repair. No key runs twice, and a finished
// one returns its recorded response.
func TestGrantsSurviveTwoHostLosses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller, other := d.callerOf(t, first), d.callerOf(t, second)
	ended, err := runKey(caller, "ended before")
	is.NoErr(err)
	is.Equal(ended.Outcome, processtest.OutcomeAnswered)
	attempt := startRun(caller, "running")
	processtest.Eventually(t, "the request runs", func() bool { return first.RunCount("running") == 1 })

	lost := d.GrantLeader()
	lost.Kill()
	lost.RemoveDataDir()
	d.resendUntilAnswered(t, other, "ended before")
	lost.Launch()
	lost.WaitReady()
	lost.Replace()
	lost.Others()[0].Kill()

	for _, key := range []string{"ended before", "running"} {
		answer := d.resendUntilAnswered(t, other, key)
		is.Equal(string(answer.Body), key)
		is.Equal(d.runs(key), 1)
	}
	fresh := d.resendUntilAnswered(t, other, "after the losses")
	is.Equal(string(fresh.Body), "after the losses")
	is.Equal(d.runs("after the losses"), 1)
	attempt.abandon()
}

// resendUntilAnswered sends a key until it gets its response. Without a quorum the
// outcome is unknown, never not-run.
func (d *deployment) resendUntilAnswered(t *testing.T, caller *processtest.Caller, key string) *processtest.Response {
	t.Helper()
	var last *processtest.Response
	processtest.Eventually(t, key+" is answered", func() bool {
		answer, err := runKey(caller, key)
		is.New(t).NoErr(err)
		if answer.Outcome != processtest.OutcomeAnswered {
			checkUnknownWithRetryAfter(t, answer)
		}
		last = answer
		return answer.Outcome == processtest.OutcomeAnswered
	})
	return last
}

// checkUnknownWithRetryAfter expects an unknown outcome with Retry-After, since an
// earlier attempt could not be looked up or still runs.
func checkUnknownWithRetryAfter(t *testing.T, answer *processtest.Response) {
	t.Helper()
	is := is.New(t)
	is.Equal(answer.Outcome, processtest.OutcomeUnknown)
	is.True(answer.Reason == "grant-unavailable" || answer.Reason == "held")
	is.True(answer.Header.Get(processtest.HeaderRetryAfter) != "")
}

// TestResendWithoutQuorumHasUnknownOutcome resends a request that ran while no control
// host is available. Resends and new requests are indistinguishable and have an
// unknown outcome.
func TestResendWithoutQuorumHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.callerOf(t, d.targets[d.lodgement][0]), d.callerOf(t, d.targets[d.lodgement][1])
	ran, err := runKey(first, "ran")
	is.NoErr(err)
	is.Equal(ran.Outcome, processtest.OutcomeAnswered)
	d.controls[0].Kill()
	for _, key := range []string{"ran", "fresh", "ran"} {
		answer, err := runKey(second, key)
		is.NoErr(err)
		t.Logf("%s: %d %s %s", key, answer.Status, answer.Outcome, answer.Reason)
		checkUnknownWithRetryAfter(t, answer)
	}
	is.Equal(d.runs("fresh"), 0)
	d.controls[0].Launch()
	for _, key := range []string{"ran", "fresh"} {
		is.Equal(string(d.resendUntilAnswered(t, second, key).Body), key)
		is.Equal(d.runs(key), 1)
	}
}

// TestProcessesRestartDuringRun kills the agent and the backend server of a host while
// a request runs. A resend to the restarted processes must not run.
func TestProcessesRestartDuringRun(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	attempt := startRun(d.callerOf(t, target), "amnesia")
	processtest.Eventually(t, "the request runs", func() bool { return target.RunCount("amnesia") == 1 })
	target.Agent.Kill()
	target.Backend.Kill()
	attempt.abandon()
	target.LaunchBackend()
	target.LaunchAgent()
	target.WaitRegistered()
	caller := d.callerOf(t, target)
	for range 3 {
		answer, err := runKey(caller, "amnesia")
		is.NoErr(err)
		is.True(target.Served(answer))
		is.Equal(answer.Outcome, processtest.OutcomeUnknown)
		is.Equal(answer.Reason, "held")
	}
	is.Equal(d.runs("amnesia"), 1)
}
