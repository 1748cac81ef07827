package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

const far = time.Minute

func TestGateRunsThenQueuesThenSheds(t *testing.T) {
	is := is.New(t)
	g := admission.NewLimiter(admission.Limits{Slots: 2, Queue: 1, MaxWait: 50 * time.Millisecond})
	is.Equal(g.Admit(far).Action, admission.Admitted)
	is.Equal(g.Admit(far).Action, admission.Admitted)
	is.Equal(g.Admit(far).Action, admission.Queued)
	v := g.Admit(far)
	is.Equal(v.Action, admission.Shed)
	is.Equal(v.Reason, reason.QueueFull)
	is.True(v.RetryAfter > 0)
	is.Equal(g.Load(), uint32(1500))
	is.True(!g.Dequeue()) // no slot is free
	g.Release(time.Millisecond)
	is.True(g.Dequeue())
	is.Equal(g.Running(), 2)
	is.Equal(g.Waiting(), 0)
}

func TestGateShedsOnExpectedWait(t *testing.T) {
	is := is.New(t)
	g := admission.NewLimiter(admission.Limits{Slots: 1, Queue: 8, MaxWait: 50 * time.Millisecond})
	is.Equal(g.Admit(far).Action, admission.Admitted)
	g.Release(time.Second)
	is.Equal(g.Admit(far).Action, admission.Admitted)
	v := g.Admit(far)
	is.Equal(v.Reason, reason.WaitTooLong)
	is.Equal(v.RetryAfter, time.Second) // the time after which a slot is expected
}

func TestGateShedsOnDeadline(t *testing.T) {
	is := is.New(t)
	g := admission.NewLimiter(admission.Limits{Slots: 2, Queue: 8, MaxWait: time.Second})
	is.Equal(g.Admit(far).Action, admission.Admitted)
	g.Release(100 * time.Millisecond)
	is.Equal(g.Admit(0).Reason, reason.DeadlineTooClose)
	is.Equal(g.Admit(50*time.Millisecond).Action, admission.Admitted)       // idle: observes again
	is.Equal(g.Admit(50*time.Millisecond).Reason, reason.DeadlineTooClose)  // would not end in time
	is.Equal(g.Admit(far).Action, admission.Admitted)                       // takes the second slot
	is.Equal(g.Admit(120*time.Millisecond).Reason, reason.DeadlineTooClose) // wait and run do not fit
	is.Equal(g.Admit(200*time.Millisecond).Action, admission.Queued)        // both fit
	is.Equal(g.Abandon(reason.WaitTooLong).Reason, reason.WaitTooLong)
	is.Equal(g.Waiting(), 0)
}

func TestGateWithoutQueue(t *testing.T) {
	is := is.New(t)
	g := admission.NewLimiter(admission.Limits{})
	for range admission.DefaultSlots {
		is.Equal(g.Admit(far).Action, admission.Admitted)
	}
	is.Equal(g.Admit(far).Reason, reason.SlotsFull)
}

func TestGateNeverExceedsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		queue := rapid.IntRange(0, 6).Draw(t, "queue")
		g := admission.NewLimiter(admission.Limits{Slots: slots, Queue: queue, MaxWait: 100 * time.Millisecond})
		running, waiting := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				v := g.Admit(time.Duration(rapid.Int64Range(-10, 500).Draw(t, "remaining")) * time.Millisecond)
				running += count(v.Action == admission.Admitted)
				waiting += count(v.Action == admission.Queued)
				if v.Action == admission.Shed && (v.Reason == reason.None || v.RetryAfter <= 0) {
					t.Fatalf("shed without reason or time to come back: %+v", v)
				}
			case 1:
				if running > 0 {
					g.Release(time.Duration(rapid.Int64Range(0, 300).Draw(t, "took")) * time.Millisecond)
					running--
				}
			case 2:
				if g.Dequeue() {
					waiting--
					running++
				}
			case 3:
				if waiting > 0 {
					g.Abandon(reason.CallerGone)
					waiting--
				}
			}
			if g.Running() != running || g.Waiting() != waiting || running > slots || waiting > queue {
				t.Fatalf("running %d/%d of %d, waiting %d/%d of %d", g.Running(), running, slots, g.Waiting(), waiting, queue)
			}
		}
	})
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
