package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// A shed request does not wait for the release of its grant.
func TestShedRequestDoesNotWaitForRelease(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.completeTimeout = time.Minute // longer than the test
	tc, _, backend := startSingleAgentWith(t, timing, func(s *settingspb.Agent) { s.QueueMs = 1000 })
	const slots = 4
	var held []inFlight
	for range slots {
		held = append(held, start(t.Context(), tc.client, "POST", tc.url("/hold")))
	}
	eventually(t, "slots in use", func() bool { return backend.running.Load() == slots })
	shed := start(t.Context(), tc.client, "POST", tc.url("/run"), headerKey, "k1")
	eventually(t, "grant", func() bool { return tc.control.record("k1") != nil })
	tc.control.set(controlLosesReplies)
	is.Equal((<-shed.response).header.Get(headerOutcome), "not-run")
	eventually(t, "released grant", func() bool { return tc.control.record("k1") == nil })
	tc.control.set(controlUp)
	close(backend.unblock)
	for _, f := range held {
		is.Equal((<-f.response).body, "held")
	}
}

// The slot is released when the response is complete, before it is recorded.
func TestSlotIsReleasedBeforeResponseIsRecorded(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.completeTimeout = time.Minute // longer than the test
	tc, a, backend := startSingleAgentWith(t, timing, nil)
	held := backend.startHeldRequest(t.Context(), t, tc, "POST", headerKey, "k1")
	is.Equal(a.limiter.snapshot().running, 1)
	tc.control.set(controlLosesReplies)
	close(backend.unblock)
	eventually(t, "released slot", func() bool { return a.limiter.snapshot().running == 0 })
	is.Equal(len(held.response), 0) // the response is sent after it is recorded
	tc.control.set(controlUp)
	is.Equal((<-held.response).body, "held")
}
