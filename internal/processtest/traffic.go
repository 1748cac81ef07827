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
	// trafficWorkMS is how long the backend server works on each request, so
	// that some are in flight at any time.
	trafficWorkMS = 50
	// progressAnswers is more than can be in flight.
	progressAnswers = 20
)

// Report is what became of the requests of a Traffic.
type Report struct {
	// Answered counts whole answers of the right service.
	Answered int
	// Refused counts requests that were said not to have been run.
	Refused int
	// Failures tells of each request with another fate: lost, cut short,
	// misrouted, or of unknown outcome.
	Failures []string
}

// Traffic is a number of callers that each send one request after the other.
type Traffic struct {
	service *Service
	cancel  context.CancelFunc
	workers conc.WaitGroup

	mu     sync.Mutex
	report Report
}

// StartTraffic starts callers with connections of their own.
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

// Stop ends the traffic after the requests in flight and reports.
func (t *Traffic) Stop() Report {
	t.cancel()
	t.workers.Wait()
	return t.Report()
}

// Report tells what became of the requests so far.
func (t *Traffic) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	report.Failures = append([]string(nil), report.Failures...)
	return report
}

// WaitProgress waits for more answers than can be in flight, so that some of them
// belong to requests sent after the call.
func (t *Traffic) WaitProgress() {
	c := t.service.cluster
	c.t.Helper()
	before := t.Report().Answered
	Eventually(c.t, "requests of "+t.service.Name+" are answered", func() bool {
		return t.Report().Answered >= before+progressAnswers
	})
}

func (t *Traffic) run(ctx context.Context, caller *Caller, worker int) {
	for i := 0; ctx.Err() == nil; i++ {
		t.one(caller, fmt.Sprintf("%s caller %d request %d", t.service.Name, worker, i))
	}
}

// one sends a request and judges its fate.
func (t *Traffic) one(caller *Caller, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	path := fmt.Sprintf("/echo?ms=%d&text=%s", trafficWorkMS, url.QueryEscape(text))
	answer, err := caller.Do(ctx, http.MethodGet, path, nil, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.wrongLocked(text, err.Error())
	case answer.Outcome == OutcomeNotRun:
		t.report.Refused++
	case answer.Outcome != OutcomeAnswered || answer.Status != http.StatusOK:
		t.wrongLocked(text, fmt.Sprintf("status %d, outcome %s, reason %s", answer.Status, answer.Outcome, answer.Reason))
	case !strings.HasPrefix(answer.Target, t.service.Name+"-"):
		t.wrongLocked(text, "answered by "+answer.Target)
	case string(answer.Body) != text:
		t.wrongLocked(text, fmt.Sprintf("answered %q", answer.Body))
	default:
		t.report.Answered++
	}
}

func (t *Traffic) wrongLocked(text, fate string) {
	t.report.Failures = append(t.report.Failures, text+": "+fate)
}
