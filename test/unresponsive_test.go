package test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestNewFlowsServedAfterAgentKill kills one of two agents. Every new flow is served,
// also while the lease of the killed one is valid.
func TestNewFlowsServedAfterAgentKill(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	lost := d.targets[d.lodgement][0]
	d.callerOf(t, lost)
	lost.Agent.Kill()
	failed := d.openFlows(6)
	t.Logf("%d of 24 failed", len(failed))
	is.Equal(failed, nil)
}

// TestThawedAgentGetsFlowsAgain freezes an agent until entry hosts consider it
// unresponsive, and thaws it. It gets new flows again without having flows of its own.
func TestThawedAgentGetsFlowsAgain(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	frozen := d.targets[d.lodgement][0]
	frozen.Agent.Freeze()
	processtest.Eventually(t, "the frozen agent is unresponsive", func() bool {
		is.Equal(d.openFlows(1), nil)
		unresponsive := 0.0
		for _, e := range d.entries {
			unresponsive += e.MetricValue("entry_first_forwarded", "reason", "silent")
		}
		return unresponsive > 0
	})
	frozen.Agent.Thaw()
	d.callerOf(t, frozen)
}

// openFlows opens flows from four workers, each opening that many, and returns the
// failures.
func (d *deployment) openFlows(each int) []string {
	var mu sync.Mutex
	var failed []string
	var workers conc.WaitGroup
	for range 4 {
		workers.Go(func() {
			for range each {
				answer, err := d.lodgement.NewCaller().Do(context.Background(), http.MethodGet, "/echo?text=a", nil, nil)
				mu.Lock()
				if err != nil {
					failed = append(failed, err.Error())
				} else if answer.Status != http.StatusOK {
					failed = append(failed, answer.Reason)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return failed
}
