package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// startStallableAgent starts an agent with a long announcement lease. stallAgent
// simulates a stall.
func startStallableAgent(t *testing.T) (tc *testCluster, a *agent, backend *fakeBackend, stallAgent func()) {
	t.Helper()
	timing := testTiming()
	timing.announceLease = time.Hour
	tc, a, backend = startSingleAgentWith(t, timing, nil)
	return tc, a, backend, func() { a.clockOffset.Add(int64(timing.stallThreshold) + 1) }
}

// A request with a key that may have been sent before the end of a stall does not run.
func TestRequestsQueuedDuringStallDoNotRun(t *testing.T) {
	is := is.New(t)
	tc, a, backend, stallAgent := startStallableAgent(t)
	client := tc.caller()
	is.Equal(mustSend(t, client, "POST", tc.url("/run"), "x", headerKey, "k0").body, "ran x")
	stallAgent()
	checkPriorAttemptUnknown(t, mustSend(t, client, "POST", tc.url("/run"), "x", headerKey, "k1"), "agent-stalled")
	is.Equal(tc.control.acquireCount("k1"), 0)
	is.Equal(backend.runCount("k1"), 0)
	is.Equal(mustSend(t, client, "GET", tc.url("/echo?text=y"), "").body, "y") // without a key
	// Requests on a new connection were sent after the stall.
	is.Equal(mustSend(t, tc.caller(), "POST", tc.url("/run"), "x", headerKey, "k1").body, "ran x")
	a.clockOffset.Add(int64(a.timing.stallGrace))
	is.Equal(mustSend(t, client, "POST", tc.url("/run"), "x", headerKey, "k2").body, "ran x")
	is.Equal(a.counter("standstills", ""), int64(1))
	is.Equal(a.counter("requests_unknown", "agent-stalled"), int64(1))
}

// A stall may also delay the call for a grant. A grant is then released, and a refusal
// may be outdated.
func TestGrantDelayedByStallIsReleased(t *testing.T) {
	is := is.New(t)
	tc, _, backend, stallAgent := startStallableAgent(t)
	client := tc.caller()
	is.Equal(mustSend(t, client, "POST", tc.url("/run"), "x", headerKey, "k2").body, "ran x")
	tc.control.setBeforeCommand(func(command *grantpb.Command) {
		if command.GetAcquire() != nil {
			stallAgent()
		}
	})
	checkPriorAttemptUnknown(t, mustSend(t, client, "POST", tc.url("/run"), "x", headerKey, "k1"), "agent-stalled")
	is.True(tc.control.acquireCount("k1") > 0)
	is.Equal(backend.runCount("k1"), 0)
	eventually(t, "released grant", func() bool { return tc.control.record("k1") == nil })
	checkPriorAttemptUnknown(t, mustSend(t, tc.caller(), "POST", tc.url("/run"), "another", headerKey, "k2"), "agent-stalled")
}

// setBeforeCommand sets what is called before a command is applied.
func (f *fakeControl) setBeforeCommand(call func(*grantpb.Command)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeCommand = call
}
