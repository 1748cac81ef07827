package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// runKey sends a non-repeatable request.
func runKey(caller *processtest.Caller, key string) (*processtest.Response, error) {
	return caller.Do(context.Background(), http.MethodPost,
		processtest.RunPath(slowWorkTime), processtest.KeyHeader(key), []byte(key))
}

// runs returns the number of runs of a key on all targets of lodgement.
func (d *deployment) runs(key string) int {
	n := 0
	for _, target := range d.targets[d.lodgement] {
		n += target.RunCount(key)
	}
	return n
}

// resend sends a key until it gets its response. While the run lasts the outcome is
// unknown, never not-run.
func (d *deployment) resend(t *testing.T, caller *processtest.Caller, key string) *processtest.Response {
	t.Helper()
	is := is.New(t)
	var last *processtest.Response
	processtest.Eventually(t, key+" is answered", func() bool {
		answer, err := runKey(caller, key)
		is.NoErr(err)
		is.True(answer.Outcome != processtest.OutcomeNotRun)
		last = answer
		return answer.Outcome == processtest.OutcomeAnswered
	})
	return last
}

// TestResendAfterLostResponse drops the response of a run and resends the request
// through the other entry host to the other target.
func TestResendAfterLostResponse(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	d.entries[1].RemoveFromFabric()
	attempt := startRun(d.callerOf(t, first), "lost")
	processtest.Eventually(t, "the request runs", func() bool { return first.RunCount("lost") == 1 })
	d.lodgement.Fabric.CutFlows(faultproxy.ToCaller)
	d.entries[0].RemoveFromFabric()
	d.entries[1].AddToFabric()
	answer := d.resend(t, d.callerOf(t, second), "lost")
	is.Equal(string(answer.Body), "lost")
	is.Equal(d.runs("lost"), 1)
	attempt.abandon()
}

// pendingRun is a non-repeatable request whose response is not read.
type pendingRun struct {
	worker conc.WaitGroup
	cancel context.CancelFunc
}

func startRun(caller *processtest.Caller, key string) *pendingRun {
	ctx, cancel := context.WithCancel(context.Background())
	r := &pendingRun{cancel: cancel}
	r.worker.Go(func() {
		_, _ = caller.Do(ctx, http.MethodPost, processtest.RunPath(slowWorkTime), processtest.KeyHeader(key), []byte(key))
	})
	return r
}

func (r *pendingRun) abandon() {
	r.cancel()
	r.worker.Wait()
}

// TestRecordedResponseIsReplayed resends a finished request to another target, which
// returns the recorded response.
func TestRecordedResponseIsReplayed(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	answer, err := runKey(d.callerOf(t, first), "ended")
	is.NoErr(err)
	is.Equal(string(answer.Body), "ended")
	again, err := runKey(d.callerOf(t, second), "ended")
	is.NoErr(err)
	is.Equal(again.Status, answer.Status)
	is.Equal(again.Outcome, processtest.OutcomeAnswered)
	is.Equal(string(again.Body), "ended")
	is.Equal(d.runs("ended"), 1)
}

// TestAgentKilledDuringRun kills the agent that holds the grant. The outcome of the
// run is unknown, so no other target may run it.
func TestAgentKilledDuringRun(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	other := d.callerOf(t, second)
	attempt := startRun(d.callerOf(t, first), "killed")
	processtest.Eventually(t, "the request runs", func() bool { return first.RunCount("killed") == 1 })
	first.Agent.Kill()
	for i := range 3 {
		answer, err := runKey(other, "killed")
		is.NoErr(err)
		t.Logf("resent: %d %s %s", answer.Status, answer.Outcome, answer.Reason)
		is.Equal(answer.Outcome, processtest.OutcomeUnknown)
		is.Equal(d.runs("killed"), 1)
		if i == 0 {
			first.LaunchAgent()
			first.WaitRegistered()
		}
	}
	attempt.abandon()
}

// TestAgentFrozenDuringRuns freezes an agent while requests arrive and run, and thaws
// it after all of them were resent to another target.
func TestAgentFrozenDuringRuns(t *testing.T) {
	is := is.New(t)
	const keys = 3
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller, other := d.callerOf(t, first), d.callerOf(t, second)
	key := func(i int) string { return fmt.Sprint("frozen ", i) }
	var attempts []*pendingRun
	for i := range keys {
		attempts = append(attempts, startRun(caller, key(i)))
	}
	processtest.Eventually(t, "a request runs", func() bool { return first.RunCount(key(0)) == 1 })
	first.Agent.Freeze()
	for i := range keys {
		answer, err := runKey(other, key(i))
		is.NoErr(err)
		t.Logf("resent while frozen: %d %s %s", answer.Status, answer.Outcome, answer.Reason)
		is.True(answer.Outcome != processtest.OutcomeNotRun || d.runs(key(i)) == 0)
	}
	first.Agent.Thaw()
	for i := range keys {
		answer := d.resend(t, other, key(i))
		is.Equal(string(answer.Body), key(i))
		is.Equal(d.runs(key(i)), 1)
		attempts[i].abandon()
	}
}
