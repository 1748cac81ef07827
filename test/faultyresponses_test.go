package test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// faultyResponses are the flags of a backend server that delays or truncates some of
// its responses, or sends a stray one after them. The intervals have no common
// divisor, so that each combination occurs.
var faultyResponses = []string{
	"--fault-late-every=5", "--fault-late-by=80ms",
	"--fault-truncate-every=7", "--fault-cross-every=3",
}

// longResponse is larger than an agent's response buffer.
const longResponse = 200 << 10

// TestFaultyResponsesAreNotDelivered sends requests of many callers to faulty backend
// servers. Each caller gets its own complete response, an unknown outcome or a stream
// reset.
func TestFaultyResponsesAreNotDelivered(t *testing.T) {
	is := is.New(t)
	const workers, requests = 8, 40
	d := deployWith(t, 1, processtest.TargetOptions{FaultFlags: faultyResponses})
	results := make([]map[string]int, workers)
	var senders conc.WaitGroup
	for worker := range workers {
		results[worker] = make(map[string]int)
		caller := d.lodgement.NewCaller()
		senders.Go(func() {
			for i := range requests {
				results[worker][faultyResponseResult(caller, worker, i)]++
			}
		})
	}
	senders.Wait()
	total := make(map[string]int)
	for _, counts := range results {
		for result, n := range counts {
			total[result] += n
		}
	}
	t.Logf("results: %v", total)
	is.Equal(total["wrong"], 0)
	is.True(total[processtest.OutcomeAnswered] > 0)
	is.True(total[processtest.OutcomeUnknown+" answer-truncated"] > 0)
	is.True(total["reset"] > 0)
}

// faultyResponseResult sends a request with unique content and returns its result.
func faultyResponseResult(caller *processtest.Caller, worker, i int) string {
	content := []byte(fmt.Sprintf("worker %d request %d;", worker, i))
	if i%4 == 0 {
		content = bytes.Repeat(content, longResponse/len(content))
	}
	var header http.Header
	if i%3 == 0 {
		header = processtest.KeyHeader(fmt.Sprintf("worker %d request %d", worker, i))
	}
	answer, err := caller.Do(context.Background(), http.MethodPost, processtest.RunPath(0), header, content)
	switch {
	case err != nil && strings.Contains(err.Error(), "H3_"):
		return "reset"
	case err != nil:
		return err.Error()
	case answer.Outcome == processtest.OutcomeAnswered && !bytes.Equal(answer.Body, content):
		return "wrong"
	case answer.Outcome == processtest.OutcomeAnswered:
		return answer.Outcome
	}
	return answer.Outcome + " " + answer.Reason
}
