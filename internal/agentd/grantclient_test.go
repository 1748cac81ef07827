package agentd

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go/http3"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

func TestRetryGetsRecordedResponse(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	first := tc.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(first.status, http.StatusCreated)
	is.Equal(first.body, "ran stamp")
	is.Equal(first.header.Get(headerReplayed), "")
	second := tc.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(second.status, http.StatusCreated)
	is.Equal(second.body, "ran stamp")
	is.Equal(second.header.Get("Content-Type"), "text/x-run")
	is.Equal(second.header.Get(headerOutcome), "answered")
	is.Equal(second.header.Get(headerReplayed), "true")
	is.Equal(backend.runCount("k1"), 1)
	is.Equal(a.counter("answers_replayed", ""), int64(1))
	other := tc.mustSend(t, "POST", "/run", "another", headerKey, "k1")
	checkRefused(t, other, http.StatusConflict, "not-run", "key-mismatch")
	is.Equal(backend.runCount("k1"), 1)
}

func TestRetryAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	first := mustSend(t, tc.caller(), "POST", tc.url("/run"), "stamp", headerKey, "k1")
	is.Equal(first.status, http.StatusCreated)
	second := newFakeBackend(t)
	b := tc.startAgent("t2", second.server.URL)
	tc.entry.setRoute(b.FrameAddr(), "")
	again := mustSend(t, tc.caller(), "POST", tc.url("/run"), "stamp", headerKey, "k1")
	is.Equal(again.header.Get(headerTarget), b.dataPlane.Load().self.String())
	is.Equal(again.body, "ran stamp")
	is.Equal(backend.runCount("k1")+second.runCount("k1"), 1)
}

func TestUnknownOutcomeIsFinal(t *testing.T) {
	for _, path := range []string{"/cut?size=100", "/reset", "/crossed", "/cut?size=100&chunked=1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			tc, _, backend := startSingleAgent(t)
			first := tc.mustSend(t, "POST", path, "x", headerKey, "k1")
			is.Equal(first.header.Get(headerOutcome), "unknown")
			second := tc.mustSend(t, "POST", path, "x", headerKey, "k1")
			checkRefused(t, second, http.StatusBadGateway, "unknown", "held")
			is.Equal(backend.runCount("k1"), 1)
		})
	}
}

func TestHeldWhileTheFirstAttemptRuns(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	held := backend.startHeldRequest(t.Context(), t, tc, "POST", headerKey, "k1")
	second := tc.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(second.header.Get(headerReason), "held")
	close(backend.unblock)
	is.Equal((<-held.response).body, "held")
	second = tc.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(second.body, "held")
	is.Equal(second.header.Get(headerReplayed), "true")
	is.Equal(backend.runCount("k1"), 1)
}

func TestNotRunReleasesGrant(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	backend.refuseNext.Store(3)
	first := tc.mustSend(t, "POST", "/echo", "x", headerKey, "k1")
	is.Equal(first.header.Get(headerOutcome), "not-run") // based on the grant
	is.True(tc.control.record("k1") == nil)              // released before the response
	second := tc.mustSend(t, "POST", "/echo", "x", headerKey, "k1")
	is.Equal(second.body, "x")
	is.Equal(backend.runCount("k1"), 1)
}

func TestWithoutQuorumKeyedRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
	tc.control.set(controlDown)
	checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	is.Equal(backend.runCount("k1"), 0)
	// Requests without a key do not need the control hosts.
	is.Equal(tc.mustSend(t, "GET", "/echo?text=y", "").body, "y")
}

// setTable changes the slot table.
func (f *fakeControl) setTable(digest uint64, groups int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table, f.groups = digest, uint32(groups)
}

// An agent with an outdated slot table is refused and retries with the current one.
func TestSlotTableMismatchIsCorrected(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	for i, table := range []uint64{7, 7, 9, 9} {
		tc.control.setTable(table, 1)
		key := fmt.Sprint("k", i)
		is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, key).body, "ran x")
		is.Equal(backend.runCount(key), 1)
	}
	// Only the Acquire of the third request was refused.
	is.Equal(a.counter("grants_of_another_table", ""), int64(1))
}

// checkPriorAttemptUnknown checks for an unknown outcome with a retry delay.
func checkPriorAttemptUnknown(t *testing.T, got callerResponse, why string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.header.Get(headerOutcome), "unknown")
	is.Equal(got.header.Get(headerReason), why)
	is.True(got.header.Get(headerRetryAfter) != "")
	is.True(got.header.Get(headerRetryAfterMS) != "")
}

