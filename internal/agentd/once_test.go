package agentd

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go/http3"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

func TestResendGetsTheRecordedAnswer(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	first := w.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(first.status, http.StatusCreated)
	is.Equal(first.body, "ran stamp")
	is.Equal(first.header.Get(headerReplayed), "")
	again := w.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(again.status, http.StatusCreated)
	is.Equal(again.body, "ran stamp")
	is.Equal(again.header.Get("Content-Type"), "text/x-run")
	is.Equal(again.header.Get(headerOutcome), "answered")
	is.Equal(again.header.Get(headerReplayed), "true")
	is.Equal(backend.ran("k1"), 1)
	is.Equal(a.counter("answers_replayed", ""), int64(1))
	other := w.mustSend(t, "POST", "/run", "another", headerKey, "k1")
	checkRefused(t, other, http.StatusConflict, "not-run", "key-mismatch")
	is.Equal(backend.ran("k1"), 1)
}

func TestResendToAnotherTarget(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	first := mustSend(t, w.caller(), "POST", w.url("/run"), "stamp", headerKey, "k1")
	is.Equal(first.status, http.StatusCreated)
	second := newFakeBackend(t)
	b := w.startAgent("t2", second.server.URL)
	w.entry.choose(b.FrameAddr(), "")
	again := mustSend(t, w.caller(), "POST", w.url("/run"), "stamp", headerKey, "k1")
	is.Equal(again.header.Get(headerTarget), b.plane.Load().self.String())
	is.Equal(again.body, "ran stamp")
	is.Equal(backend.ran("k1")+second.ran("k1"), 1)
}

func TestUnknownIsFinal(t *testing.T) {
	for _, path := range []string{"/cut?size=100", "/reset", "/crossed", "/cut?size=100&chunked=1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			w, _, backend := oneAgent(t)
			first := w.mustSend(t, "POST", path, "x", headerKey, "k1")
			is.Equal(first.header.Get(headerOutcome), "unknown")
			again := w.mustSend(t, "POST", path, "x", headerKey, "k1")
			checkRefused(t, again, http.StatusBadGateway, "unknown", "held")
			is.Equal(backend.ran("k1"), 1)
		})
	}
}

func TestHeldWhileTheFirstAttemptRuns(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	held := backend.holdOne(t.Context(), t, w, "POST", headerKey, "k1")
	again := w.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(again.header.Get(headerReason), "held")
	close(backend.hold)
	is.Equal((<-held.got).body, "held")
	again = w.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(again.body, "held")
	is.Equal(again.header.Get(headerReplayed), "true")
	is.Equal(backend.ran("k1"), 1)
}

func TestProvenNotRunGivesTheRightBack(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	backend.refuse.Store(3)
	first := w.mustSend(t, "POST", "/echo", "x", headerKey, "k1")
	is.Equal(first.header.Get(headerOutcome), "not-run") // rests on the grant
	is.True(w.control.record("k1") == nil)               // given back before the caller was told
	again := w.mustSend(t, "POST", "/echo", "x", headerKey, "k1")
	is.Equal(again.body, "x")
	is.Equal(backend.ran("k1"), 1)
}

func TestNoQuorumNoRun(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	is.Equal(w.mustSend(t, "GET", "/echo?text=x", "").body, "x")
	w.control.set(controlGone)
	checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	is.Equal(backend.ran("k1"), 0)
	// What may be repeated is served without the control hosts.
	is.Equal(w.mustSend(t, "GET", "/echo?text=y", "").body, "y")
}

// setTable changes the slot table.
func (f *fakeControl) setTable(digest uint64, groups int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table, f.groups = digest, uint32(groups)
}

// An agent that knows an old slot table is refused and asks again by the one
// that it is told.
func TestOldSlotTableIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	for i, table := range []uint64{7, 7, 9, 9} {
		w.control.setTable(table, 1)
		key := fmt.Sprint("k", i)
		is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, key).body, "ran x")
		is.Equal(backend.ran(key), 1)
	}
	// The Acquire of the third request was refused, and nothing else.
	is.Equal(a.counter("grants_of_another_table", ""), int64(1))
}

// checkUnasked holds an answer to be unknown with a time to come back, as the
// control hosts did not tell whether an earlier attempt ran.
func checkUnasked(t *testing.T, got answer, why string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.header.Get(headerOutcome), "unknown")
	is.Equal(got.header.Get(headerReason), why)
	is.True(got.header.Get(headerRetryAfter) != "")
	is.True(got.header.Get(headerRetryAfterMS) != "")
}

