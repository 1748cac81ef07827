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

// freezeDuration is twice the stall threshold of an agent.
const freezeDuration = 2 * time.Second

// TestNotRunOutcomeHoldsWithFrozenAgent sends a key to a frozen agent, where it waits
// in the socket buffer, and to another target, which refuses it as not run. The thawed
// agent must not run the key.
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
	send := func(caller *processtest.Caller) (*processtest.Response, error) {
		header := timeoutHeader(longDeadline)
		header.Set(processtest.HeaderKey, key)
		return caller.Do(ctx, http.MethodPost, processtest.RunPath(0), header, []byte(key))
	}
	first.Agent.Freeze()
	frozenAt, waiting := time.Now(), first.ReceiveQueueBytes()
	var firstAnswer *processtest.Response
	var attempt conc.WaitGroup
	attempt.Go(func() { firstAnswer, _ = send(caller) })
	processtest.Eventually(t, "the request is in the buffer", func() bool { return first.ReceiveQueueBytes() > waiting })
	refused, err := send(other)
	is.NoErr(err)
	is.Equal(refused.Outcome, processtest.OutcomeNotRun)
	processtest.Eventually(t, "the agent has stalled", func() bool { return time.Since(frozenAt) > freezeDuration })
	first.Agent.Thaw()

	attempt.Wait()
	is.True(firstAnswer != nil)
	t.Logf("the first attempt: %d %s %s", firstAnswer.Status, firstAnswer.Outcome, firstAnswer.Reason)
	is.Equal(d.runs(key), 0) // the caller got not-run
	is.Equal(firstAnswer.Outcome, processtest.OutcomeUnknown)
	is.Equal(firstAnswer.Reason, "agent-stalled")
	is.True(firstAnswer.Header.Get(processtest.HeaderRetryAfter) != "")
	processtest.Eventually(t, "the refusal is counted", func() bool {
		return first.CountByReason("requests_unknown", "agent-stalled") == 1
	})

	// New requests are served after the thaw.
	late, err := send(d.callerOf(t, first))
	is.NoErr(err)
	is.Equal(fmt.Sprint(late.Outcome, late.Reason), processtest.OutcomeAnswered)
	is.Equal(d.runs(key), 1)
	cancel()
	held.Wait()
}
