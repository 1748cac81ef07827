package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// oneFreezable starts an agent whose backend server need not announce itself
// again, and returns what passes a standstill.
func oneFreezable(t *testing.T) (w *world, a *agent, backend *fakeBackend, freeze func()) {
	t.Helper()
	timing := testTiming()
	timing.announceLease = time.Hour
	w, a, backend = oneAgentWith(t, timing, nil)
	return w, a, backend, func() { a.ahead.Add(int64(timing.standstill) + 1) }
}

// A request with a key that may have waited while the agent was frozen does not
// run; others do.
func TestWhatWaitedInAFrozenAgentDoesNotRun(t *testing.T) {
	is := is.New(t)
	w, a, backend, freeze := oneFreezable(t)
	client := w.caller()
	is.Equal(mustSend(t, client, "POST", w.url("/run"), "x", headerKey, "k0").body, "ran x")
	freeze()
	checkUnasked(t, mustSend(t, client, "POST", w.url("/run"), "x", headerKey, "k1"), "agent-stalled")
	is.Equal(w.control.asked("k1"), 0)
	is.Equal(backend.ran("k1"), 0)
	is.Equal(mustSend(t, client, "GET", w.url("/echo?text=y"), "").body, "y") // it has no key
	// On a new connection nothing can have waited.
	is.Equal(mustSend(t, w.caller(), "POST", w.url("/run"), "x", headerKey, "k1").body, "ran x")
	a.ahead.Add(int64(a.timing.thawGrace))
	is.Equal(mustSend(t, client, "POST", w.url("/run"), "x", headerKey, "k2").body, "ran x")
	is.Equal(a.counter("standstills", ""), int64(1))
	is.Equal(a.counter("requests_unknown", "agent-stalled"), int64(1))
}

// The question for a grant may have waited as well: what it grants does not run
// and is given back. So may its answer: a refusal may no longer be true.
func TestGrantOverAStandstillDoesNotRun(t *testing.T) {
	is := is.New(t)
	w, _, backend, freeze := oneFreezable(t)
	client := w.caller()
	is.Equal(mustSend(t, client, "POST", w.url("/run"), "x", headerKey, "k2").body, "ran x")
	w.control.beforeEach(func(command *grantpb.Command) {
		if command.GetAcquire() != nil {
			freeze()
		}
	})
	checkUnasked(t, mustSend(t, client, "POST", w.url("/run"), "x", headerKey, "k1"), "agent-stalled")
	is.True(w.control.asked("k1") > 0)
	is.Equal(backend.ran("k1"), 0)
	eventually(t, "right given back", func() bool { return w.control.record("k1") == nil })
	checkUnasked(t, mustSend(t, w.caller(), "POST", w.url("/run"), "another", headerKey, "k2"), "agent-stalled")
}

// beforeEach sets what is called before a command is applied.
func (f *fakeControl) beforeEach(call func(*grantpb.Command)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = call
}
