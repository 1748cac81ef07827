package processtest

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
)

const (
	// trafficWorkMS is the duration of each request, so that some are always in
	// flight.
	trafficWorkMS = 50
	// progressResponses exceeds the number of requests in flight.
	progressResponses = 20
)

// Report counts the results of the requests of a Traffic.
type Report struct {
	// Answered counts complete responses of the right service.
	Answered int
	// Refused counts requests with the outcome not-run.
	Refused int
	// Failures describes every other request: lost, incomplete, misrouted or with
	// an unknown outcome.
	Failures []string
}

// Traffic runs callers that each send one request at a time.
type Traffic struct {
	service *Service
	cancel  context.CancelFunc
	workers conc.WaitGroup

	mu     sync.Mutex
	report Report
}

// StartTraffic starts callers with one connection each.
func (s *Service) StartTraffic(callers int) *Traffic {
	s.cluster.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	traffic := &Traffic{service: s, cancel: cancel}
	for i := range callers {
		caller := s.NewCaller()
		traffic.workers.Go(func() { traffic.run(ctx, caller, i) })
	}
	s.cluster.t.Cleanup(func() { traffic.Stop() })
	return traffic
}

// Stop waits for the requests in flight and returns the report.
func (t *Traffic) Stop() Report {
	t.cancel()
	t.workers.Wait()
	return t.Report()
}

// Report returns the results so far.
func (t *Traffic) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	report.Failures = append([]string(nil), report.Failures...)
	return report
}

// WaitProgress waits for enough responses that some of them belong to requests
// sent after the call.
func (t *Traffic) WaitProgress() {
	c := t.service.cluster
	c.t.Helper()
	before := t.Report().Answered
	Eventually(c.t, "requests of "+t.service.Name+" are answered", func() bool {
		return t.Report().Answered >= before+progressResponses
	})
}

func (t *Traffic) run(ctx context.Context, caller *Caller, worker int) {
	for i := 0; ctx.Err() == nil; i++ {
		t.sendRequest(caller, fmt.Sprintf("%s caller %d request %d", t.service.Name, worker, i))
	}
}

// sendRequest sends a request and records its result.
func (t *Traffic) sendRequest(caller *Caller, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	path := fmt.Sprintf("/echo?ms=%d&text=%s", trafficWorkMS, url.QueryEscape(request))
	response, err := caller.Do(ctx, http.MethodGet, path, nil, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.addFailureLocked(request, err.Error())
	case response.Outcome == OutcomeNotRun:
		t.report.Refused++
	case response.Outcome != OutcomeAnswered || response.Status != http.StatusOK:
		t.addFailureLocked(request, fmt.Sprintf("status %d, outcome %s, reason %s", response.Status, response.Outcome, response.Reason))
	case !strings.HasPrefix(response.Target, t.service.Name+"-"):
		t.addFailureLocked(request, "answered by "+response.Target)
	case string(response.Body) != request:
		t.addFailureLocked(request, fmt.Sprintf("answered %q", response.Body))
	default:
		t.report.Answered++
	}
}

func (t *Traffic) addFailureLocked(request, result string) {
	t.report.Failures = append(t.report.Failures, request+": "+result)
}
