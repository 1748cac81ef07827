package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// freezeDuration is how long an agent is frozen: twice what it notices.
const freezeDuration = 2 * time.Second

// TestNotRunOutcomeHoldsWithFrozenAgent sends a key to a frozen agent, where it waits
// in the buffer of the socket, and again to another target, which has no slot
// left and says that it was not run. The caller keeps the first attempt. After
// the thaw the key does not run: its caller was told so.
func TestNotRunOutcomeHoldsWithFrozenAgent(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	first, second := d.targets[d.lodgement][0], d.targets[d.lodgement][1]
	caller, other, busy := d.callerOf(t, first), d.callerOf(t, second), d.callerOf(t, second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var held conc.WaitGroup
	for range slots {
		held.Go(func() {
			_, _ = busy.Do(ctx, http.MethodPost, processtest.RunPath(longWork), timeoutHeader(longDeadline), nil)
		})
	}
	processtest.Eventually(t, "all slots are taken", func() bool { return second.Running() == slots })

	const key = "in the buffer"
	send := func(caller *processtest.Caller) (*processtest.Answer, error) {
		header := timeoutHeader(longDeadline)
		header.Set(processtest.HeaderKey, key)
		return caller.Do(ctx, http.MethodPost, processtest.RunPath(0), header, []byte(key))
	}
	first.Agent.Freeze()
	began, waiting := time.Now(), first.Waiting()
	var early *processtest.Answer
	var attempt conc.WaitGroup
	attempt.Go(func() { early, _ = send(caller) })
	processtest.Eventually(t, "the request is in the buffer", func() bool { return first.Waiting() > waiting })
	told, err := send(other)
	is.NoErr(err)
	is.Equal(told.Outcome, processtest.OutcomeNotRun)
	processtest.Eventually(t, "the agent stood still", func() bool { return time.Since(began) > freezeDuration })
	first.Agent.Thaw()

	attempt.Wait()
	is.True(early != nil)
	t.Logf("the first attempt: %d %s %s", early.Status, early.Outcome, early.Reason)
	is.Equal(d.runs(key), 0) // told not run
	is.Equal(early.Outcome, processtest.OutcomeUnknown)
	is.Equal(early.Reason, "agent-stalled")
	is.True(early.Header.Get(processtest.HeaderRetryAfter) != "")
	processtest.Eventually(t, "the refusal is counted", func() bool {
		return first.Counted("requests_unknown", "agent-stalled") == 1
	})

	// Who comes after the thaw is served.
	late, err := send(d.callerOf(t, first))
	is.NoErr(err)
	is.Equal(fmt.Sprint(late.Outcome, late.Reason), processtest.OutcomeAnswered)
	is.Equal(d.runs(key), 1)
	cancel()
	held.Wait()
}
