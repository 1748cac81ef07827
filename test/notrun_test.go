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
	// shortWork keeps requests in flight at any moment of a kill.
	shortWork = 20 * time.Millisecond
	// attemptLimit ends a request whose answer a killed process took along.
	attemptLimit = 3 * time.Second
)

// Fates of one attempt, besides the outcomes of the caller protocol.
const fateLost = "lost"

// attempts remembers what the callers were told of each request.
type attempts struct {
	mu    sync.Mutex
	fates map[string]string
}

func (a *attempts) tell(name, fate string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fates[name] = fate
}

func (a *attempts) count() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[string]int)
	for _, fate := range a.fates {
		counts[fate]++
	}
	return counts
}

// send sends requests, each once, until the context ends. Every other one may
// not be repeated.
func (a *attempts) send(ctx context.Context, s *processtest.Service, worker int) {
	caller := s.NewCaller()
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("worker %d request %d", worker, i)
		path := processtest.RunPath(shortWork)
		var header http.Header
		if i%2 == 0 {
			header = processtest.KeyHeader(name)
		} else {
			path += "&key=" + url.QueryEscape(name)
		}
		try, cancel := context.WithTimeout(context.Background(), attemptLimit)
		answer, err := caller.Do(try, http.MethodPost, path, header, []byte(name))
		cancel()
		switch {
		case err != nil:
			a.tell(name, fateLost)
			caller = s.NewCaller() // its connection may hang
		case answer.Outcome == processtest.OutcomeAnswered && string(answer.Body) != name:
			a.tell(name, "wrong answer")
		default:
			a.tell(name, answer.Outcome)
		}
	}
}

// TestNotRunIsNeverFalse kills backend servers and agents in a seeded order
// under requests that are each sent once, and compares what the callers were
// told with what the backend servers ran.
func TestNotRunIsNeverFalse(t *testing.T) {
	const kills, workers = 12, 6
	d := deploy(t, 1)
	random := rand.New(rand.NewPCG(killSeed, killSeed))
	told := &attempts{fates: make(map[string]string)}
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
		if random.IntN(2) == 0 {
			target.Backend.Kill()
			target.LaunchBackend()
			continue
		}
		target.Agent.Kill()
		target.LaunchAgent()
		target.WaitRegistered()
	}
	cancel()
	senders.Wait()
	t.Logf("told: %v", told.count())
	for name, fate := range told.fates {
		d.checkFate(t, name, fate)
	}
}

// checkFate compares what a caller was told with the runs.
func (d *deployment) checkFate(t *testing.T, name, fate string) {
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
	case processtest.OutcomeUnknown, fateLost:
	default:
		right = false
	}
	if !right {
		t.Errorf("%s: told %q, ran %d times", name, fate, runs)
	}
}
