package dev_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap/zaptest"

	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/dev"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

func start(t *testing.T) *dev.Deployment {
	t.Helper()
	t.Parallel() // each deployment has ports of its own
	d, err := dev.Start(t.Context(), dev.Options{Log: zaptest.NewLogger(t)})
	is.New(t).NoErr(err)
	t.Cleanup(d.Close)
	return d
}

const (
	// ampleAttempts and amplePercent are what a busy machine does not use up.
	ampleAttempts = 100
	amplePercent  = 100 * ampleAttempts
)

// options leave a busy machine time enough: targets that are short of
// processor time shed load, which callers then bring again.
func options(duration time.Duration) loadgen.Options {
	return loadgen.Options{
		Rate: 60, Sessions: 6, WatchPeriod: 100 * time.Millisecond, NonRepeatable: 0.3, Connections: 6,
		RequestsPerFlow: 10, Duration: duration, Deadline: time.Minute, Seed: 7,
		MaxAttempts: ampleAttempts, RetryPercent: amplePercent,
	}
}

// check holds a report against what must always hold.
func check(t *testing.T, r *loadgen.Report) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	t.Logf("%+v", *r)
	is.True(r.Requests > 0)
	is.Equal(r.Outcomes["answered"], r.Requests)
	is.Equal(r.BrokenFlows, 0)
	is.Equal(r.BrokenSessions, 0)
	is.Equal(r.Misrouted, 0)
	is.Equal(r.WrongAnswers, 0)
	is.True(r.Doubled != nil)
	is.Equal(*r.Doubled, loadgen.Doubled{Keys: r.Doubled.Keys})
}

func TestBothServicesServe(t *testing.T) {
	is := is.New(t)
	d := start(t)
	is.Equal(d.Services(), []string{"certificates", "lodgement"})
	var wg conc.WaitGroup
	for _, service := range d.Services() {
		is.Equal(len(d.Addresses(service)), 2) // one on each entry host
		wg.Go(func() {
			r, err := d.Load(t.Context(), service, options(time.Second))
			if err != nil {
				t.Error(err)
				return
			}
			check(t, r)
		})
	}
	wg.Wait()
	is.NoErr(d.Err())
}

// A backend server drains under load: its sessions go on until their callers
// end them, and its agent brings it no new work once the grace is over.
func TestSessionsSurviveDrain(t *testing.T) {
	is := is.New(t)
	d := start(t)
	var wg conc.WaitGroup
	drained := make(chan drain, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wg.Go(func() {
		number, leaving := awaitAnyWatch(ctx, d.Backends("lodgement"))
		if leaving != nil {
			drained <- drain{number: number, server: leaving, err: leaving.Drain(ctx)}
		}
	})
	r, err := d.Load(t.Context(), "lodgement", options(2*backend.DefaultDrainGrace))
	is.NoErr(err)
	t.Logf("%+v", *r)
	is.True(r.Sessions > 0)
	left := <-drained
	cancel()
	wg.Wait()
	is.NoErr(left.err)
	is.True(r.SessionsPerTarget[fmt.Sprint("lodgement-", left.number)] > 0)
	is.Equal(r.Outcomes["answered"], r.Requests)
	is.Equal(r.BrokenFlows, 0)
	is.Equal(r.BrokenSessions, 0)
	is.Equal(left.server.LateRequests(), 0)
}

// drain is the end of the drain of a backend server.
type drain struct {
	number int
	server *backend.Server
	err    error
}

// awaitAnyWatch returns the first server, counted from 1, that has a session:
// which one that is, chance decides.
func awaitAnyWatch(ctx context.Context, all []*backend.Server) (int, *backend.Server) {
	for ctx.Err() == nil {
		for i, s := range all {
			if s.Watching() > 0 {
				return i + 1, s
			}
		}
		time.Sleep(time.Millisecond)
	}
	return 0, nil
}

// awaitSessions waits until so many sessions are open, over all servers, and
// reports whether they were before the context ended.
func awaitSessions(ctx context.Context, servers []*backend.Server, count int) bool {
	for ctx.Err() == nil {
		open := 0
		for _, s := range servers {
			open += s.Watching()
		}
		if open >= count {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// Every entry host restarts, one right after the other, so that all that a
// session's agent remembers of its way back is gone.
func TestSessionsSurviveRestartOfAllEntryHosts(t *testing.T) {
	is := is.New(t)
	d, err := dev.Start(t.Context(), dev.Options{EntryHosts: 3, Network: &dev.Network{Seed: 1}, Log: zaptest.NewLogger(t)})
	is.NoErr(err)
	t.Cleanup(d.Close)
	stop := make(chan struct{})
	restarted := make(chan error, 1)
	const sessions = 20
	loaded, loadEnds := context.WithCancel(t.Context())
	defer loadEnds()
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(stop)
		if !awaitSessions(loaded, d.Backends("lodgement"), sessions) {
			restarted <- errors.New("the load ended before all sessions were open")
			return
		}
		for i := range d.EntryHosts() {
			if err := d.RestartEntry(t.Context(), i); err != nil {
				restarted <- err
				return
			}
		}
		restarted <- nil
		// A session counts as broken after this long without an event.
		select {
		case <-time.After(loadgen.SessionTimeoutFactor * time.Second):
		case <-t.Context().Done():
		}
	})
	o := options(5 * time.Minute) // Enough ends it
	o.Sessions, o.SessionRamp = sessions, 100*time.Millisecond
	o.StopWhen = func(*loadgen.Report) bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	o.WatchPeriod = 500 * time.Millisecond
	r, err := d.Load(t.Context(), "lodgement", o)
	loadEnds()
	wg.Wait()
	is.NoErr(err)
	is.NoErr(<-restarted)
	t.Logf("%+v", *r)
	is.Equal(r.Sessions, sessions)
	is.Equal(r.BrokenSessions, 0)
	is.Equal(r.BrokenFlows, 0)
}
