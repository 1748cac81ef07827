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

// callTimeout is when an operator gives up on an answer, as when it is lost.
const callTimeout = 2 * time.Second

// recorder notes what operators ask and are told, and when.
type recorder struct {
	start time.Time

	mu       sync.Mutex
	history  []porcupine.Operation
	ids      []string
	newest   uint64
	finished int
	// resent counts calls after the first one of a patch, cut the answers that
	// were cut after the patch took effect, and doubled the patches that were
	// sent twice at once and answered twice.
	resent, cutResponses, duplicated int
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// record records a call that was answered.
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

// anyID returns the identifier of a patch whose outcome was told, or of none.
func (r *recorder) anyID(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ids) == 0 {
		return "no such patch"
	}
	return r.ids[random.IntN(len(r.ids))]
}

// update lets f change a counter.
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

// putPatch returns a patch that puts the service as it is.
func putPatch(id string, base uint64, s *processtest.Service) *configpb.Patch {
	service := &configpb.Service{Name: s.Name, Addresses: []string{s.Address.String()}, Slots: 4}
	put := &configpb.Operation{Body: &configpb.Operation_PutService{PutService: service}}
	return &configpb.Patch{Id: id, BaseVersion: base, Operations: []*configpb.Operation{put}}
}

// testOperator is one operator. It asks a host drawn for each call, over a
// path of its own.
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

// otherPath returns a path to another host than this one leads to.
func (o *testOperator) otherPath(not *operatorPath) *operatorPath {
	for {
		if path := o.path(); path != not {
			return path
		}
	}
}

// show asks for the outcome of a patch. A call that no quorum confirms tells
// nothing and is left out.
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

// read asks for the newest version.
func (o *testOperator) read() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	from := o.recorder.now()
	cfg, confirmed, err := o.path().client.Config(ctx, 0)
	if err == nil && confirmed {
		o.recorder.record(o.number, from, call{kind: callRead}, reply{version: cfg.GetVersion()})
	}
}

// work makes a number of calls, drawn by chance.
func (o *testOperator) work(calls int) {
	for range calls {
		switch o.random.IntN(8) {
		case 0, 1, 2:
			o.patches++
			o.submit(fmt.Sprintf("operator-%d-patch-%d", o.number, o.patches), o.recorder.newestVersion())
		case 3:
			if o.patches > 0 { // an answered patch, sent again by its operator
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

// submitAgain repeats the operator's latest patch, under the base it had.
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

// check fails the test unless some order of the calls, each at one moment
// between question and answer, explains all answers.
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
	t.Logf("%d calls: %d told accepted, %d told refused, %d others; %d sent again, %d answers cut, %d sent twice",
		len(r.history), accepted, refused, reads, r.resent, r.cutResponses, r.duplicated)
	is := is.New(t)
	is.True(r.cutResponses > 0) // answers of patches that took effect were lost
	is.True(r.duplicated > 0)   // patches were sent twice
	result := porcupine.CheckOperationsTimeout(model, r.history, checkTimeout)
	is.Equal(result, porcupine.Ok)
}
