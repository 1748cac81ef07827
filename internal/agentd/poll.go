package agentd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/health"
)

const (
	// maxPollTimeout bounds one poll.
	maxPollTimeout = 500 * time.Millisecond
	// maxReportBytes bounds the body of a response.
	maxReportBytes = 4 << 10
	// maxReportedRunning bounds the accepted number of running requests.
	maxReportedRunning = 1 << 20
)

// errReport is returned for an invalid load report.
var errReport = errors.New("load report")

// poller polls the health and load endpoints of the backend server.
type poller struct {
	backend *backendTracker
	health  *healthState
	period  time.Duration
	client  *http.Client
}

func newPoller(backend *backendTracker, health *healthState, period time.Duration) *poller {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: noRedirect}
	return &poller{backend: backend, health: health, period: period, client: client}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// run polls until the context ends.
func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	a := p.backend.get()
	if a == nil {
		return
	}
	report := health.ReportHealthy
	if a.HealthPath != "" {
		report = p.pollHealth(ctx, a.endpoint(a.HealthPath))
	}
	running := -1
	if a.LoadPath != "" {
		running = p.pollLoad(ctx, a.endpoint(a.LoadPath))
	}
	if ctx.Err() == nil {
		p.health.report(report, running)
	}
}

func (p *poller) pollHealth(ctx context.Context, url string) health.Report {
	status, _, err := p.get(ctx, url)
	switch {
	case err != nil:
		return health.ReportNoResponse
	case status == http.StatusOK:
		return health.ReportHealthy
	default:
		return health.ReportUnhealthy
	}
}

// pollLoad returns the reported number of running requests, negative if there is no
// valid report.
func (p *poller) pollLoad(ctx context.Context, url string) int {
	status, body, err := p.get(ctx, url)
	if err != nil || status != http.StatusOK {
		return -1
	}
	running, err := readLoad(body)
	if err != nil {
		return -1
	}
	return running
}

func readLoad(body []byte) (int, error) {
	report := struct {
		Running int64 `json:"running"`
	}{Running: -1}
	if err := json.Unmarshal(body, &report); err != nil {
		return 0, errors.Wrap(errReport, err.Error())
	}
	if report.Running < 0 || report.Running > maxReportedRunning {
		return 0, errors.Wrap(errReport, "running out of range")
	}
	return int(report.Running), nil
}

func (p *poller) get(ctx context.Context, url string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, min(p.period, maxPollTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "poll")
	}
	res, err := p.client.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "poll")
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return 0, nil, errors.Wrap(err, "poll")
	}
	return res.StatusCode, body, nil
}
