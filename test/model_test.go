package test

import (
	"maps"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// checkLimit only bounds how long a history is looked at that has no quick
// answer; an answer that is not known fails the test.
const checkLimit = time.Minute

// kind is what an operator asks.
type kind int

const (
	submitting kind = iota
	showing
	reading
)

// call is one question to the control hosts.
type call struct {
	kind kind
	id   string
	base uint64
}

// reply is its answer. Without a verdict the outcome of a patch is not there.
type reply struct {
	verdict configpb.Verdict
	version uint64
	patch   string
}

func replyOf(o *configpb.Outcome) reply {
	return reply{verdict: o.GetVerdict(), version: o.GetVersion(), patch: o.GetVersionPatch()}
}

// agreed is the state that the control hosts agree on.
type agreed struct {
	version  uint64
	patch    string
	outcomes map[string]reply
}

func (a agreed) equal(b agreed) bool {
	return a.version == b.version && a.patch == b.patch && maps.Equal(a.outcomes, b.outcomes)
}

// step makes the call in the state, all at once, and tells whether the reply
// is the right one.
func (a agreed) step(c call, r reply) (bool, agreed) {
	first, known := a.outcomes[c.id]
	switch {
	case c.kind == reading:
		return r == reply{version: a.version}, a
	case c.kind == showing || known:
		return r == first, a
	}
	next := agreed{version: a.version, patch: a.patch, outcomes: maps.Clone(a.outcomes)}
	out := reply{verdict: configpb.Verdict_VERDICT_REFUSED_BASE, version: a.version, patch: a.patch}
	if c.base == a.version {
		next.version++
		next.patch = c.id
		out = reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: next.version, patch: c.id}
	}
	next.outcomes[c.id] = out
	return r == out, next
}

// modelFrom returns the sequential specification of patches and reads, which
// begins with the version that the patch made.
func modelFrom(version uint64, patch string) porcupine.Model {
	return porcupine.Model{
		Init: func() any {
			return agreed{version: version, patch: patch, outcomes: map[string]reply{}}
		},
		Step: func(state, input, output any) (bool, any) {
			return state.(agreed).step(input.(call), output.(reply))
		},
		Equal: func(a, b any) bool { return a.(agreed).equal(b.(agreed)) },
		Hash:  func(state any) uint64 { return state.(agreed).version },
	}
}

// TestModelRefusesWrongHistories shows that the check can fail: each history
// breaks one promise.
func TestModelRefusesWrongHistories(t *testing.T) {
	accepted := reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: 2, patch: "a"}
	refused := reply{verdict: configpb.Verdict_VERDICT_REFUSED_BASE, version: 2, patch: "a"}
	submit := func(id string) call { return call{kind: submitting, id: id, base: 1} }
	show := func(id string) call { return call{kind: showing, id: id} }
	op := func(at int64, c call, r reply) porcupine.Operation {
		return porcupine.Operation{Call: at, Return: at + 1, Input: c, Output: r}
	}
	for name, test := range map[string]struct {
		history []porcupine.Operation
		right   bool
	}{
		"right": {[]porcupine.Operation{
			op(1, submit("a"), accepted), op(3, submit("b"), refused), op(5, submit("a"), accepted),
			op(7, show("b"), refused), op(9, call{kind: reading}, reply{version: 2}),
		}, true},
		"two winners": {[]porcupine.Operation{
			op(1, submit("a"), accepted),
			op(3, submit("b"), reply{verdict: configpb.Verdict_VERDICT_ACCEPTED, version: 2, patch: "b"}),
		}, false},
		"applied twice":   {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, submit("a"), reply{verdict: accepted.verdict, version: 3, patch: "a"})}, false},
		"refused later":   {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, submit("a"), refused)}, false},
		"outcome is lost": {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, show("a"), reply{})}, false},
		"stale read":      {[]porcupine.Operation{op(1, submit("a"), accepted), op(3, call{kind: reading}, reply{version: 1})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(porcupine.CheckOperations(modelFrom(1, "first"), test.history), test.right)
		})
	}
}
