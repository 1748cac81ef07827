package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

func TestLimiterMeanSince(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	from := limiterSnapshot{busyTime: 3 * time.Second, takenAt: began, running: 1}
	to := limiterSnapshot{busyTime: 5 * time.Second, takenAt: began.Add(500 * time.Millisecond), running: 2, waiting: 1}
	requests, over := to.meanSince(from)
	is.Equal(requests, 4.0)
	is.Equal(over, 500*time.Millisecond)
	requests, over = to.meanSince(to)
	is.Equal(requests, 3.0) // without time in between: the current number
	is.Equal(over, time.Duration(0))
}

func TestLimiterBusyTime(t *testing.T) {
	is := is.New(t)
	l := newLimiter(admission.Limits{Slots: 1, Queue: 1, MaxWait: time.Minute})
	before := l.snapshot()
	is.Equal(l.acquire(t.Context(), time.Minute).Action, admission.Admitted)
	_, w := l.admit(time.Minute)
	is.True(w != nil)
	l.mu.Lock()
	l.lastChange = l.lastChange.Add(-time.Hour) // simulates an hour
	l.mu.Unlock()
	increase := l.snapshot().busyTime - before.busyTime
	is.True(increase >= 2*time.Hour)
	l.release(0)
	l.release(0)
	is.Equal(l.snapshot().running+l.snapshot().waiting, 0)
}

func TestLoadCountsCurrentFlows(t *testing.T) {
	is := is.New(t)
	b := loadInput{Requests: 1, Slots: 4, ReportedRunning: -1, FlowCapacity: 100}
	is.Equal(b.load(0), uint16(250))
	is.Equal(b.load(50), uint16(750))
}

func TestWatchFlowsDoNotCountAsLoad(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	backend.events <- "first"
	is.Equal(mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "").status, 200)
	p := a.dataPlane.Load()
	eventually(t, "a flow without a watch", func() bool { return p.nonWatchFlows() == 1 })
	watching := tc.caller()
	go func() { _, _ = send(watching, "GET", tc.url("/watch"), "", "Accept", eventStreamType) }()
	eventually(t, "a watch", func() bool { return a.proxy.watches.Load() == 1 })
	eventually(t, "two flows", func() bool { return p.sessions.count() == 2 })
	is.Equal(p.nonWatchFlows(), 1)
}

// Flows beyond the capacity count for the reported load, but do not cause redirects.
func TestFlowsAloneDoNotRedirect(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	a := tc.startAgentWith("t1", newFakeBackend(t).server.URL, testTiming(), func(s *settingspb.Agent) { s.FlowCapacity = 1 })
	tc.entry.setRoute(a.FrameAddr(), "127.0.0.1:9") // an alternate without a listener
	for range 4 {
		is.Equal(mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "").status, 200)
	}
	p := a.dataPlane.Load()
	eventually(t, "four flows", func() bool { return p.nonWatchFlows() == 4 })
	is.True(p.currentState().load > 2*overloadThreshold)
	is.True(p.currentState().currentLoad < overloadThreshold)
	is.Equal(a.counter("flows_handed_on", ""), int64(0))
}
