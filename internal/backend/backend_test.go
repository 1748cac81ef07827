package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
)

func start(t *testing.T, o backend.Options) *backend.Server {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	s, err := backend.Start(o)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// call returns the response, its body and the error of reading the body.
func call(t *testing.T, method, url, body string, header http.Header) (*http.Response, string, error) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	for k, v := range header {
		req.Header[k] = v
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	res, text, err := call(t, http.MethodGet, url, "", nil)
	is.New(t).NoErr(err)
	return res.StatusCode, text
}

// fakeAgent accepts announcements.
type fakeAgent struct {
	*httptest.Server
	mu            sync.Mutex
	announcements []backend.Announcement
	refuse        bool
}

func newFakeAgent(t *testing.T) *fakeAgent {
	a := &fakeAgent{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var announcement backend.Announcement
		if json.NewDecoder(r.Body).Decode(&announcement) != nil || r.URL.Path != "/announce" {
			http.Error(w, "bad", http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.refuse {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		a.announcements = append(a.announcements, announcement)
	}))
	t.Cleanup(a.Close)
	return a
}

func (a *fakeAgent) address() string { return strings.TrimPrefix(a.URL, "http://") }

func (a *fakeAgent) setRefuse(refuse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuse = refuse
}

func (a *fakeAgent) last() (backend.Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.announcements) == 0 {
		return backend.Announcement{}, false
	}
	return a.announcements[len(a.announcements)-1], true
}

// eventually polls until ok. Only the timeout of the test binary bounds it.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func TestEchoAndRuns(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{})
	status, text := get(t, s.URL()+"/echo?text=salaam")
	is.Equal(status, 200)
	is.Equal(text, "salaam")
	key := http.Header{"Idempotency-Key": {"k1"}}
	for range 2 {
		_, text, err := call(t, http.MethodPost, s.URL()+"/run", "instrument", key)
		is.NoErr(err)
		is.Equal(text, "instrument")
	}
	is.Equal(s.RunCount("k1"), 2)
	_, text = get(t, s.URL()+"/runs?key=k1")
	is.Equal(text, "2")
	_, text = get(t, s.URL()+"/runs?key=k2")
	is.Equal(text, "0")
}

func TestFullServerReportsNotRun(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/run?ms=600000", nil)
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
		}
	})
	eventually(t, func() bool { return s.Running() == 1 })
	res, _, err := call(t, http.MethodPost, s.URL()+"/run", "", http.Header{"Idempotency-Key": {"k"}})
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.Equal(res.Header.Get("Request-Outcome"), "not-run")
	is.Equal(res.Header.Get("Request-Reason"), "full")
	is.Equal(s.RunCount("k"), 0)
	cancel() // closing the connection cancels the work
	wg.Wait()
	eventually(t, func() bool { return s.Running() == 0 })
}

func TestDeadlineCancelsWork(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{})
	res, _, err := call(t, http.MethodPost, s.URL()+"/run?ms=600000", "", http.Header{"Request-Timeout": {"5"}})
	is.NoErr(err)
	is.Equal(res.StatusCode, 504)
	is.Equal(s.Running(), 0)
}

func TestWrongEndpointReports(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Slots: 3})
	is.NoErr(s.SetFaults(backend.Faults{Health: backend.HealthAlwaysUp, Broken: true, Load: backend.LoadFull}))
	status, _ := get(t, s.URL()+"/health")
	is.Equal(status, 200)
	status, _ = get(t, s.URL()+"/echo?text=a")
	is.Equal(status, 500)
	_, text := get(t, s.URL()+"/load")
	is.Equal(text, `{"running":3,"slots":3}`+"\n")
	is.NoErr(s.SetFaults(backend.Faults{Health: backend.HealthAlwaysDown}))
	status, _ = get(t, s.URL()+"/health")
	is.Equal(status, 503)
	status, _ = get(t, s.URL()+"/echo?text=a")
	is.Equal(status, 200)
	is.NoErr(s.SetFaults(backend.Faults{Broken: true}))
	status, _ = get(t, s.URL()+"/health")
	is.Equal(status, 503) // the default mode reports the fault
}

func TestHangingHealthEndpoint(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Faults: backend.Faults{Health: backend.HealthHang}})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL()+"/health", nil)
	is.NoErr(err)
	_, err = http.DefaultClient.Do(req)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Faults: backend.Faults{TruncateEvery: 2}})
	_, text, err := call(t, http.MethodGet, s.URL()+"/echo?text=whole", "", nil)
	is.NoErr(err)
	is.Equal(text, "whole")
	_, _, err = call(t, http.MethodGet, s.URL()+"/echo?text=whole", "", nil)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestStrayResponse(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Faults: backend.Faults{CrossEvery: 1}})
	conn := dial(t, s.URL())
	_, err := io.WriteString(conn, "GET /echo?text=mine HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"mine", "an answer to another request"} {
		res, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		text, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(text), want)
	}
}

func TestLateResponseStillCountsRun(t *testing.T) {
	s := start(t, backend.Options{Faults: backend.Faults{LateEvery: 1, LateBy: time.Hour}})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/run", nil)
		req.Header.Set("Idempotency-Key", "k")
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
		}
	})
	eventually(t, func() bool { return s.RunCount("k") == 1 })
	cancel()
	wg.Wait()
}

func TestUnknownFault(t *testing.T) {
	is := is.New(t)
	_, err := backend.Start(backend.Options{Listen: "127.0.0.1:0", Faults: backend.Faults{Health: "odd"}})
	is.True(errors.Is(err, backend.ErrFault))
}

func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{})
	_, err := backend.Start(backend.Options{Listen: strings.TrimPrefix(s.URL(), "http://")})
	is.True(errors.Is(err, backend.ErrListen))
}
