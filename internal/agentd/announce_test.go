package agentd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/health"
)

func TestReadAnnouncement(t *testing.T) {
	good := `{"service":"lodgement","target":"t1","url":"http://127.0.0.1:80","state":"serving"}`
	cases := []struct {
		name, old, new string
		ok             bool
	}{
		{"good", "", "", true},
		{"no JSON", `{"service"`, `"service"`, false},
		{"no service", "lodgement", "", false},
		{"no target", "t1", "", false},
		{"https", "http://", "https://", false},
		{"no host", "127.0.0.1:80", "", false},
		{"state", "serving", "dead", false},
		{"path", `"state"`, `"health_path":"health","state"`, false},
		{"age", `"state"`, `"age_ms":18446744073709551615,"state"`, true},
		{"negative age", `"state"`, `"age_ms":-1,"state"`, false},
		{"watch path", `"state"`, `"watch_paths":["w"],"state"`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAnnouncement(strings.NewReader(strings.Replace(good, c.old, c.new, 1)))
			is.Equal(err == nil, c.ok)
		})
	}
}

func TestAnnouncementForAnotherTargetIsRefused(t *testing.T) {
	is := is.New(t)
	_, a, backend := startSingleAgent(t)
	ann := announcement{Service: testService, Target: "t1", URL: backend.server.URL, State: backendServing}
	is.Equal(a.announceRaw(t, ann), http.StatusOK)
	ann.Target = "t2"
	is.Equal(a.announceRaw(t, ann), http.StatusConflict)
	ann.Target = "t1"
	ann.Service = "certificates"
	is.Equal(a.announceRaw(t, ann), http.StatusConflict) // the certificate is for another service
	ann.State = "dead"
	is.Equal(a.announceRaw(t, ann), http.StatusBadRequest)
}

func TestAnnouncementsFromOtherHostsAreRefused(t *testing.T) {
	is := is.New(t)
	_, a, _ := startSingleAgent(t)
	request := httptest.NewRequest("POST", "/announce", strings.NewReader("{}"))
	request.RemoteAddr = "192.0.2.1:1"
	recorder := httptest.NewRecorder()
	a.announceHandler().ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusForbidden)
}

func TestBackendSlotsAndRestart(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	is.Equal(a.published.last().GetSlots(), uint32(4))
	tc.targets.mu.Lock()
	tc.targets.service = &configpb.Service{Number: 1, Slots: 2}
	tc.targets.mu.Unlock()
	eventually(t, "smaller number of slots", func() bool { return a.published.last().GetSlots() == 2 })
	second := newFakeBackend(t)
	a.announceState(t, "t1", second.server.URL, "serving")
	eventually(t, "restart announced", func() bool {
		a.published.mu.Lock()
		defer a.published.mu.Unlock()
		return a.published.restarts == 1
	})
	is.Equal(mustSend(t, tc.caller(), "GET", tc.url("/echo?text=x"), "").body, "x")
	is.Equal(backend.runCount(""), 0)
	is.Equal(second.runCount(""), 1)
}

// Observed requests override whatever the health and load endpoints report.
func TestWrongEndpointReportsAreOverridden(t *testing.T) {
	reports := map[string]http.HandlerFunc{
		"always unhealthy": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"always healthy":   func(http.ResponseWriter, *http.Request) {},
		"hanging":          func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, a, backend := startSingleAgent(t)
			mux := http.NewServeMux()
			mux.HandleFunc("/health", report)
			mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"running":4}`)) })
			mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { backend.server.Config.Handler.ServeHTTP(rw, r) })
			faulty := httptest.NewServer(mux)
			t.Cleanup(faulty.Close)
			a.announceRaw(t, announcement{
				Service: testService, Target: "t1", URL: faulty.URL, State: backendServing,
				HealthPath: "/health", LoadPath: "/load",
			})
			eventually(t, "load report", func() bool { _, running := a.health.verdict(); return running == 4 })
			for range health.MinSamples {
				is.Equal(w.mustSend(t, "GET", "/echo?text=x", "").body, "x")
			}
			eventually(t, "healthy verdict", func() bool { return !a.dataPlane.Load().currentState().unhealthy })
			// At most a quarter of the slots for the report, plus the flows.
			eventually(t, "load close to the observed load", func() bool { return a.dataPlane.Load().currentState().load <= 260 })
			for range 2 * health.MinSamples {
				w.mustSend(t, "GET", "/status?code=500", "")
			}
			eventually(t, "unhealthy verdict", func() bool { return a.dataPlane.Load().currentState().unhealthy })
		})
	}
}

// New requests of a caller move away from a failing target. Its open watch stays.
func TestUnhealthyTargetSendsCallersAway(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	session := openWatch(t, tc.client, tc.url("/watch"))
	b := tc.startAgent("t2", newFakeBackend(t).server.URL)
	c := tc.startAgent("t3", newFakeBackend(t).server.URL)
	tc.targets.set(a.published.last(), b.published.last(), c.published.last())
	tc.entry.setRoute(a.FrameAddr(), b.FrameAddr())
	for range 2 * health.MinSamples {
		got := tc.mustSend(t, "GET", "/status?code=500", "")
		if got.header.Get(headerTarget) == b.dataPlane.Load().self.String() {
			break
		}
	}
	awaitRequestsAt(t, tc, b)
	is.True(a.dataPlane.Load().currentState().unhealthy)
	backend.events <- "still open"
	is.Equal(session.line(t), "still open")
	is.Equal(backend.cancelled.Load(), int64(0))
	session.close()
}

func TestPollReadsBothEndpoints(t *testing.T) {
	cases := []struct {
		name    string
		health  http.HandlerFunc
		load    string
		want    health.Report
		running int
	}{
		{"healthy", func(http.ResponseWriter, *http.Request) {}, `{"running":3,"slots":4}`, health.ReportHealthy, 3},
		{"unhealthy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, `{"running":-3}`, health.ReportUnhealthy, -1},
		{"hanging", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, `{`, health.ReportNoResponse, -1},
		{"no value", func(http.ResponseWriter, *http.Request) {}, `{}`, health.ReportHealthy, -1},
		{"out of range", func(http.ResponseWriter, *http.Request) {}, `{"running":99999999999}`, health.ReportHealthy, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			mux := http.NewServeMux()
			mux.HandleFunc("/health", c.health)
			mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.load)) })
			server := httptest.NewServer(mux)
			defer server.Close()
			p := newPoller(&backendTracker{}, newHealthState(newClock()), 200*time.Millisecond)
			is.Equal(p.pollHealth(t.Context(), server.URL+"/health"), c.want)
			is.Equal(p.pollLoad(t.Context(), server.URL+"/load"), c.running)
		})
	}
}
