package agentd

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// startSingleAgent returns a cluster with one agent and a fake backend server.
func startSingleAgent(t *testing.T) (*testCluster, *agent, *fakeBackend) {
	t.Helper()
	return startSingleAgentWith(t, testTiming(), nil)
}

// startSingleAgentWith is startSingleAgent with other timing and settings.
func startSingleAgentWith(t *testing.T, timing timing, change func(*settingspb.Agent)) (*testCluster, *agent, *fakeBackend) {
	t.Helper()
	tc := newTestCluster(t)
	backend := newFakeBackend(t)
	a := tc.startAgentWith("t1", backend.server.URL, timing, change)
	tc.entry.setRoute(a.FrameAddr(), "")
	return tc, a, backend
}

func TestBrokenResponsesAreNotForwardedAsComplete(t *testing.T) {
	tc, a, backend := startSingleAgent(t)
	refused := []struct {
		path, reason string
	}{
		{"/cut?size=100", "answer-truncated"},
		{"/crossed", "answer-crossed"},
		{"/undelimited", "answer-undelimited"},
		{"/reset", "backend-reset"},
	}
	for _, c := range refused {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			got := tc.mustSend(t, "GET", c.path, "")
			checkRefused(t, got, http.StatusBadGateway, "unknown", c.reason)
			is.Equal(got.header.Get(headerRetryAfter), "")
			is.Equal(a.counter("requests_unknown", c.reason), int64(1))
		})
	}
	for _, path := range []string{"/cut?size=200000", "/cut?size=100&chunked=1", "/cut?size=200000&chunked=1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			_, err := send(tc.client, "GET", tc.url(path), "")
			is.True(err != nil) // the stream is reset
		})
	}
	is := is.New(t)
	is.Equal(backend.runCount(""), len(refused)+3) // none was retried
}

func TestStrayResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	tc, _, _ := startSingleAgent(t)
	for range 5 {
		is.Equal(tc.mustSend(t, "GET", "/twice", "").body, "first")
		is.Equal(tc.mustSend(t, "GET", "/echo?text=own", "").body, "own")
	}
}

func TestConcurrentResponsesAreNotMixedUp(t *testing.T) {
	is := is.New(t)
	tc, _, _ := startSingleAgent(t)
	var wait sync.WaitGroup
	wrong := make(chan string, 200)
	for n := range 200 {
		wait.Go(func() {
			text := strings.Repeat(string(rune('a'+n%26)), n+1)
			got, err := send(tc.client, "POST", tc.url("/echo"), text)
			if err != nil || (got.status == http.StatusOK && got.body != text) {
				wrong <- got.body
			}
		})
	}
	wait.Wait()
	is.Equal(len(wrong), 0)
}

func TestDeadlineExpires(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	got := tc.mustSend(t, "GET", "/hold", "", headerTimeout, "100")
	checkRefused(t, got, http.StatusGatewayTimeout, "unknown", "deadline")
	eventually(t, "backend connection closed", func() bool { return backend.cancelled.Load() == 1 })
	for _, bad := range []string{"0", "-1", "soon"} {
		got = tc.mustSend(t, "GET", "/echo", "", headerTimeout, bad)
		is.Equal(got.header.Get(headerReason), "request-invalid")
		is.Equal(got.header.Get(headerOutcome), "not-run")
	}
}

func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	ctx, cancel := context.WithCancel(context.Background())
	held := backend.startHeldRequest(ctx, t, tc, "GET")
	cancel()
	is.True(<-held.errs != nil)
	eventually(t, "backend connection closed", func() bool { return backend.cancelled.Load() == 1 })
	eventually(t, "released slot", func() bool { return a.limiter.snapshot().running == 0 })
}

func TestOverloadIsShed(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	var wait sync.WaitGroup
	defer wait.Wait()
	for range 4 {
		wait.Go(func() { _, _ = send(tc.client, "GET", tc.url("/hold"), "") })
	}
	eventually(t, "slots in use", func() bool { return backend.running.Load() == 4 })
	got := tc.mustSend(t, "GET", "/echo", "")
	checkRefused(t, got, http.StatusServiceUnavailable, "not-run", "wait-too-long")
	is.True(got.header.Get(headerRetryAfter) != "")
	is.Equal(a.counter("requests_refused", "wait-too-long"), int64(1))
	is.Equal(backend.runCount(""), 4) // it never reached the backend server
	close(backend.unblock)
}