// An agent that cannot call the control hosts must not report not-run for a request
// that ran.
func TestRetryIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
	reserved := a.proxy.bodyLimiter.total
	is.True(a.proxy.bodyLimiter.reserved.CompareAndSwap(0, reserved))
	checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "bodies-full")
	a.proxy.bodyLimiter.reserved.Add(-reserved)
	a.proxy.grantClient.pendingAcquires.Store(maxPendingGrants)
	checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grants-full")
	a.proxy.grantClient.pendingAcquires.Store(0)
	tc.control.set(controlDown)
	checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	tc.control.set(controlUp)
	var second callerResponse
	eventually(t, "replayed response", func() bool {
		second = tc.mustSend(t, "POST", "/run", "x", headerKey, "k1")
		return second.header.Get(headerOutcome) == "answered"
	})
	is.Equal(second.body, "ran x")
	is.Equal(second.header.Get(headerReplayed), "true")
	is.Equal(backend.runCount("k1"), 1)
}

// With an open circuit breaker, requests are refused without a call except probes.
func TestKnownQuorumLossFailsFast(t *testing.T) {
	for _, mode := range []controlMode{controlDown, controlLosesReplies} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			is := is.New(t)
			timing := testTiming()
			timing.grantProbeInterval = time.Hour // no probes during the test
			tc, a, backend := startSingleAgentWith(t, timing, nil)
			tc.control.set(mode)
			breaker := a.proxy.grantClient.breakers[0]
			eventually(t, "open circuit breaker", func() bool {
				_, _ = send(tc.client, "POST", tc.url("/run"), "x", headerKey, "first")
				return breaker.open()
			})
			breaker.allow() // uses up the probe
			acquireCount := tc.control.acquireCount("k1")
			checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
			is.Equal(tc.control.acquireCount("k1"), acquireCount) // refused without a call
			tc.control.set(controlUp)
			breaker.record(0, true) // simulates a reply
			is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
			is.Equal(backend.runCount("k1"), 1)
		})
	}
}

// An open circuit breaker of one grant group does not affect the keys of another.
func TestLostGroupRefusesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.grantProbeInterval = time.Hour // no probes during the test
	tc, a, _ := startSingleAgentWith(t, timing, nil)
	table := grant.NewSlotTable(2)
	tc.control.setTable(table.Digest(), table.Groups())
	is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, "learns the table").body, "ran x")
	keys := map[int]string{}
	for i := 0; len(keys) < table.Groups(); i++ {
		key := fmt.Sprint("k", i)
		keys[table.GroupOf(1, key)] = key
	}
	tc.control.set(controlLosesReplies) // stays connected
	eventually(t, "open circuit breaker", func() bool {
		_, _ = send(tc.client, "POST", tc.url("/run"), "x", headerKey, keys[0])
		return a.proxy.grantClient.breakers[0].open()
	})
	tc.control.set(controlUp)
	is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, keys[1]).body, "ran x")
}

