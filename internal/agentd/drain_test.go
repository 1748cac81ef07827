package agentd

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

func TestShutdownWaitsForWatch(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	second := newFakeBackend(t)
	b := tc.startAgent("t2", second.server.URL)
	tc.entry.setRoute(a.FrameAddr(), b.FrameAddr())

	a.stop()
	eventually(t, "draining announced", func() bool {
		return a.published.last().GetState() == controlpb.TargetState_TARGET_STATE_DRAINING
	})
	// The caller's next requests use a new connection, which the draining agent
	// redirects.
	awaitRequestsAt(t, tc, b)
	before := second.runCount("")
	for range 3 {
		got := tc.mustSend(t, "GET", "/echo?text=x", "")
		is.Equal(got.body, "x")
		is.Equal(got.header.Get(headerTarget), b.dataPlane.Load().self.String())
	}
	is.True(a.counter("flows_handed_on", "leaving") >= 1)
	number := a.dataPlane.Load().self.number
	is.True(tc.entry.reportCount(number) >= 1) // otherwise it would look unresponsive
	is.True(tc.entry.reportedDraining(number))
	// The watch stays open beyond minDrainTime.
	for range 5 {
		a.advance(t, a.timing.minDrainTime)
		backend.events <- "still open"
		is.Equal(session.line(t), "still open")
	}
	select {
	case err := <-a.done:
		t.Fatalf("agent ended with a session open: %v", err)
	default:
	}
	is.Equal(backend.cancelled.Load(), int64(0))
	session.close()
	a.waitDone(t)
	is.Equal(second.runCount("")-before, 3)
}

// awaitRequestsAt waits until requests of the first caller reach another agent. A
// request sent before the GOAWAY arrives still runs at the draining agent.
func awaitRequestsAt(t *testing.T, tc *testCluster, other *agent) {
	t.Helper()
	eventually(t, "requests at the other target", func() bool {
		got := tc.mustSend(t, "GET", "/echo", "")
		return got.header.Get(headerTarget) == other.dataPlane.Load().self.String()
	})
}

func TestShutdownWithoutSessionsEnds(t *testing.T) {
	_, a, _ := startSingleAgent(t)
	a.stop()
	a.waitDone(t)
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	var held []inFlight
	for range 4 {
		held = append(held, start(t.Context(), tc.client, "GET", tc.url("/hold")))
	}
	eventually(t, "running requests", func() bool { return backend.running.Load() == 4 })
	a.stop()
	a.advance(t, 2*a.timing.minDrainTime)
	close(backend.unblock)
	for _, f := range held {
		is.Equal((<-f.response).body, "held")
	}
	a.waitDone(t)
}

// Callers of a stopping agent stay until its successor serves, so that other targets
// need not take their load.
func TestCallersStayUntilSuccessorServes(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	backend := newFakeBackend(t)
	timing := testTiming()
	timing.successorTimeout = time.Hour // longer than the test
	old := tc.startAgentWith("t1", backend.server.URL, timing, nil)
	other := tc.startAgent("t2", newFakeBackend(t).server.URL)
	tc.entry.setRoute(old.FrameAddr(), other.FrameAddr())
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
	old.stop()
	eventually(t, "draining announced", func() bool {
		return old.published.last().GetState() == controlpb.TargetState_TARGET_STATE_DRAINING
	})
	for range 10 {
		old.advance(t, old.timing.housekeepingInterval)
		got := tc.mustSend(t, "GET", "/echo?text=x", "")
		is.Equal(got.header.Get(headerTarget), old.dataPlane.Load().self.String())
	}
	next := tc.startAgent("t1", backend.server.URL)
	tc.entry.setRoute(next.FrameAddr(), "")
	tc.targets.set(next.published.last())
	awaitRequestsAt(t, tc, next)
	old.waitDone(t)
}