func TestNotRunIsRetriedThenRefused(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	backend.refuseNext.Store(2)
	got := tc.mustSend(t, "GET", "/echo?text=x", "")
	is.Equal(got.body, "x") // the third attempt ran
	is.Equal(a.counter("retries", "refused"), int64(2))
	backend.refuseNext.Store(3)
	got = tc.mustSend(t, "GET", "/echo?text=x", "")
	checkRefused(t, got, http.StatusServiceUnavailable, "not-run", "backend-refused")
	is.True(got.header.Get(headerRetryAfter) >= "3") // as requested by the backend server
	is.Equal(a.counter("retries", "attempts-spent"), int64(1))
	is.Equal(backend.runCount(""), 1)
}

func TestRetryBudgetIsShared(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	backend.refuseNext.Store(1 << 30)
	for range 20 {
		tc.mustSend(t, "GET", "/echo", "")
	}
	retries := a.counter("retries", "refused")
	is.True(retries <= 5+20/10) // reserve and a tenth of the requests
	is.True(a.counter("retries", "budget-spent") >= 13)
}

func TestUnreachableBackend(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgent(t)
	backend.server.Close()
	got := tc.mustSend(t, "POST", "/run", "x")
	checkRefused(t, got, http.StatusServiceUnavailable, "not-run", "backend-unreachable")
	is.True(got.header.Get(headerRetryAfter) != "")
	is.True(a.counter("retries", "connect") >= 1)
	for range 3 {
		tc.mustSend(t, "GET", "/echo", "")
	}
	eventually(t, "unhealthy verdict", func() bool { return a.published.last().GetIll() })
}

func TestRequestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	tc, a, _ := startSingleAgentWith(t, testTiming(), func(s *settingspb.Agent) { s.MaxRequestBytes = 1000 })
	is.Equal(tc.mustSend(t, "POST", "/echo", strings.Repeat("b", 1000)).status, http.StatusOK)
	got := tc.mustSend(t, "POST", "/echo", strings.Repeat("b", 1001))
	checkRefused(t, got, http.StatusRequestEntityTooLarge, "not-run", "request-too-large")
	is.Equal(got.header.Get(headerRetryAfter), "") // the same request never fits
	unsized, err := http.NewRequest("POST", tc.url("/echo"), io.MultiReader(strings.NewReader(strings.Repeat("b", 1001))))
	is.NoErr(err)
	res, err := tc.client.Do(unsized)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	is.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
	eventually(t, "released body bytes", func() bool { return a.proxy.bodyLimiter.reserved.Load() == 0 })
}

func TestWatchUsesNoSlotAndNoDefaultDeadline(t *testing.T) {
	is := is.New(t)
	tc, a, backend := startSingleAgentWith(t, testTiming(), func(s *settingspb.Agent) { s.DefaultDeadlineMs = 2000 })
	for range 6 { // more than there are slots
		watch := openWatch(t, tc.client, tc.url("/watch"))
		defer watch.close()
	}
	is.Equal(a.limiter.snapshot().running, 0)
	is.Equal(tc.mustSend(t, "GET", "/echo?text=x", "").body, "x")
	// A later request reaches the default deadline, so the watches have passed it.
	held := tc.mustSend(t, "GET", "/hold", "")
	is.Equal(held.header.Get(headerReason), "deadline")
	eventually(t, "cancelled request at the backend server", func() bool { return backend.running.Load() == 0 })
	is.Equal(backend.cancelled.Load(), int64(1)) // only that request
	backend.events <- "late"
	eventually(t, "event read by a watch", func() bool { return len(backend.events) == 0 })
}

// watch is an open watch session.
type watch struct {
	res    *http.Response
	cancel context.CancelFunc
}

func openWatch(t *testing.T, client *http.Client, url string) *watch {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	must(t, err)
	res, err := client.Do(req)
	must(t, err)
	if res.StatusCode != http.StatusOK {
		t.Fatalf("watch status %d, header %v", res.StatusCode, res.Header)
	}
	return &watch{res: res, cancel: cancel}
}

// line reads the next line of the response.
func (w *watch) line(t *testing.T) string {
	t.Helper()
	var line []byte
	var b [1]byte
	for {
		if _, err := w.res.Body.Read(b[:]); err != nil {
			t.Fatalf("watch ended: %v", err)
		}
		if b[0] == '\n' {
			return string(line)
		}
		line = append(line, b[0])
	}
}

func (w *watch) close() {
	w.cancel()
	_ = w.res.Body.Close()
}
