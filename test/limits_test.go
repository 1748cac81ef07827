package test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

const (
	slots = 4
	// longWork and longDeadline exceed the duration of any test.
	longWork     = time.Hour
	longDeadline = 30 * time.Minute
	// shortDeadline is the deadline of a request that has to miss it.
	shortDeadline = 300 * time.Millisecond
)

func timeoutHeader(d time.Duration) http.Header {
	header := make(http.Header)
	header.Set(processtest.HeaderTimeout, strconv.FormatInt(d.Milliseconds(), 10))
	return header
}

// TestDeadlineAndCancellationReachBackendServer lets the deadline and the caller's
// cancellation end long work, of requests with and without a key.
func TestDeadlineAndCancellationReachBackendServer(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	caller := d.callerOf(t, target)
	idle := func() bool { return target.Running() == 0 }
	for _, key := range []string{"", "with a key"} {
		header := timeoutHeader(shortDeadline)
		if key != "" {
			header.Set(processtest.HeaderKey, key)
		}
		answer := caller.MustDo(http.MethodPost, processtest.RunPath(longWork), header, nil)
		// Either the agent or the backend server notices the deadline first.
		deadlineReported := answer.Outcome == processtest.OutcomeUnknown && answer.Reason == "deadline"
		is.True(deadlineReported || answer.Status == http.StatusGatewayTimeout)
		processtest.Eventually(t, "the deadline ends the work", idle)

		header = timeoutHeader(longDeadline)
		if key != "" {
			header.Set(processtest.HeaderKey, key+", cancelled")
		}
		ctx, cancel := context.WithCancel(context.Background())
		var request conc.WaitGroup
		request.Go(func() {
			_, _ = caller.Do(ctx, http.MethodPost, processtest.RunPath(longWork), header, nil)
		})
		processtest.Eventually(t, "the request runs", func() bool { return target.Running() == 1 })
		cancel()
		request.Wait()
		processtest.Eventually(t, "the cancellation ends the work", idle)
	}
	checkEcho(t, d.lodgement, caller, "the connection goes on")
}

// TestOverloadIsRefusedImmediately fills the slots of a target and sends more
// requests. Each is refused with Retry-After, without waiting for a slot.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	const extra = 30
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	var callers []*processtest.Caller
	for range 3 {
		callers = append(callers, d.callerOf(t, target))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var held conc.WaitGroup
	for i := range slots {
		held.Go(func() {
			_, _ = callers[i%len(callers)].Do(ctx, http.MethodPost, processtest.RunPath(longWork), timeoutHeader(longDeadline), nil)
		})
	}
	processtest.Eventually(t, "all slots are taken", func() bool { return target.Running() == slots })

	answers := make([]*processtest.Response, extra)
	var refused conc.WaitGroup
	for i := range extra {
		header := timeoutHeader(longDeadline)
		header.Set(processtest.HeaderKey, fmt.Sprint("shed ", i))
		refused.Go(func() {
			answers[i], _ = callers[i%len(callers)].Do(ctx, http.MethodPost, processtest.RunPath(0), header, nil)
		})
	}
	refused.Wait()
	is.Equal(target.Running(), slots) // the refusals did not wait for a slot
	for i, answer := range answers {
		is.True(answer != nil)
		is.Equal(answer.Outcome, processtest.OutcomeNotRun)
		is.True(answer.Header.Get("Retry-After") != "")
		is.Equal(target.RunCount(fmt.Sprint("shed ", i)), 0)
	}
	cancel()
	held.Wait()
	processtest.Eventually(t, "the slots are free again", func() bool { return target.Running() == 0 })
	is.Equal(callers[0].MustDo(http.MethodPost, processtest.RunPath(0), nil, nil).Outcome, processtest.OutcomeAnswered)
	processtest.Eventually(t, "each refusal is counted by its reason", func() bool {
		return sumCounters(target, "requests_refused", "slots-full", "queue-full", "wait-too-long") == extra
	})
	// The agent enforced the limit; the backend server refused nothing.
	is.Equal(target.CountByReason("requests_refused", "backend-refused"), 0.0)
}

// sumCounters adds up an agent's counter over several reasons.
func sumCounters(target *processtest.Target, counter string, reasons ...string) float64 {
	total := 0.0
	for _, reason := range reasons {
		total += target.CountByReason(counter, reason)
	}
	return total
}

// TestRetriesAreCountedByReason kills a backend server whose agent keeps running.
func TestRetriesAreCountedByReason(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	target := d.targets[d.lodgement][0]
	caller := d.callerOf(t, target)
	target.Backend.Kill()
	answer := caller.MustDo(http.MethodPost, processtest.RunPath(0), nil, nil)
	is.Equal(answer.Outcome, processtest.OutcomeNotRun)
	is.Equal(answer.Reason, "backend-unreachable")
	is.True(answer.Header.Get("Retry-After") != "")
	processtest.Eventually(t, "retries and the reason of the last one are counted", func() bool {
		ends := sumCounters(target, "retries", "attempts-spent", "budget-spent", "deadline-too-close")
		return target.CountByReason("retries", "connect") > 0 && ends == 1
	})
	is.Equal(target.CountByReason("requests_refused", "backend-unreachable"), 1.0)

	target.LaunchBackend()
	processtest.Eventually(t, "the backend server is used again", func() bool {
		return caller.Echo("again").Outcome == processtest.OutcomeAnswered
	})
}