func TestGrantWithLostReplyIsReleased(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	tc.control.set(controlLosesReplies) // the grant is given, but the reply is lost
	checkPriorAttemptUnknown(t, tc.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	tc.control.set(controlUp)
	eventually(t, "grant released", func() bool { return tc.control.record("k1") == nil })
	eventually(t, "closed circuit breaker", func() bool { return !a.proxy.grantClient.breakers[0].open() })
	is.Equal(tc.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
	is.Equal(backend.runCount("k1"), 1)
}

func TestResponseIsSentWhenRecordingFails(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	held := backend.startHeldRequest(t.Context(), t, tc, "POST", headerKey, "k1")
	tc.control.set(controlDown)
	close(backend.unblock)
	is.Equal((<-held.response).body, "held") // sent although recording failed
	tc.control.set(controlUp)
	eventually(t, "recorded in the background", func() bool { return tc.control.record("k1").GetAnswer() != nil })
	is.Equal(string(tc.control.record("k1").GetAnswer().GetBody()), "held")
}

// A caller that lost its connection gets the recorded response on a retry.
func TestLostConnectionDoesNotCancelRequest(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	held := backend.startHeldRequest(t.Context(), t, tc, "POST", headerKey, "k1")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start(ctx, tc.caller(), "POST", tc.url("/hold"), headerKey, "cancelled")
	eventually(t, "second running request", func() bool { return backend.running.Load() == 2 })
	must(t, tc.client.Transport.(*http3.Transport).Close())
	is.True(<-held.errs != nil)
	eventually(t, "lost connection", func() bool { return a.lostConnections() == 1 })
	// The second request is cancelled later, after the same connLossDelay. The first
	// one would have been cancelled before it.
	cancel()
	eventually(t, "second request cancelled", func() bool { return backend.running.Load() == 1 })
	is.Equal(backend.cancelled.Load(), int64(1))
	close(backend.unblock)
	eventually(t, "recorded response", func() bool { return tc.control.record("k1").GetAnswer() != nil })
	second := mustSend(t, tc.caller(), "POST", tc.url("/hold"), "", headerKey, "k1")
	is.Equal(second.body, "held")
	is.Equal(second.header.Get(headerReplayed), "true")
	is.Equal(backend.runCount("k1"), 1)
}

func TestCancelledRequestStops(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	ctx, cancel := context.WithCancel(t.Context())
	held := backend.startHeldRequest(ctx, t, tc, "POST", headerKey, "k1")
	cancel()
	is.True(<-held.errs != nil)
	eventually(t, "backend connection closed", func() bool { return backend.cancelled.Load() == 1 })
	second := tc.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(second.header.Get(headerReason), "held") // it may have run
	is.Equal(backend.runCount("k1"), 1)
}

func TestLargeResponseIsRecordedWithoutBody(t *testing.T) {
	// Too large to record, and too large to buffer.
	for _, size := range []int{grant.MaxBodyLength + 1, 200000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			tc, _, backend := startSingleAgent(t)
			url := tc.url(fmt.Sprintf("/large?size=%d", size))
			first := mustSend(t, tc.client, "GET", url, "", headerKey, "k1")
			is.Equal(len(first.body), size)
			eventually(t, "recorded response", func() bool { return tc.control.record("k1").GetAnswer().GetBodyOmitted() })
			is.Equal(len(tc.control.record("k1").GetAnswer().GetBody()), 0) // omitted by the agent
			second := mustSend(t, tc.client, "GET", url, "", headerKey, "k1")
			is.Equal(second.header.Get(headerOutcome), "unknown")
			is.Equal(second.header.Get(headerReason), "answer-omitted")
			is.Equal(backend.runCount("k1"), 1)
		})
	}
}

func TestErrorResponsesAreRecorded(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	for range 2 {
		got := tc.mustSend(t, "POST", "/status?code=500", "", headerKey, "k1")
		is.Equal(got.status, 500)
		is.Equal(got.header.Get(headerOutcome), "answered")
	}
	is.Equal(backend.runCount("k1"), 1)
}

func TestTooLongKeyIsRefused(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	long := make([]byte, maxKeyBytes+1)
	for i := range long {
		long[i] = 'k'
	}
	got := mustSend(t, tc.caller(), "POST", tc.url("/run"), "x", headerKey, string(long))
	is.Equal(got.status, http.StatusBadRequest)
	is.Equal(got.header.Get(headerReason), "key-invalid")
	is.Equal(backend.runCount(string(long)), 0)
}

func TestGrantDecisions(t *testing.T) {
	cases := []struct {
		decision grantpb.Decision
		reason   string
		outcome  string
		again    bool
	}{
		{grantpb.Decision_DECISION_HELD, "held", "unknown", true},
		{grantpb.Decision_DECISION_MISMATCH, "key-mismatch", "not-run", false},
		{grantpb.Decision_DECISION_FULL, "keys-full", "not-run", true},
		{grantpb.Decision_DECISION_RELEASED, "grant-unavailable", "unknown", true},
		{grantpb.Decision_DECISION_UNSPECIFIED, "grant-unavailable", "unknown", true},
	}
	for _, c := range cases {
		t.Run(c.decision.String(), func(t *testing.T) {
			is := is.New(t)
			gc := &grantClient{}
			got := gc.decide(&keyGrant{}, &grantpb.Result{Decision: c.decision})
			is.True(got.keyGrant == nil)
			is.Equal(got.refusal.reason.String(), c.reason)
			is.Equal(got.refusal.outcome.String(), c.outcome)
			is.Equal(got.refusal.retryable(), c.again)
		})
	}
}
