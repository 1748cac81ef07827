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

// faultyResponses are the flags of a backend server that holds back, cuts short and
// doubles some of its answers. The intervals have no common divisor, so that
// each combination occurs.
var faultyResponses = []string{
	"--fault-late-every=5", "--fault-late-by=80ms",
	"--fault-truncate-every=7", "--fault-cross-every=3",
}

// longResponse is more than an agent holds back until it is whole.
const longResponse = 200 << 10

// TestFaultyResponsesAreNotDelivered sends requests of many callers to such backend
// servers. Each gets its own answer as a whole, or is told that the outcome is
// unknown, or sees its stream reset.
func TestFaultyResponsesAreNotDelivered(t *testing.T) {
	is := is.New(t)
	const workers, requests = 8, 40
	d := deployWith(t, 1, processtest.TargetOptions{Faults: faultyResponses})
	fates := make([]map[string]int, workers)
	var senders conc.WaitGroup
	for worker := range workers {
		fates[worker] = make(map[string]int)
		caller := d.lodgement.NewCaller()
		senders.Go(func() {
			for i := range requests {
				fates[worker][faultyResponseResult(caller, worker, i)]++
			}
		})
	}
	senders.Wait()
	total := make(map[string]int)
	for _, counts := range fates {
		for fate, n := range counts {
			total[fate] += n
		}
	}
	t.Logf("fates: %v", total)
	is.Equal(total["wrong"], 0)
	is.True(total[processtest.OutcomeAnswered] > 0)
	is.True(total[processtest.OutcomeUnknown+" answer-truncated"] > 0)
	is.True(total["reset"] > 0)
}

// faultyResponseResult sends a request whose answer tells it from any other one.
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
