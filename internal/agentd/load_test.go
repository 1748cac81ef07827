package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

func TestGateTellsTheMeanOfATime(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	from := gateFigures{spent: 3 * time.Second, at: began, running: 1}
	to := gateFigures{spent: 5 * time.Second, at: began.Add(500 * time.Millisecond), running: 2, waiting: 1}
	requests, over := to.since(from)
	is.Equal(requests, 4.0)
	is.Equal(over, 500*time.Millisecond)
	requests, over = to.since(to)
	is.Equal(requests, 3.0) // no time between: those of the moment
	is.Equal(over, time.Duration(0))
}

func TestGateAddsUpRunningAndWaiting(t *testing.T) {
	is := is.New(t)
	g := newGate(admission.Limits{Slots: 1, Queue: 1, MaxWait: time.Minute})
	before := g.figures()
	is.Equal(g.enter(t.Context(), time.Minute).Action, admission.Admitted)
	_, w := g.arrive(time.Minute)
	is.True(w != nil)
	g.mu.Lock()
	g.changed = g.changed.Add(-time.Hour) // as if an hour had passed
	g.mu.Unlock()
	grown := g.figures().spent - before.spent
	is.True(grown >= 2*time.Hour)
	g.leave(0)
	g.leave(0)
	is.Equal(g.figures().running+g.figures().waiting, 0)
}

func TestLoadCountsTheFlowsOfTheMoment(t *testing.T) {
	is := is.New(t)
	b := loadBasis{Requests: 1, Slots: 4, ReportedRunning: -1, FlowCapacity: 100}
	is.Equal(b.load(0), uint16(250))
	is.Equal(b.load(50), uint16(750))
}

// Flows with a watch bring hardly any requests and do not count.
func TestWatchedFlowsAreNoLoad(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	backend.events <- "first"
	is.Equal(mustSend(t, w.caller(), "GET", w.url("/echo?text=x"), "").status, 200)
	one := a.plane.Load()
	eventually(t, "a working flow", func() bool { return one.workingFlows() == 1 })
	watching := w.caller()
	go func() { _, _ = send(watching, "GET", w.url("/watch"), "", "Accept", eventStream) }()
	eventually(t, "a watch", func() bool { return a.proxy.watches.Load() == 1 })
	eventually(t, "two flows", func() bool { return one.sessions.count() == 2 })
	is.Equal(one.workingFlows(), 1)
}

// Flows far above the capacity show in the load, by which entry hosts choose;
// for them alone no first packet is handed on.
func TestFlowsAreNoReasonToHandOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.startAgentWith("t1", newFakeBackend(t).server.URL, testTiming(), func(s *settingspb.Agent) { s.FlowCapacity = 1 })
	w.entry.choose(a.FrameAddr(), "127.0.0.1:9") // an alternate that nobody listens at
	for range 4 {
		is.Equal(mustSend(t, w.caller(), "GET", w.url("/echo?text=x"), "").status, 200)
	}
	one := a.plane.Load()
	eventually(t, "four flows", func() bool { return one.workingFlows() == 4 })
	is.True(one.current().load > 2*loadedFrom)
	is.True(one.current().present < loadedFrom)
	is.Equal(a.counter("flows_handed_on", ""), int64(0))
}
