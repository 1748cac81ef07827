package loadgen_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

func TestCleanRun(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b1, b2 := startBackend(t), startBackend(t)
	s1 := a.serve(t, service, proxy(t, b1, "l-1"))
	s2 := a.serve(t, service, proxy(t, b2, "l-2"))
	report := runLoad(t, retryForever(loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots,
		Rate: 300, Sessions: 4, WatchPeriod: 10 * time.Millisecond, NonRepeatable: 0.5,
		Targets: []string{"l-1", "l-2"}, RunURLs: []string{b1.URL(), b2.URL()}, RequestsPerFlow: 5,
		StopWhen: func(soFar *loadgen.Report) bool {
			return soFar.Requests >= 50 && soFar.Sessions == 4 && soFar.Events >= 40
		},
	}))
	is.Equal(report.Outcomes, map[string]int{"answered": report.Requests})
	is.Equal(report.PerTarget["l-1"]+report.PerTarget["l-2"], report.Requests)
	is.Equal(report.BrokenFlows, 0)
	is.Equal(report.Sessions, 4)
	is.Equal(report.BrokenSessions, 0)
	is.Equal(report.Misrouted+report.WrongAnswers, 0)
	is.True(report.Doubled != nil)
	is.True(report.Doubled.Keys > 0)
	is.Equal(*report.Doubled, loadgen.Doubled{Keys: report.Doubled.Keys})
	is.True(report.Imbalance.Overall >= 1)
	_, err := json.Marshal(report)
	is.NoErr(err)
	is.NoErr(report.WriteText(io.Discard))
}

// attempts counts the attempts of each idempotency key.
type attempts struct {
	mu    sync.Mutex
	byKey map[string]int
}

func (a *attempts) add(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey == nil {
		a.byKey = map[string]int{}
	}
	a.byKey[key]++
	return a.byKey[key]
}

func TestNotRunIsRepeated(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b := startBackend(t)
	next := proxy(t, b, "l-1")
	var seen attempts
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if seen.add(r.Header.Get("Idempotency-Key")) == 1 {
			w.Header().Set("Request-Outcome", "not-run")
			w.Header().Set("Request-Reason", "full")
			w.Header().Set("Retry-After-Ms", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	}))
	report := runLoad(t, retryForever(loadgen.Options{
		Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: 1,
		RunURLs: []string{b.URL()},
	}))
	is.Equal(report.Outcomes["answered"], report.Requests)
	is.Equal(report.Retries["not-run/full"], report.Requests)
	is.Equal(*report.Doubled, loadgen.Doubled{Keys: report.Requests})
}

func TestUnknownIsRepeatedOnlyWhereAllowed(t *testing.T) {
	for _, tt := range []struct {
		name          string
		nonRepeatable float64
		retryAfter    string
		retried       bool
	}{{"non-repeatable", 1, "", false}, {"repeatable", 0, "", true}, {"retry requested", 1, "1", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Outcome", "unknown")
				w.Header().Set("Request-Reason", "backend-lost")
				w.Header().Set("Retry-After-Ms", tt.retryAfter)
				w.WriteHeader(http.StatusBadGateway)
			}))
			report := runLoad(t, loadgen.Options{
				Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: tt.nonRepeatable,
				RetryPercent: largeRetryPercent,
			})
			is.Equal(report.Outcomes["unknown/backend-lost"], report.Requests)
			is.Equal(report.Retries["unknown/backend-lost"] > 0, tt.retried)
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	report := runLoad(t, loadgen.Options{
		Addresses: []string{s.address}, Roots: a.roots, Rate: 300, RetryPercent: 10,
		StopWhen: func(soFar *loadgen.Report) bool { return soFar.Requests >= 20 && soFar.RetriesDenied > 0 },
	})
	retries := 0
	for _, n := range report.Retries {
		retries += n
	}
	is.True(retries <= 10+(report.Requests+1)/10)
	is.True(report.RetriesDenied > 0)
}

func TestWrongAnswerIsReported(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "an answer to another request")
	}))
	report := runLoad(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: 1})
	is.Equal(report.WrongAnswers, report.Requests)
}

func TestTruncatedResponseIsNotAnswered(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, r.URL.Query().Get("text"))
	}))
	report := runLoad(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 50, MaxAttempts: 1})
	is.Equal(report.Outcomes["answered"], 0)
}

func TestOtherServiceCertificateIsMisrouted(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, "certificates", proxy(t, startBackend(t), "c-1"))
	report := runLoad(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 20, MaxAttempts: 1})
	is.Equal(report.Misrouted, report.Requests)
	is.Equal(report.Outcomes["not-run/certificate"], report.Requests)
}

