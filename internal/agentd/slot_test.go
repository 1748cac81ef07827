package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// A request that is shed gets its answer while the release of its right is
// still under way.
func TestShedRequestIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.completeWait = time.Minute // longer than the test waits
	w, _, backend := oneAgentWith(t, timing, func(s *settingspb.Agent) { s.QueueMs = 1000 })
	const slots = 4
	var held []inFlight
	for range slots {
		held = append(held, start(t.Context(), w.client, "POST", w.url("/hold")))
	}
	eventually(t, "slots taken", func() bool { return backend.running.Load() == slots })
	shed := start(t.Context(), w.client, "POST", w.url("/run"), headerKey, "k1")
	eventually(t, "right granted", func() bool { return w.control.record("k1") != nil })
	w.control.set(controlDeaf)
	is.Equal((<-shed.got).header.Get(headerOutcome), "not-run")
	eventually(t, "release", func() bool { return w.control.record("k1") == nil })
	w.control.set(controlWell)
	close(backend.hold)
	for _, f := range held {
		is.Equal((<-f.got).body, "held")
	}
}

// The backend server is done when its answer is whole: its slot serves the next
// request while the answer is recorded.
func TestSlotIsFreeWhileTheAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	timing := testTiming()
	timing.completeWait = time.Minute // longer than the test waits
	w, a, backend := oneAgentWith(t, timing, nil)
	held := backend.holdOne(t.Context(), t, w, "POST", headerKey, "k1")
	is.Equal(a.gate.figures().running, 1)
	w.control.set(controlDeaf)
	close(backend.hold)
	eventually(t, "slot given back", func() bool { return a.gate.figures().running == 0 })
	is.Equal(len(held.got), 0) // the caller is told once the answer is recorded
	w.control.set(controlWell)
	is.Equal((<-held.got).body, "held")
}