// In a rolling replacement a new process of the target serves while the old one still
// has sessions.
func TestOldAndNewProcessOverlap(t *testing.T) {
	is := is.New(t)
	tc, old, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	old.stop()
	eventually(t, "end of the handshake grace", old.handshakeGraceExpired) // until then it accepts flows
	next := tc.startAgent("t1", backend.server.URL)
	tc.targets.set(next.published.last())
	is.Equal(next.dataPlane.Load().self.String(), "t1/1/2") // the same target, a new incarnation
	tc.entry.setRoute(old.FrameAddr(), "")                  // an entry host with an outdated view
	got := mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "")
	is.Equal(got.header.Get(headerTarget), "t1/1/2")
	awaitRequestsAt(t, tc, next)
	got = tc.mustSend(t, "GET", "/echo?text=x", "")
	is.Equal(got.header.Get(headerTarget), "t1/1/2")
	backend.events <- "from the old process"
	is.Equal(session.line(t), "from the old process")
	session.close()
	old.waitDone(t)
	got = tc.mustSend(t, "GET", "/echo?text=y", "")
	is.Equal(got.body, "y")
}

func TestDrainingBackendGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	second := newFakeBackend(t)
	b := tc.startAgent("t2", second.server.URL)
	tc.targets.set(b.published.last())
	a.announceState(t, "t1", backend.server.URL, "draining")
	awaitRequestsAt(t, tc, b)
	before := backend.runCount("")
	for range 5 {
		got := tc.mustSend(t, "GET", "/echo?text=x", "")
		is.Equal(got.header.Get(headerTarget), b.dataPlane.Load().self.String())
	}
	is.Equal(backend.runCount(""), before)
	backend.events <- "still open"
	is.Equal(session.line(t), "still open")
	is.True(tc.entry.reportedDraining(a.dataPlane.Load().self.number)) // reported in every reply
	session.close()
	// After it serves again, the same process accepts new flows.
	a.announceState(t, "t1", backend.server.URL, "serving")
	eventually(t, "serving", a.serving)
	got := mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "")
	is.Equal(got.header.Get(headerTarget), "t1/1/1")
}

func TestExpiredAnnouncementKeepsEstablishedFlows(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.announceLease = 200 * time.Millisecond
	tc, a, _ := startSingleAgentWith(t, timing, nil)
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
	eventually(t, "draining", func() bool { return !a.serving() })
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
}

func TestDrainingWithoutAlternateRefuses(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.caller(), tc.url("/watch"))
	defer session.close()
	a.stop()
	eventually(t, "end of the handshake grace", a.handshakeGraceExpired)
	_, err := send(tc.caller(), "GET", tc.url("/echo"), "")
	is.True(err != nil) // refused, not left pending
	is.True(a.counter("flows_handed_on", "refused") >= 1)
	is.True(a.counter("flows_handed_on", "no-alternate") >= 1)
	is.Equal(backend.runCount(""), 0)
}

func TestNewProcessWaitsForTheAnnouncementAddress(t *testing.T) {
	is := is.New(t)
	tc, old, backend := startSingleAgent(t)
	address := old.AnnounceAddr()
	next := tc.launch("t1", testTiming(), func(s *settingspb.Agent) { s.AnnounceListen = address })
	is.Equal(mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "").status, http.StatusOK)
	is.Equal(next.AnnounceAddr(), "") // the old process holds it
	old.stop()
	<-next.Ready()
	is.Equal(next.AnnounceAddr(), address)
	next.announceState(t, "t1", backend.server.URL, "serving")
	eventually(t, "registration", next.serving)
}

// A replaced backend server announces draining until its last watch ends. This must
// not affect the state of its successor.
func TestDrainingPredecessorIsIgnored(t *testing.T) {
	is := is.New(t)
	_, a, backend := startSingleAgent(t)
	state := func(want controlpb.TargetState) func() bool {
		return func() bool { return a.published.last().GetState() == want }
	}
	a.announceState(t, "t1", backend.server.URL, "draining")
	eventually(t, "draining published", state(controlpb.TargetState_TARGET_STATE_DRAINING))
	second := newFakeBackend(t)
	a.announceState(t, "t1", second.server.URL, "serving")
	eventually(t, "serving published", state(controlpb.TargetState_TARGET_STATE_SERVING))
	began := a.backend.snapshot(a.clock.now()).startTime

	a.advance(t, a.timing.announceLease/2)
	a.announceState(t, "t1", backend.server.URL, "draining")
	is.Equal(a.backend.get().URL, second.server.URL)
	got := a.backend.snapshot(a.clock.now())
	is.True(!got.draining)
	a.announceState(t, "t1", second.server.URL, "serving")
	is.Equal(a.backend.snapshot(a.clock.now()).startTime, began) // no new cold start
	a.announceState(t, "t1", second.server.URL, "draining")
	is.True(a.backend.snapshot(a.clock.now()).draining) // its own announcement counts
}
