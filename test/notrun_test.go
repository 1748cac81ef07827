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
	// attemptTimeout ends an attempt whose response was lost with a killed process.
	attemptTimeout = 3 * time.Second
	// maxKeyAttempts bounds the attempts of a request with a key while its outcome is
	// unknown.
	maxKeyAttempts = 3
	// requestsPerQuorumLoss is the number of requests that end without a quorum: more
	// than are in flight when it is lost.
	requestsPerQuorumLoss = 6
)

// resultLost is the result of an attempt without a response, beside the outcomes of
// the caller protocol.
const resultLost = "lost"

// resultLog records the result that the caller of each request got.
type resultLog struct {
	mu      sync.Mutex
	results map[string]string
}

func (l *resultLog) record(name, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[name] = result
}

func (l *resultLog) count() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, result := range l.results {
		counts[result]++
	}
	return counts
}

// total returns the number of requests with a result.
func (l *resultLog) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// send sends requests until the context ends. Every other one has a key and is resent
// while its outcome is unknown.
func (l *resultLog) send(ctx context.Context, s *processtest.Service, worker int) {
	caller := s.NewCaller()
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("worker %d request %d", worker, i)
		path := processtest.RunPath(shortWorkTime)
		var header http.Header
		maxAttempts := 1
		if i%2 == 0 {
			header = processtest.KeyHeader(name)
			maxAttempts = maxKeyAttempts
		} else {
			path += "&key=" + url.QueryEscape(name)
		}
		result := resultLost
		for range maxAttempts {
			result = attemptOnce(caller, path, header, name)
			if result == resultLost {
				caller = s.NewCaller() // its connection may hang
			}
			if result != resultLost && result != processtest.OutcomeUnknown {
				break
			}
		}
		l.record(name, result)
	}
}

func attemptOnce(caller *processtest.Caller, path string, header http.Header, name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, http.MethodPost, path, header.Clone(), []byte(name))
	switch {
	case err != nil:
		return resultLost
	case answer.Outcome == processtest.OutcomeAnswered && string(answer.Body) != name:
		return "wrong response"
	default:
		return answer.Outcome
	}
}

// TestNotRunOutcomeMatchesRuns kills backend servers, agents and the control host
// under load and compares the outcomes of the callers with the runs on the backend
// servers. A not-run outcome must hold for every attempt of a key.
func TestNotRunOutcomeMatchesRuns(t *testing.T) {
	const kills, workers = 18, 6
	d := deploy(t, 1)
	random := rand.New(rand.NewPCG(killSeed, killSeed))
	log := &resultLog{results: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var senders conc.WaitGroup
	for worker := range workers {
		senders.Go(func() { log.send(ctx, d.lodgement, worker) })
	}
	answered := func() int { return log.count()[processtest.OutcomeAnswered] }
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
			d.loseQuorum(t, log)
		}
	}
	cancel()
	senders.Wait()
	t.Logf("results: %v", log.count())
	for name, result := range log.results {
		d.checkResult(t, name, result)
	}
}

// loseQuorum kills the control host and a backend server, so that resends find no
// record of the first attempt, and restarts both once requests have ended without a
// quorum.
func (d *deployment) loseQuorum(t *testing.T, log *resultLog) {
	t.Helper()
	d.controls[0].Kill()
	target := d.targets[d.lodgement][0]
	target.Backend.Kill()
	target.LaunchBackend()
	before := log.total()
	processtest.Eventually(t, "requests end without a quorum", func() bool { return log.total() > before+requestsPerQuorumLoss })
	d.controls[0].Launch()
	d.controls[0].WaitReady()
}

// checkResult compares the result of a request with its runs.
func (d *deployment) checkResult(t *testing.T, name, result string) {
	t.Helper()
	runs := 0
	for _, target := range d.targets[d.lodgement] {
		processtest.Eventually(t, "the backend server is ready", target.BackendReady)
		runs += target.RunCount(name)
	}
	right := runs <= 1
	switch result {
	case processtest.OutcomeAnswered:
		right = runs == 1
	case processtest.OutcomeNotRun:
		right = runs == 0
	case processtest.OutcomeUnknown, resultLost:
	default:
		right = false
	}
	if !right {
		t.Errorf("%s: result %q, ran %d times", name, result, runs)
	}
}
