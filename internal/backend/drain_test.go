package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
)

func dial(t *testing.T, url string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestAnnouncesUntilAccepted(t *testing.T) {
	is := is.New(t)
	a := newFakeAgent(t)
	a.setRefuse(true)
	before := time.Now()
	s := start(t, backend.Options{
		Service: "lodgement", Target: "l-1", Announce: a.address(), Slots: 2, AnnouncePeriod: time.Millisecond,
	})
	a.setRefuse(false)
	eventually(t, func() bool { _, ok := a.last(); return ok })
	got, _ := a.last()
	is.True(got.AgeMS >= 0)
	is.True(got.AgeMS <= time.Since(before).Milliseconds())
	got.AgeMS = 0
	is.Equal(got, backend.Announcement{
		Service: "lodgement", Target: "l-1", URL: s.URL(), Slots: 2,
		HealthPath: "/health", LoadPath: "/load", State: backend.StateServing,
	})
}

func TestDrainWaitsForWatchesAndRequests(t *testing.T) {
	is := is.New(t)
	a := newFakeAgent(t)
	s := start(t, backend.Options{Announce: a.address(), AnnouncePeriod: time.Hour, DrainGrace: time.Hour})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+"/watch?ms=1", nil)
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	lines := bufio.NewReader(res.Body)
	_, err = lines.ReadString('\n')
	is.NoErr(err)

	drained := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { drained <- s.Drain(t.Context()) })
	eventually(t, func() bool {
		last, ok := a.last()
		return ok && last.State == backend.StateDraining
	})
	for range 10 { // the watch continues while draining
		_, err = lines.ReadString('\n')
		is.NoErr(err)
	}
	status, text := get(t, s.URL()+"/echo?text=within+the+grace")
	is.Equal(status, 200)
	is.Equal(text, "within the grace")
	select {
	case <-drained:
		t.Fatal("drained before the end of the watch")
	default:
	}
	res.Body.Close()
	wg.Wait()
	is.NoErr(<-drained)
}

func TestDrainRefusesAfterGrace(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{DrainGrace: time.Nanosecond})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL()+"/watch?ms=1", nil)
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	eventually(t, func() bool { return s.Watching() == 1 })
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Drain(t.Context()) })
	eventually(t, func() bool {
		response, _, err := call(t, http.MethodPost, s.URL()+"/run", "", http.Header{"Idempotency-Key": {"k"}})
		is.NoErr(err)
		return response.StatusCode == 503 && response.Header.Get("Request-Reason") == "draining"
	})
	is.True(s.LateRequests() > 0)
	res.Body.Close()
	wg.Wait()
}

func TestDrainEndsWithContext(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Announce: "127.0.0.1:1"}) // no agent
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(s.Drain(ctx), context.Canceled))
}

func TestDrainWithoutAgent(t *testing.T) {
	is := is.New(t)
	s := start(t, backend.Options{Announce: "127.0.0.1:1", DrainGrace: time.Millisecond})
	is.NoErr(s.Drain(t.Context()))
	is.NoErr(s.Drain(t.Context())) // has no effect on a closed server
}