// A request that ran is not denied by an agent that can't ask: neither without
// a quorum nor where the request does not get as far as the question.
func TestResendIsNotDenied(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
	held := a.proxy.bodies.total
	is.True(a.proxy.bodies.held.CompareAndSwap(0, held))
	checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "bodies-full")
	a.proxy.bodies.held.Add(-held)
	a.proxy.once.asking.Store(maxGrants)
	checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grants-full")
	a.proxy.once.asking.Store(0)
	w.control.set(controlGone)
	checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	w.control.set(controlWell)
	var again answer
	eventually(t, "answer replayed", func() bool {
		again = w.mustSend(t, "POST", "/run", "x", headerKey, "k1")
		return again.header.Get(headerOutcome) == "answered"
	})
	is.Equal(again.body, "ran x")
	is.Equal(again.header.Get(headerReplayed), "true")
	is.Equal(backend.ran("k1"), 1)
}

// Once the agent knows that no quorum answers, it asks for no more than a probe
// now and then, and tells the other callers without asking.
func TestKnownLossOfQuorumIsToldAtOnce(t *testing.T) {
	for _, mode := range []controlMode{controlGone, controlDeaf} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			is := is.New(t)
			timing := testTiming()
			timing.grantProbe = time.Hour // none while the test asks
			w, a, backend := oneAgentWith(t, timing, nil)
			w.control.set(mode)
			line := a.proxy.once.lines[0]
			eventually(t, "loss known", func() bool {
				_, _ = send(w.client, "POST", w.url("/run"), "x", headerKey, "first")
				return line.away()
			})
			line.allow() // the probe
			asked := w.control.asked("k1")
			checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
			is.Equal(w.control.asked("k1"), asked) // told without asking
			w.control.set(controlWell)
			line.tried(0, true) // as any answer, such as that of a probe
			is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
			is.Equal(backend.ran("k1"), 1)
		})
	}
}

// The loss of one group of grants, once it is known, refuses no key of another.
func TestLostGroupRefusesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.grantProbe = time.Hour // none while the test asks
	w, a, _ := oneAgentWith(t, timing, nil)
	table := grant.NewSlotTable(2)
	w.control.setTable(table.Digest(), table.Groups())
	is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, "learns the table").body, "ran x")
	keys := map[int]string{}
	for i := 0; len(keys) < table.Groups(); i++ {
		key := fmt.Sprint("k", i)
		keys[table.GroupOf(1, key)] = key
	}
	w.control.set(controlDeaf) // the link stands
	eventually(t, "loss known", func() bool {
		_, _ = send(w.client, "POST", w.url("/run"), "x", headerKey, keys[0])
		return a.proxy.once.lines[0].away()
	})
	w.control.set(controlWell)
	is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, keys[1]).body, "ran x")
}

func TestLostGrantIsGivenBack(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	w.control.set(controlDeaf) // grants, but the agent never hears of it
	checkUnasked(t, w.mustSend(t, "POST", "/run", "x", headerKey, "k1"), "grant-unavailable")
	w.control.set(controlWell)
	eventually(t, "right given back", func() bool { return w.control.record("k1") == nil })
	eventually(t, "control hosts heard", func() bool { return !a.proxy.once.lines[0].away() })
	is.Equal(w.mustSend(t, "POST", "/run", "x", headerKey, "k1").body, "ran x")
	is.Equal(backend.ran("k1"), 1)
}

func TestAnswerIsToldWhenItsRecordFails(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	held := backend.holdOne(t.Context(), t, w, "POST", headerKey, "k1")
	w.control.set(controlGone)
	close(backend.hold)
	is.Equal((<-held.got).body, "held") // told all the same
	w.control.set(controlWell)
	eventually(t, "recorded in the background", func() bool { return w.control.record("k1").GetAnswer() != nil })
	is.Equal(string(w.control.record("k1").GetAnswer().GetBody()), "held")
}

