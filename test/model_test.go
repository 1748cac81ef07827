package test

import (
	"maps"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// checkTimeout bounds the check of a history. A timeout fails the test.
const checkTimeout = time.Minute

// kind is the kind of an operator's call.
type kind int

const (
	callSubmit kind = iota
	callShow
	callRead
)

// call is one call of an operator to the control hosts.
type call struct {
	kind kind
	id   string
	base uint64
}

// reply is the reply to a call. It has no verdict if the patch has no outcome.
type reply struct {
	verdict configpb.Verdict
	version uint64
	patch   string
}

func replyOf(o *configpb.Outcome) reply {
	return reply{verdict: o.GetVerdict(), version: o.GetVersion(), patch: o.GetVersionPatch()}
}

// modelState is the replicated state as the model has it.
type modelState struct {
	version  uint64
	patch    string
	outcomes map[string]reply
}

func (a modelState) equal(b modelState) bool {
	return a.version == b.version && a.patch == b.patch && maps.Equal(a.outcomes, b.outcomes)
}

// step applies the call and reports whether the reply is correct.
func (a modelState) step(c call, r reply) (bool, modelState) {
	first, known := a.outcomes[c.id]
	switch {
	case c.kind == callRead:
		return r == reply{version: a.version}, a
	case c.kind == callShow || known:
		return r == first, a
	}
	next := modelState{version: a.version, patch: a.patch, outcomes: maps.Clone(a.outcomes)}
	out := reply{verdict: configpb.Verdict_VERDICT_REFUSED_BASE, version: a.version, patch: a.patch}
	if c.base == a.version {
		next.version++
		next.patch = c.id
		out = reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: next.version, patch: c.id}
	}
	next.outcomes[c.id] = out
	return r == out, next
}

// newModel returns the sequential specification of patches and reads, starting with
// the version that the patch created.
func newModel(version uint64, patch string) porcupine.Model {
	return porcupine.Model{
		Init: func() any {
			return modelState{version: version, patch: patch, outcomes: map[string]reply{}}
		},
		Step: func(state, input, output any) (bool, any) {
			return state.(modelState).step(input.(call), output.(reply))
		},
		Equal: func(a, b any) bool { return a.(modelState).equal(b.(modelState)) },
		Hash:  func(state any) uint64 { return state.(modelState).version },
	}
}

// TestModelRejectsInvalidHistories checks that the model detects violations.
func TestModelRejectsInvalidHistories(t *testing.T) {
	accepted := reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: 2, patch: "a"}
	refused := reply{verdict: configpb.Verdict_VERDICT_REFUSED_BASE, version: 2, patch: "a"}
	submit := func(id string) call { return call{kind: callSubmit, id: id, base: 1} }
	show := func(id string) call { return call{kind: callShow, id: id} }
	op := func(at int64, c call, r reply) porcupine.Operation {
		return porcupine.Operation{Call: at, Return: at + 1, Input: c, Output: r}
	}
	for name, test := range map[string]struct {
		history []porcupine.Operation
		right   bool
	}{
		"right": {[]porcupine.Operation{
			op(1, submit("a"), accepted), op(3, submit("b"), refused), op(5, submit("a"), accepted),
			op(7, show("b"), refused), op(9, call{kind: callRead}, reply{version: 2}),
		}, true},
		"two winners": {[]porcupine.Operation{
			op(1, submit("a"), accepted),
			op(3, submit("b"), reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: 2, patch: "b"}),
		}, false},
		"applied twice":   {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, submit("a"), reply{verdict: accepted.verdict, version: 3, patch: "a"})}, false},
		"refused later":   {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, submit("a"), refused)}, false},
		"outcome is lost": {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, show("a"), reply{})}, false},
		"stale read":      {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, call{kind: callRead}, reply{version: 1})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(porcupine.CheckOperations(newModel(1, "first"), test.history), test.right)
		})
	}
}
