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
	report := run(t, persistent(loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots,
		Rate: 300, Sessions: 4, WatchPeriod: 10 * time.Millisecond, NonRepeatable: 0.5,
		Targets: []string{"l-1", "l-2"}, RunURLs: []string{b1.URL(), b2.URL()}, RequestsPerFlow: 5,
		StopWhen: func(sofar *loadgen.Report) bool {
			return sofar.Requests >= 50 && sofar.Sessions == 4 && sofar.Events >= 40
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

// attempts counts attempts by idempotency key.
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
	report := run(t, persistent(loadgen.Options{
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
		comeBack      string
		retried       bool
	}{{"non-repeatable", 1, "", false}, {"repeatable", 0, "", true}, {"asked to come back", 1, "1", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Outcome", "unknown")
				w.Header().Set("Request-Reason", "backend-lost")
				w.Header().Set("Retry-After-Ms", tt.comeBack)
				w.WriteHeader(http.StatusBadGateway)
			}))
			report := run(t, loadgen.Options{
				Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: tt.nonRepeatable,
				RetryPercent: amplePercent,
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
	report := run(t, loadgen.Options{
		Addresses: []string{s.address}, Roots: a.roots, Rate: 300, RetryPercent: 10,
		StopWhen: func(sofar *loadgen.Report) bool { return sofar.Requests >= 20 && sofar.RetriesDenied > 0 },
	})
	retries := 0
	for _, n := range report.Retries {
		retries += n
	}
	is.True(retries <= 10+(report.Requests+1)/10)
	is.True(report.RetriesDenied > 0)
}

func TestWrongAnswerShows(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "an answer to another request")
	}))
	report := run(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: 1})
	is.Equal(report.WrongAnswers, report.Requests)
}

func TestShortAnswerIsNoAnswer(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, r.URL.Query().Get("text"))
	}))
	report := run(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 50, MaxAttempts: 1})
	is.Equal(report.Outcomes["answered"], 0)
}

func TestMisroutedFlowShows(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, "certificates", proxy(t, startBackend(t), "c-1"))
	report := run(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 20, MaxAttempts: 1})
	is.Equal(report.Misrouted, report.Requests)
	is.Equal(report.Outcomes["not-run/certificate"], report.Requests)
}

func TestForeignTargetShows(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s := a.serve(t, service, proxy(t, startBackend(t), "c-1"))
	report := run(t, loadgen.Options{Addresses: []string{s.address}, Roots: a.roots, Rate: 20, Targets: []string{"l-1"}})
	is.Equal(report.Misrouted, report.Requests)
}

// sharedSessions dial two servers in turn; each of them gets several.
const sharedSessions = 10

// whenWatched runs act in the background once two sessions watch b. The
// returned function ends it and waits.
func whenWatched(b *backend.Server, act func()) (stop func()) {
	var over atomic.Bool
	var wg conc.WaitGroup
	wg.Go(func() {
		for b.Watching() < 2 {
			if over.Load() {
				return
			}
			time.Sleep(time.Millisecond)
		}
		act()
	})
	return func() {
		over.Store(true)
		wg.Wait()
	}
}

// movedFrom returns a condition that holds once a leaving server's requests all
// go elsewhere while the sessions go on.
func movedFrom(leaving *farEnd) func(*loadgen.Report) bool {
	const (
		elsewhere = 50
		events    = 100
	)
	var last *loadgen.Report
	return func(sofar *loadgen.Report) bool {
		if last == nil || !leaving.leaving.Load() || sofar.PerTarget["l-1"] > last.PerTarget["l-1"] {
			last = sofar
		}
		return sofar.PerTarget["l-2"] >= last.PerTarget["l-2"]+elsewhere && sofar.Events >= last.Events+events
	}
}

// A graceful shutdown of one of two servers breaks nothing; the sessions on
// it go on until the callers end them.
func TestGoAwayBreaksNothing(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b1, b2 := startBackend(t), startBackend(t)
	s1 := a.serve(t, service, proxy(t, b1, "l-1"))
	s2 := a.serve(t, service, proxy(t, b2, "l-2"))
	stop := whenWatched(b1, func() { s1.shutdown(t.Context()) })
	report := run(t, persistent(loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots, Rate: 100, Sessions: sharedSessions,
		// Few flows for requests leave the dials in turn to the sessions.
		Connections: 2, RequestsPerFlow: 1 << 20,
		WatchPeriod: 5 * time.Millisecond, NonRepeatable: 0.5,
		RunURLs:  []string{b1.URL(), b2.URL()},
		StopWhen: movedFrom(s1),
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
	stop := whenWatched(b1, func() { _ = s1.http.Close() })
	report := run(t, loadgen.Options{
		Addresses: []string{s1.address, s2.address}, Roots: a.roots, Sessions: sharedSessions,
		WatchPeriod: 5 * time.Millisecond,
		// A watch whose answer was on its way counts as refused.
		StopWhen: func(sofar *loadgen.Report) bool {
			lost := sofar.BrokenSessions + sofar.SessionsRefused["unknown/connection-lost"]
			return lost >= 2 && sofar.BrokenFlows >= 2
		},
	})
	stop()
	is.True(report.BrokenSessions+report.SessionsRefused["unknown/connection-lost"] >= 2)
	is.True(report.BrokenFlows >= 2)
}

func TestDoubledIsNotClaimedUnasked(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	b := startBackend(t)
	s := a.serve(t, service, proxy(t, b, "l-1"))
	report := run(t, loadgen.Options{
		Addresses: []string{s.address}, Roots: a.roots, Rate: 50, NonRepeatable: 1,
		RunURLs: []string{b.URL(), "http://127.0.0.1:1"},
	})
	is.Equal(report.Doubled, nil)
	is.True(strings.Contains(report.DoubledUnknown, "127.0.0.1:1"))
}

func TestBadOptions(t *testing.T) {
	for name, o := range map[string]loadgen.Options{
		"no address":  {Service: service, Duration: time.Second},
		"bad address": {Service: service, Duration: time.Second, Addresses: []string{"localhost"}},
		"no service":  {Addresses: []string{"127.0.0.1:1"}, Duration: time.Second},
		"no duration": {Service: service, Addresses: []string{"127.0.0.1:1"}},
		"bad share":   {Service: service, Addresses: []string{"127.0.0.1:1"}, Duration: time.Second, NonRepeatable: 2},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadgen.Run(context.Background(), o)
			is.New(t).True(errors.Is(err, loadgen.ErrInvalidOptions))
		})
	}
}
