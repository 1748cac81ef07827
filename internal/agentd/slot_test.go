package agentd

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The backend server is done when its answer is whole: its slot serves the next
// request while the answer is recorded.
func TestSlotIsFreeWhileTheAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	backend := newFakeBackend(t)
	timing := testTiming()
	timing.completeWait = time.Minute // longer than the test waits
	a := w.startAgentWith("t1", backend.server.URL, timing, nil)
	w.entry.choose(a.FrameAddr(), "")
	client := w.caller()
	done := make(chan answer, 1)
	go func() {
		got, _ := send(client, "POST", w.url("/hold"), "", headerKey, "k1")
		done <- got
	}()
	eventually(t, "request runs", func() bool { return backend.running.Load() == 1 })
	is.Equal(a.gate.figures().running, 1)
	w.control.set(controlDeaf)
	close(backend.hold)
	eventually(t, "slot given back", func() bool { return a.gate.figures().running == 0 })
	is.Equal(len(done), 0) // the caller is told once the answer is recorded
	w.control.set(controlWell)
	is.Equal((<-done).body, "held")
}