// A caller that lost its connection comes back for the answer.
func TestLostConnectionDoesNotStopTheRun(t *testing.T) {
	is := is.New(t)
	w, a, backend := oneAgent(t)
	held := backend.holdOne(t.Context(), t, w, "POST", headerKey, "k1")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start(ctx, w.caller(), "POST", w.url("/hold"), headerKey, "cancelled")
	eventually(t, "the other request runs", func() bool { return backend.running.Load() == 2 })
	must(t, w.client.Transport.(*http3.Transport).Close())
	is.True(<-held.fail != nil)
	eventually(t, "the agent lost the connection", func() bool { return a.lost() == 1 })
	// Another run is cancelled later, after the same span in which a lost
	// connection may show. The first one would have been stopped by then.
	cancel()
	eventually(t, "the other run stops", func() bool { return backend.running.Load() == 1 })
	is.Equal(backend.gone.Load(), int64(1))
	close(backend.hold)
	eventually(t, "answer recorded", func() bool { return w.control.record("k1").GetAnswer() != nil })
	again := mustSend(t, w.caller(), "POST", w.url("/hold"), "", headerKey, "k1")
	is.Equal(again.body, "held")
	is.Equal(again.header.Get(headerReplayed), "true")
	is.Equal(backend.ran("k1"), 1)
}

func TestCancelledRunStops(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	ctx, cancel := context.WithCancel(t.Context())
	held := backend.holdOne(ctx, t, w, "POST", headerKey, "k1")
	cancel()
	is.True(<-held.fail != nil)
	eventually(t, "backend connection closed", func() bool { return backend.gone.Load() == 1 })
	again := w.mustSend(t, "POST", "/hold", "", headerKey, "k1")
	is.Equal(again.header.Get(headerReason), "held") // it may have run: final
	is.Equal(backend.ran("k1"), 1)
}

func TestLongAnswerIsRecordedWithoutItsBody(t *testing.T) {
	// One that is read whole and is too long for the control hosts, and one
	// that is too long to be read whole.
	for _, size := range []int{grant.MaxBodyLength + 1, 200000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			w, _, backend := oneAgent(t)
			url := w.url(fmt.Sprintf("/large?size=%d", size))
			first := mustSend(t, w.client, "GET", url, "", headerKey, "k1")
			is.Equal(len(first.body), size)
			eventually(t, "recorded", func() bool { return w.control.record("k1").GetAnswer().GetBodyOmitted() })
			is.Equal(len(w.control.record("k1").GetAnswer().GetBody()), 0) // not sent for nothing
			again := mustSend(t, w.client, "GET", url, "", headerKey, "k1")
			is.Equal(again.header.Get(headerOutcome), "unknown")
			is.Equal(again.header.Get(headerReason), "answer-omitted")
			is.Equal(backend.ran("k1"), 1)
		})
	}
}

func TestAnsweredErrorsAreRecorded(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	for range 2 {
		got := w.mustSend(t, "POST", "/status?code=500", "", headerKey, "k1")
		is.Equal(got.status, 500)
		is.Equal(got.header.Get(headerOutcome), "answered")
	}
	is.Equal(backend.ran("k1"), 1)
}

func TestKeysAreChecked(t *testing.T) {
	is := is.New(t)
	w, _, backend := oneAgent(t)
	long := make([]byte, maxKeyBytes+1)
	for i := range long {
		long[i] = 'k'
	}
	got := mustSend(t, w.caller(), "POST", w.url("/run"), "x", headerKey, string(long))
	is.Equal(got.status, http.StatusBadRequest)
	is.Equal(got.header.Get(headerReason), "key-invalid")
	is.Equal(backend.ran(string(long)), 0)
}

func TestDecisionsOfTheGrantGroup(t *testing.T) {
	cases := []struct {
		decision grantpb.Decision
		reason   string
		outcome  string
		again    bool
	}{
		{grantpb.Decision_DECISION_HELD, "held", "unknown", true},
		{grantpb.Decision_DECISION_MISMATCH, "key-mismatch", "not-run", false},
		{grantpb.Decision_DECISION_FULL, "keys-full", "not-run", true},
		{grantpb.Decision_DECISION_RELEASED, "grant-unavailable", "unknown", true},
		{grantpb.Decision_DECISION_UNSPECIFIED, "grant-unavailable", "unknown", true},
	}
	for _, c := range cases {
		t.Run(c.decision.String(), func(t *testing.T) {
			is := is.New(t)
			o := &once{}
			got := o.decide(&right{}, &grantpb.Result{Decision: c.decision})
			is.True(got.right == nil)
			is.Equal(got.refusal.reason.String(), c.reason)
			is.Equal(got.refusal.outcome.String(), c.outcome)
			is.Equal(got.refusal.mayComeBack(), c.again)
		})
	}
}
