package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

const (
	killSeed = 4
	// shortWorkTime keeps requests in flight at any moment of a kill.
	shortWorkTime = 20 * time.Millisecond
	// attemptTimeout ends a request whose answer a killed process took along.
	attemptTimeout = 3 * time.Second
	// maxKeyAttempts is how often a request with a key is sent while its outcome is
	// not known.
	maxKeyAttempts = 3
	// requestsPerQuorumLoss is the number of requests that end while no quorum is
	// there: more than are in flight when it is lost.
	requestsPerQuorumLoss = 6
)

// Fates of one attempt, besides the outcomes of the caller protocol.
const resultLost = "lost"

// resultLog remembers what the callers were told of each request.
type resultLog struct {
	mu      sync.Mutex
	results map[string]string
}

func (a *resultLog) record(name, fate string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results[name] = fate
}

func (a *resultLog) count() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[string]int)
	for _, fate := range a.results {
		counts[fate]++
	}
	return counts
}

// total returns the number of requests whose fate is known.
func (a *resultLog) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.results)
}

// send sends requests until the context ends. Every other one may not be
// repeated: it is sent again, with its key, for as long as its outcome is not
// known.
func (a *resultLog) send(ctx context.Context, s *processtest.Service, worker int) {
	caller := s.NewCaller()
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("worker %d request %d", worker, i)
		path := processtest.RunPath(shortWorkTime)
		var header http.Header
		tries := 1
		if i%2 == 0 {
			header = processtest.KeyHeader(name)
			tries = maxKeyAttempts
		} else {
			path += "&key=" + url.QueryEscape(name)
		}
		fate := resultLost
		for range tries {
			fate = attemptOnce(caller, path, header, name)
			if fate == resultLost {
				caller = s.NewCaller() // its connection may hang
			}
			if fate != resultLost && fate != processtest.OutcomeUnknown {
				break
			}
		}
		a.record(name, fate)
	}
}

func attemptOnce(caller *processtest.Caller, path string, header http.Header, name string) string {
	try, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	answer, err := caller.Do(try, http.MethodPost, path, header.Clone(), []byte(name))
	switch {
	case err != nil:
		return resultLost
	case answer.Outcome == processtest.OutcomeAnswered && string(answer.Body) != name:
		return "wrong answer"
	default:
		return answer.Outcome
	}
}

// TestNotRunOutcomeMatchesRuns kills backend servers, agents and the control host in
// a seeded order under requests, and compares what the callers were told with
// what the backend servers ran. Requests with a key are sent again while their
// outcome is unknown, also to hosts that cannot ask whether they ran; a not-run
// must hold for every attempt.
func TestNotRunOutcomeMatchesRuns(t *testing.T) {
	const kills, workers = 18, 6
	d := deploy(t, 1)
	random := rand.New(rand.NewPCG(killSeed, killSeed))
	told := &resultLog{results: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var senders conc.WaitGroup
	for worker := range workers {
		senders.Go(func() { told.send(ctx, d.lodgement, worker) })
	}
	answered := func() int { return told.count()[processtest.OutcomeAnswered] }
	for range kills {
		before := answered()
		processtest.Eventually(t, "requests run", func() bool { return answered() > before+workers })
		target := d.targets[d.lodgement][random.IntN(2)]
		switch random.IntN(3) {
		case 0:
			target.Backend.Kill()
			target.LaunchBackend()
		case 1:
			target.Agent.Kill()
			target.LaunchAgent()
			target.WaitRegistered()
		default:
			d.loseQuorum(t, told)
		}
	}
	cancel()
	senders.Wait()
	t.Logf("told: %v", told.count())
	for name, fate := range told.results {
		d.checkResult(t, name, fate)
	}
}

// loseQuorum kills the control host and a backend server, so that requests are
// sent again whose first attempt is known to nobody, and starts both again once
// requests have ended without a quorum.
func (d *deployment) loseQuorum(t *testing.T, told *resultLog) {
	t.Helper()
	d.controls[0].Kill()
	target := d.targets[d.lodgement][0]
	target.Backend.Kill()
	target.LaunchBackend()
	before := told.total()
	processtest.Eventually(t, "requests end without a quorum", func() bool { return told.total() > before+requestsPerQuorumLoss })
	d.controls[0].Launch()
	d.controls[0].WaitReady()
}

// checkResult compares what a caller was told with the runs.
func (d *deployment) checkResult(t *testing.T, name, fate string) {
	t.Helper()
	runs := 0
	for _, target := range d.targets[d.lodgement] {
		processtest.Eventually(t, "the backend server is ready", target.Ready)
		runs += target.Runs(name)
	}
	right := runs <= 1
	switch fate {
	case processtest.OutcomeAnswered:
		right = runs == 1
	case processtest.OutcomeNotRun:
		right = runs == 0
	case processtest.OutcomeUnknown, resultLost:
	default:
		right = false
	}
	if !right {
		t.Errorf("%s: told %q, ran %d times", name, fate, runs)
	}
}