func TestUnknownTargetIsMisrouted(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, proxy(t, startBackend(t), "c-1"))
	report := runLoad(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 20, Targets: []string{"l-1"}})
	is.Equal(report.Misrouted, report.Requests)
}

// sharedSessions is the number of sessions over two servers, so that each gets several.
const sharedSessions = 10

// afterWatches runs action in the background once b has two sessions. The returned
// function stops the wait and joins the goroutine.
func afterWatches(b *backend.Server, action func()) (stop func()) {
	var stopped atomic.Bool
	var wg conc.WaitGroup
	wg.Go(func() {
		for b.Watching() < 2 {
			if stopped.Load() {
				return
			}
			time.Sleep(time.Millisecond)
		}
		action()
	})
	return func() {
		stopped.Store(true)
		wg.Wait()
	}
}

// requestsMoved returns a condition that holds once all requests of a draining server go
// to the other one while the sessions continue.
func requestsMoved(draining *testServer) func(*loadgen.Report) bool {
	const (
		elsewhere = 50
		events    = 100
	)
	var last *loadgen.Report
	return func(soFar *loadgen.Report) bool {
		if last == nil || !draining.draining.Load() || soFar.PerTarget["l-1"] > last.PerTarget["l-1"] {
			last = soFar
		}
		return soFar.PerTarget["l-2"] >= last.PerTarget["l-2"]+elsewhere && soFar.Events >= last.Events+events
	}
}

// A graceful shutdown of one of two servers breaks neither flows nor sessions.
func TestGoAwayBreaksNothing(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b1, b2 := startBackend(t), startBackend(t)
	s1 := a.serve(t, service, proxy(t, b1, "l-1"))
	s2 := a.serve(t, service, proxy(t, b2, "l-2"))
	stop := afterWatches(b1, func() { s1.shutdown(t.Context()) })
	report := runLoad(t, retryForever(loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots, Rate: 100, Sessions: sharedSessions,
		// With few flows for requests, the round-robin dials go to the sessions.
		Connections: 2, RequestsPerFlow: 1 << 20,
		WatchPeriod: 5 * time.Millisecond, NonRepeatable: 0.5,
		RunURLs:  []string{b1.URL(), b2.URL()},
		StopWhen: requestsMoved(s1),
	}))
	stop()
	is.True(report.SessionsPerTarget["l-1"] >= 2)
	is.Equal(report.BrokenFlows, 0)
	is.Equal(report.BrokenSessions, 0)
	is.Equal(report.Outcomes["answered"], report.Requests)
	is.Equal(*report.Doubled, loadgen.Doubled{Keys: report.Doubled.Keys})
}

func TestAbruptEndBreaksFlows(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b1, b2 := startBackend(t), startBackend(t)
	s1 := a.serve(t, service, proxy(t, b1, "l-1"))
	s2 := a.serve(t, service, proxy(t, b2, "l-2"))
	stop := afterWatches(b1, func() { _ = s1.http.Close() })
	report := runLoad(t, loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots, Sessions: sharedSessions,
		WatchPeriod: 5 * time.Millisecond,
		// A watch without a response yet counts as refused.
		StopWhen: func(soFar *loadgen.Report) bool {
			lost := soFar.BrokenSessions + soFar.SessionsRefused["unknown/connection-lost"]
			return lost >= 2 && soFar.BrokenFlows >= 2
		},
	})
	stop()
	is.True(report.BrokenSessions+report.SessionsRefused["unknown/connection-lost"] >= 2)
	is.True(report.BrokenFlows >= 2)
}

func TestDoubledUnknownWithoutAllBackends(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b := startBackend(t)
	s := a.serve(t, service, proxy(t, b, "l-1"))
	report := runLoad(t, loadgen.Options{
		Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: 1,
		RunURLs: []string{b.URL(), "http://127.0.0.1:1"},
	})
	is.Equal(report.Doubled, nil)
	is.True(strings.Contains(report.DoubledUnknown, "127.0.0.1:1"))
}

func TestInvalidOptions(t *testing.T) {
	for name, o := range map[string]loadgen.Options{
		"no address":      {Service: service, Duration: time.Second},
		"invalid address": {Service: service, Duration: time.Second, Addresses: []string{"localhost"}},
		"no service":      {Addresses: []string{"127.0.0.1:1"}, Duration: time.Second},
		"no duration":     {Service: service, Addresses: []string{"127.0.0.1:1"}},
		"invalid share":   {Service: service, Addresses: []string{"127.0.0.1:1"}, Duration: time.Second, NonRepeatable: 2},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadgen.Run(context.Background(), o)
			is.New(t).True(errors.Is(err, loadgen.ErrInvalidOptions))
		})
	}
}
