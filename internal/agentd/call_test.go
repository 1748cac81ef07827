package agentd

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

func TestIsWatch(t *testing.T) {
	cases := []struct {
		method, path, accept string
		watch                bool
	}{
		{"GET", "/watch", "", true},
		{"GET", "/watch/mine", "", true},
		{"GET", "/watchmen", "", false},
		{"POST", "/watch", "", false},
		{"GET", "/other", "text/event-stream", true},
		{"GET", "/other", "text/plain", false},
	}
	for _, c := range cases {
		is := is.New(t)
		r := httptest.NewRequest(c.method, c.path, nil)
		r.Header.Set("Accept", c.accept)
		is.Equal(isWatch(r, []string{"/watch"}), c.watch)
	}
}

// After a stall, timers fire late. The deadline must be checked against the clock.
func TestExpiredRequestDoesNotRunAfterStall(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t)
	base, err := url.Parse(backend.server.URL)
	is.NoErr(err)
	p := &proxy{
		counters: newCounters(tally.NoopScope), health: newHealthState(newClock()),
		transport: newBackendTransport(), budget: retry.NewBudget(10, 5),
	}
	c, why := newCall(httptest.NewRequest("GET", "/echo", nil), nil, time.Minute)
	is.Equal(why, reason.None)
	defer c.end()
	c.timer.Stop() // simulates a late timer
	c.deadline = time.Now().Add(-time.Millisecond)
	res := p.attemptWithRetries(c, backendView{url: base})
	is.Equal(res.outcome, retry.NotRun)
	is.Equal(res.reason, reason.DeadlineInQueue)
	is.Equal(backend.runCount(""), 0)
}

func TestEachRequestHasItsOwnConnection(t *testing.T) {
	is := is.New(t)
	var opened, keptAlive atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if !r.Close {
			keptAlive.Add(1)
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	base, err := url.Parse(server.URL)
	is.NoErr(err)
	transport := newBackendTransport()
	for range 5 {
		c, _ := newCall(httptest.NewRequest("GET", "/", nil), nil, time.Minute)
		res := attempt(transport, base, c, "t1/1/1")
		_, _, err := readPrefix(res.exchange.response, maxRecordBytes) // to its end, so that the connection could be reused
		is.NoErr(err)
		c.end()
	}
	is.Equal(opened.Load(), int64(5))
	is.Equal(keptAlive.Load(), int64(0)) // requests carry Connection: close
}

func TestForwardedHeaders(t *testing.T) {
	is := is.New(t)
	from := http.Header{
		"Connection": {"X-Own, close"}, "X-Own": {"1"}, "Keep-Alive": {"1"}, "Te": {"1"},
		"Request-Outcome": {"forged"}, "Target": {"forged"}, "X-Kept": {"1"},
	}
	is.Equal(forwardedHeaders(from), http.Header{"X-Kept": {"1"}})
	is.Equal(len(forwardedHeaders(nil)), 0)
}

func TestResponsesWithoutBody(t *testing.T) {
	is := is.New(t)
	tc, _, _ := startSingleAgent(t)
	for _, code := range []string{"204", "304"} {
		got := tc.mustSend(t, "GET", "/status?code="+code, "")
		is.Equal(http.StatusText(got.status) != "", true)
		is.Equal(got.body, "")
		is.Equal(got.header.Get(headerOutcome), "answered")
	}
	got := tc.mustSend(t, "HEAD", "/echo?text=abc", "")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Content-Length"), "3")
	is.Equal(got.body, "")
}

func TestBodyBytesAreReservedWhileReading(t *testing.T) {
	is := is.New(t)
	b := &bodyLimiter{limit: 100, total: 150}
	unsized := func(n int) *http.Request {
		r := httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", n)))
		r.ContentLength = -1
		return r
	}
	for range 1000 { // requests without a body reserve nothing
		_, _, why := b.read(unsized(0))
		is.Equal(why, reason.None)
	}
	body, release, why := b.read(unsized(100))
	is.Equal(why, reason.None)
	is.Equal(len(body), 100)
	_, _, why = b.read(unsized(100))
	is.Equal(why, reason.BodiesFull)
	_, _, why = b.read(httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", 60))))
	is.Equal(why, reason.BodiesFull)
	release()
	_, release, why = b.read(unsized(100))
	is.Equal(why, reason.None)
	release()
	_, _, why = b.read(unsized(101))
	is.Equal(why, reason.RequestTooLarge)
	is.Equal(b.reserved.Load(), int64(0))
}

func TestLimiterServesInOrder(t *testing.T) {
	is := is.New(t)
	l := newLimiter(admission.Limits{Slots: 1, Queue: 3, MaxWait: time.Minute})
	is.Equal(l.acquire(t.Context(), time.Minute).Action, admission.Admitted)
	order := make(chan int, 3)
	for n := range 3 {
		go func() {
			l.acquire(t.Context(), time.Minute)
			order <- n
		}()
		eventually(t, "queued", func() bool { return l.snapshot().waiting == n+1 })
	}
	for n := range 3 {
		l.release(time.Millisecond)
		is.Equal(<-order, n)
	}
	l.release(0)
	is.Equal(l.snapshot().running, 0)
}

func TestRefusalStatus(t *testing.T) {
	is := is.New(t)
	for _, info := range reason.Table() {
		if info.Kind != reason.KindNotRun && info.Kind != reason.KindUnknown {
			continue
		}
		outcome := retry.NotRun
		if info.Kind == reason.KindUnknown {
			outcome = retry.Unknown
		}
		f := refusal{outcome: outcome, reason: info.Code, retryAfter: 1500 * time.Millisecond}
		w := httptest.NewRecorder()
		f.write(w, "t1/1/1", 1)
		is.Equal(w.Header().Get(headerReason), info.Name)
		is.Equal(w.Header().Get(headerOutcome), outcome.String())
		is.True(w.Code >= 400)
		if w.Code == http.StatusServiceUnavailable {
			is.Equal(w.Header().Get(headerRetryAfter), "3") // with full jitter, rounded up to seconds
			is.Equal(w.Header().Get(headerRetryAfterMS), "2250")
		}
	}
}
