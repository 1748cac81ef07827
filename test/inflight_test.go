package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// slowWorkTime keeps a request in flight while a test changes something else. No test
// depends on its length.
const slowWorkTime = 1500 * time.Millisecond

// completed is the result of a request with the expected response.
const completed = "completed"

// requests are slow requests in flight at one target.
type requests struct {
	workers conc.WaitGroup
	results []string
}

// startRequests starts slow requests and waits until the target runs all of them.
func (d *deployment) startRequests(t *testing.T, target *processtest.Target, count int) *requests {
	t.Helper()
	r := &requests{results: make([]string, count)}
	for i := range count {
		d.inFlight++
		key := fmt.Sprint("in flight ", d.inFlight)
		caller := d.callerOf(t, target)
		r.workers.Go(func() { r.results[i] = runToResult(caller, key) })
		processtest.Eventually(t, key+" runs", func() bool { return target.RunCount(key) == 1 })
	}
	return r
}

// callerOf returns a caller whose flow is on the target.
func (d *deployment) callerOf(t *testing.T, target *processtest.Target) *processtest.Caller {
	t.Helper()
	var caller *processtest.Caller
	processtest.Eventually(t, "a flow reaches "+target.Name, func() bool {
		caller = d.lodgement.NewCaller()
		return target.Served(caller.Echo("who?"))
	})
	return caller
}

// runToResult sends a non-repeatable request and returns its result. It resends as
// long as the attempt did not run.
func runToResult(caller *processtest.Caller, key string) string {
	for {
		answer, err := caller.Do(context.Background(), http.MethodPost,
			processtest.RunPath(slowWorkTime), processtest.KeyHeader(key), []byte(key))
		switch {
		case err != nil:
			return err.Error()
		case answer.Outcome == processtest.OutcomeNotRun, answer.Reason == "grant-unavailable":
			continue // this attempt did not run
		case answer.Status != http.StatusOK || string(answer.Body) != key:
			return fmt.Sprintf("status %d, %s, %s, %q", answer.Status, answer.Outcome, answer.Reason, answer.Body)
		}
		return completed
	}
}

// wait returns the results of all requests.
func (r *requests) wait() []string {
	r.workers.Wait()
	return r.results
}
