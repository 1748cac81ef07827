package test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// recordAge is the age of the records at the resend. The clock of the grants follows
// the machine's, so the test has to wait.
const recordAge = 2 * time.Minute

// TestResendAfterMinutes resends a finished request and one whose agent was killed,
// minutes later and after a restart of the control host. Neither runs again.
func TestResendAfterMinutes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller := d.callerOf(t, first)
	ended, err := runKey(caller, "ended")
	is.NoErr(err)
	is.Equal(ended.Outcome, processtest.OutcomeAnswered)
	other := d.callerOf(t, second) // a flow opened after the kill may reach the dead agent until its lease expires
	attempt := startRun(caller, "killed")
	processtest.Eventually(t, "the request runs", func() bool { return first.RunCount("killed") == 1 })
	first.Agent.Kill()
	since := time.Now()

	time.Sleep(recordAge / 2) // lets the records age
	between, err := runKey(other, "between")
	is.NoErr(err)
	is.Equal(between.Outcome, processtest.OutcomeAnswered)
	control := d.controls[0]
	control.Terminate()
	control.WaitCleanExit()
	control.Launch()
	control.WaitReady()
	time.Sleep(recordAge - time.Since(since))

	again := d.resend(t, other, "ended")
	is.Equal(again.Status, ended.Status)
	is.Equal(string(again.Body), "ended")
	unknown, err := runKey(other, "killed")
	is.NoErr(err)
	is.Equal(unknown.Outcome, processtest.OutcomeUnknown)
	for _, key := range []string{"ended", "killed", "between"} {
		is.Equal(d.runs(key), 1)
	}
	attempt.abandon()
}
