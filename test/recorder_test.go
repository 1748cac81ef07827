package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// callTimeout bounds an operator's call.
const callTimeout = 2 * time.Second

// recorder records the operators' calls and replies with their times.
type recorder struct {
	start time.Time

	mu       sync.Mutex
	history  []porcupine.Operation
	ids      []string
	newest   uint64
	finished int
	// resent counts the repeated calls of a patch, cutResponses the replies lost after
	// the patch took effect, duplicated the patches sent twice at once with two
	// replies.
	resent, cutResponses, duplicated int
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// record appends a call that got a reply.
func (r *recorder) record(client int, from int64, c call, out reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: c, Call: from, Output: out, Return: r.now(),
	})
	r.newest = max(r.newest, out.version)
	if c.kind == callSubmit {
		r.ids = append(r.ids, c.id)
	}
}

func (r *recorder) newestVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// anyID returns the ID of a random patch with an outcome, or an ID without a patch.
func (r *recorder) anyID(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ids) == 0 {
		return "no such patch"
	}
	return r.ids[random.IntN(len(r.ids))]
}

// update calls f with the lock held.
func (r *recorder) update(f func(*recorder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *recorder) finishedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// putPatch returns a patch that puts the service unchanged.
func putPatch(id string, base uint64, s *processtest.Service) *configpb.Patch {
	service := &configpb.Service{Name: s.Name, Addresses: []string{s.Address.String()}, Slots: 4}
	put := &configpb.Operation{Body: &configpb.Operation_PutService{PutService: service}}
	return &configpb.Patch{Id: id, BaseVersion: base, Operations: []*configpb.Operation{put}}
}

// testOperator is one operator. It sends each call to a random host over its own path.
type testOperator struct {
	t        *testing.T
	number   int
	random   *rand.Rand
	recorder *recorder
	paths    []*operatorPath
	service  *processtest.Service
	patches  int
}

func (o *testOperator) path() *operatorPath { return o.paths[o.random.IntN(len(o.paths))] }

// otherPath returns a path to another host.
func (o *testOperator) otherPath(not *operatorPath) *operatorPath {
	for {
		if path := o.path(); path != not {
			return path
		}
	}
}

// show queries the outcome of a patch. Calls without a quorum are not recorded.
func (o *testOperator) show(path *operatorPath, id string) *configpb.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	from := o.recorder.now()
	out, err := path.client.Outcome(ctx, id)
	if err == nil || errors.Is(err, operator.ErrNotFound) {
		o.recorder.record(o.number, from, call{kind: callShow, id: id}, replyOf(out))
	}
	return out
}

// read queries the newest version.
func (o *testOperator) read() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	from := o.recorder.now()
	cfg, confirmed, err := o.path().client.Config(ctx, 0)
	if err == nil && confirmed {
		o.recorder.record(o.number, from, call{kind: callRead}, reply{version: cfg.GetVersion()})
	}
}

// work makes a number of random calls.
func (o *testOperator) work(calls int) {
	for range calls {
		switch o.random.IntN(8) {
		case 0, 1, 2:
			o.patches++
			o.submit(fmt.Sprintf("operator-%d-patch-%d", o.number, o.patches), o.recorder.newestVersion())
		case 3:
			if o.patches > 0 { // a patch with an outcome
				o.submitAgain()
			}
		case 4, 5:
			o.show(o.path(), o.recorder.anyID(o.random))
		default:
			o.read()
		}
		o.recorder.update(func(r *recorder) { r.finished++ })
	}
}

// submitAgain resends the operator's latest patch with its original base.
func (o *testOperator) submitAgain() {
	id := fmt.Sprintf("operator-%d-patch-%d", o.number, o.patches)
	o.recorder.mu.Lock()
	var base uint64
	for _, op := range o.recorder.history {
		if c := op.Input.(call); c.kind == callSubmit && c.id == id {
			base = c.base
		}
	}
	o.recorder.mu.Unlock()
	o.submit(id, base)
}

// check fails the test unless the history is linearizable.
func (r *recorder) check(t *testing.T, model porcupine.Model) {
	t.Helper()
	accepted, refused, reads := 0, 0, 0
	for _, op := range r.history {
		switch op.Output.(reply).verdict {
		case configpb.Verdict_VERDICT_ACCEPTED:
			accepted++
		case configpb.Verdict_VERDICT_REFUSED_BASE:
			refused++
		default:
			reads++
		}
	}
	t.Logf("%d calls: %d accepted, %d refused, %d others; %d resent, %d replies cut, %d sent twice",
		len(r.history), accepted, refused, reads, r.resent, r.cutResponses, r.duplicated)
	is := is.New(t)
	is.True(r.cutResponses > 0) // replies of applied patches were lost
	is.True(r.duplicated > 0)   // patches were sent twice
	result := porcupine.CheckOperationsTimeout(model, r.history, checkTimeout)
	is.Equal(result, porcupine.Ok)
}
