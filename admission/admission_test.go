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

const farDeadline = time.Minute

func TestLimiterAdmitsThenQueuesThenSheds(t *testing.T) {
	is := is.New(t)
	l := admission.NewLimiter(admission.Limits{Slots: 2, Queue: 1, MaxWait: 50 * time.Millisecond})
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	is.Equal(l.Admit(farDeadline).Action, admission.Queued)
	d := l.Admit(farDeadline)
	is.Equal(d.Action, admission.Shed)
	is.Equal(d.Reason, reason.QueueFull)
	is.True(d.RetryAfter > 0)
	is.Equal(l.Load(), uint32(1500))
	is.True(!l.Dequeue()) // no slot is free
	l.Release(time.Millisecond)
	is.True(l.Dequeue())
	is.Equal(l.Running(), 2)
	is.Equal(l.Waiting(), 0)
}

func TestLimiterShedsOnExpectedWait(t *testing.T) {
	is := is.New(t)
	l := admission.NewLimiter(admission.Limits{Slots: 1, Queue: 8, MaxWait: 50 * time.Millisecond})
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	l.Release(time.Second)
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	d := l.Admit(farDeadline)
	is.Equal(d.Reason, reason.WaitTooLong)
	is.Equal(d.RetryAfter, time.Second) // the expected wait for a slot
}

func TestLimiterShedsOnDeadline(t *testing.T) {
	is := is.New(t)
	l := admission.NewLimiter(admission.Limits{Slots: 2, Queue: 8, MaxWait: time.Second})
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	l.Release(100 * time.Millisecond)
	is.Equal(l.Admit(0).Reason, reason.DeadlineTooClose)
	is.Equal(l.Admit(50*time.Millisecond).Action, admission.Admitted)       // idle: always admitted
	is.Equal(l.Admit(50*time.Millisecond).Reason, reason.DeadlineTooClose)  // would not complete in time
	is.Equal(l.Admit(farDeadline).Action, admission.Admitted)               // takes the second slot
	is.Equal(l.Admit(120*time.Millisecond).Reason, reason.DeadlineTooClose) // wait plus service time exceed the deadline
	is.Equal(l.Admit(200*time.Millisecond).Action, admission.Queued)        // both fit the deadline
	is.Equal(l.Abandon(reason.WaitTooLong).Reason, reason.WaitTooLong)
	is.Equal(l.Waiting(), 0)
}

func TestLimiterWithoutQueue(t *testing.T) {
	is := is.New(t)
	l := admission.NewLimiter(admission.Limits{})
	for range admission.DefaultSlots {
		is.Equal(l.Admit(farDeadline).Action, admission.Admitted)
	}
	is.Equal(l.Admit(farDeadline).Reason, reason.SlotsFull)
}

func TestLimiterNeverExceedsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		queue := rapid.IntRange(0, 6).Draw(t, "queue")
		l := admission.NewLimiter(admission.Limits{Slots: slots, Queue: queue, MaxWait: 100 * time.Millisecond})
		running, waiting := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d := l.Admit(time.Duration(rapid.Int64Range(-10, 500).Draw(t, "remaining")) * time.Millisecond)
				running += boolToInt(d.Action == admission.Admitted)
				waiting += boolToInt(d.Action == admission.Queued)
				if d.Action == admission.Shed && (d.Reason == reason.None || d.RetryAfter <= 0) {
					t.Fatalf("shed without reason or retry delay: %+v", d)
				}
			case 1:
				if running > 0 {
					l.Release(time.Duration(rapid.Int64Range(0, 300).Draw(t, "took")) * time.Millisecond)
					running--
				}
			case 2:
				if l.Dequeue() {
					waiting--
					running++
				}
			case 3:
				if waiting > 0 {
					l.Abandon(reason.CallerGone)
					waiting--
				}
			}
			if l.Running() != running || l.Waiting() != waiting || running > slots || waiting > queue {
				t.Fatalf("running %d/%d of %d, waiting %d/%d of %d", l.Running(), running, slots, l.Waiting(), waiting, queue)
			}
		}
	})
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
