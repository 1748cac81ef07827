package test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// recordAge is the age of the records when they are asked for. The clock of
// the grants follows that of the machine, and the shortest time for which
// records may be kept is longer than a test: nothing but time brings this about.
const recordAge = 2 * time.Minute

// TestResendAfterMinutes lets minutes pass after a run that ended and a run
// whose agent was killed, with keys of other requests in between, and starts
// the control host anew. At the other target the first request gets its answer
// and the outcome of the second stays unknown; neither runs again.
func TestResendAfterMinutes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller := d.callerOf(t, first)
	ended, err := runKey(caller, "ended")
	is.NoErr(err)
	is.Equal(ended.Outcome, processtest.OutcomeAnswered)
	other := d.callerOf(t, second) // a flow begun after the kill may go to the dead agent until its lease ends
	attempt := startRun(caller, "killed")
	processtest.Eventually(t, "the request runs", func() bool { return first.Runs("killed") == 1 })
	first.Agent.Kill()
	since := time.Now()

	time.Sleep(recordAge / 2) // the age is what is tested; nothing is waited for
	between, err := runKey(other, "between")
	is.NoErr(err)
	is.Equal(between.Outcome, processtest.OutcomeAnswered)
	control := d.controls[0]
	control.Terminate()
	control.WaitExit()
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
