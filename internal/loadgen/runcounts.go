package loadgen

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
)

const (
	runsWorkers = 8
	runsTimeout = 5 * time.Second
)

// ErrRunsUnavailable reports that the run counts of some backend servers are not known.
var ErrRunsUnavailable = errors.New("run counts of the backend servers not available")

// checkRuns queries every backend server for the run count of each key and fills in
// report.Doubled.
func (g *generator) checkRuns(ctx context.Context, report *Report) error {
	if g.opts.RunCount != nil {
		report.Doubled = &Doubled{}
		for _, outcome := range g.rec.keyOutcomes {
			report.Doubled.add(compareRuns(outcome, g.opts.RunCount(outcome.key)))
		}
		return nil
	}
	if len(g.opts.RunURLs) == 0 {
		return errors.Wrap(ErrRunsUnavailable, "no URLs given")
	}
	client := &http.Client{
		Timeout:   runsTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: runsWorkers},
	}
	defer client.CloseIdleConnections()
	workers := pool.NewWithResults[Doubled]().WithContext(ctx).WithMaxGoroutines(runsWorkers).WithCancelOnError()
	for _, outcome := range g.rec.keyOutcomes {
		workers.Go(func(ctx context.Context) (Doubled, error) {
			runs, err := totalRuns(ctx, client, g.opts.RunURLs, outcome.key)
			return compareRuns(outcome, runs), err
		})
	}
	parts, err := workers.Wait()
	if err != nil {
		return err
	}
	report.Doubled = &Doubled{}
	for _, p := range parts {
		report.Doubled.add(p)
	}
	return nil
}

func (d *Doubled) add(other Doubled) {
	d.Keys += other.Keys
	d.Doubled += other.Doubled
	d.DeniedFalsely += other.DeniedFalsely
	d.AnsweredUnrun += other.AnsweredUnrun
}

// compareRuns compares the outcome of a key with its run count.
func compareRuns(outcome keyOutcome, runs int) Doubled {
	d := Doubled{Keys: 1}
	if runs > 1 {
		d.Doubled = 1
	}
	if outcome.lastClass == ClassNotRun && runs > 0 {
		d.DeniedFalsely = 1
	}
	if outcome.lastClass == ClassAnswered && runs == 0 {
		d.AnsweredUnrun = 1
	}
	return d
}

func totalRuns(ctx context.Context, client *http.Client, urls []string, key string) (int, error) {
	total := 0
	for _, base := range urls {
		n, err := runsAt(ctx, client, base, key)
		if err != nil {
			return 0, errors.Wrapf(ErrRunsUnavailable, "%s: %v", base, err)
		}
		total += n
	}
	return total, nil
}

func runsAt(ctx context.Context, client *http.Client, base, key string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/runs?key="+url.QueryEscape(key), nil)
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 64))
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("status %s", res.Status)
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}
