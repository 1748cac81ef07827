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
	t.Parallel() // deployments use free ports
	d, err := dev.Start(t.Context(), dev.Options{Log: zaptest.NewLogger(t)})
	is.New(t).NoErr(err)
	t.Cleanup(d.Close)
	return d
}

const (
	// Large enough for a busy machine.
	maxAttempts  = 100
	retryPercent = 100 * maxAttempts
)

// loadOptions returns options with a generous retry budget: targets short of CPU time
// shed load, and callers retry.
func loadOptions(duration time.Duration) loadgen.Options {
	return loadgen.Options{
		Rate: 60, Sessions: 6, WatchPeriod: 100 * time.Millisecond, NonRepeatable: 0.3, Connections: 6,
		RequestsPerFlow: 10, Duration: duration, Deadline: time.Minute, Seed: 7,
		MaxAttempts: maxAttempts, RetryPercent: retryPercent,
	}
}

// checkReport checks that all requests were answered and nothing broke or ran twice.
func checkReport(t *testing.T, r *loadgen.Report) {
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
			r, err := d.Load(t.Context(), service, loadOptions(time.Second))
			if err != nil {
				t.Error(err)
				return
			}
			checkReport(t, r)
		})
	}
	wg.Wait()
	is.NoErr(d.Err())
}

// A backend server that drains under load keeps its sessions until their callers end
// them, and gets no new work after the grace period.
func TestSessionsSurviveDrain(t *testing.T) {
	is := is.New(t)
	d := start(t)
	var wg conc.WaitGroup
	drained := make(chan drainResult, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wg.Go(func() {
		number, drainingServer := waitForAnyWatch(ctx, d.Backends("lodgement"))
		if drainingServer != nil {
			drained <- drainResult{number: number, server: drainingServer, err: drainingServer.Drain(ctx)}
		}
	})
	r, err := d.Load(t.Context(), "lodgement", loadOptions(2*backend.DefaultDrainGrace))
	is.NoErr(err)
	t.Logf("%+v", *r)
	is.True(r.Sessions > 0)
	result := <-drained
	cancel()
	wg.Wait()
	is.NoErr(result.err)
	is.True(r.SessionsPerTarget[fmt.Sprint("lodgement-", result.number)] > 0)
	is.Equal(r.Outcomes["answered"], r.Requests)
	is.Equal(r.BrokenFlows, 0)
	is.Equal(r.BrokenSessions, 0)
	is.Equal(result.server.LateRequests(), 0)
}

// drainResult is the result of draining a backend server.
type drainResult struct {
	number int
	server *backend.Server
	err    error
}

// waitForAnyWatch waits until a server has a session and returns its number, counted
// from 1, and the server.
func waitForAnyWatch(ctx context.Context, all []*backend.Server) (int, *backend.Server) {
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

// waitForSessions waits until count sessions are open on all servers together. It returns
// false if the context ends first.
func waitForSessions(ctx context.Context, servers []*backend.Server, count int) bool {
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

// Sessions survive the restart of all entry hosts in a row, after which none of the return
// paths that their agents know is left.
func TestSessionsSurviveRestartOfAllEntryHosts(t *testing.T) {
	is := is.New(t)
	d, err := dev.Start(t.Context(), dev.Options{EntryHosts: 3, Network: &dev.Network{Seed: 1}, Log: zaptest.NewLogger(t)})
	is.NoErr(err)
	t.Cleanup(d.Close)
	restartsDone := make(chan struct{})
	restarted := make(chan error, 1)
	const sessions = 20
	loadCtx, cancelLoad := context.WithCancel(t.Context())
	defer cancelLoad()
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(restartsDone)
		if !waitForSessions(loadCtx, d.Backends("lodgement"), sessions) {
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
	o := loadOptions(5 * time.Minute) // StopWhen ends it
	o.Sessions, o.SessionRamp = sessions, 100*time.Millisecond
	o.StopWhen = func(*loadgen.Report) bool {
		select {
		case <-restartsDone:
			return true
		default:
			return false
		}
	}
	o.WatchPeriod = 500 * time.Millisecond
	r, err := d.Load(t.Context(), "lodgement", o)
	cancelLoad()
	wg.Wait()
	is.NoErr(err)
	is.NoErr(<-restarted)
	t.Logf("%+v", *r)
	is.Equal(r.Sessions, sessions)
	is.Equal(r.BrokenSessions, 0)
	is.Equal(r.BrokenFlows, 0)
}
