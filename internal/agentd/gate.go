package agentd

import (
	"context"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// gate gives out the slots of the backend server in the order of arrival.
type gate struct {
	mu    sync.Mutex
	state *admission.Limiter
	queue []*waiter
	// spent is the time that requests ran or waited, added up over them, at
	// the time changed.
	spent   time.Duration
	changed time.Time
}

// waiter is one request in the queue. Its channel is closed when it has a
// slot.
type waiter struct {
	ready chan struct{}
}

func newGate(limits admission.Limits) *gate {
	return &gate{state: admission.NewLimiter(limits), changed: time.Now()}
}

func (g *gate) setLimits(limits admission.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.SetLimits(limits)
	g.wake()
}

// enter waits for a slot, for no longer than the verdict allows. The caller
// gives a slot back by leave.
func (g *gate) enter(ctx context.Context, remaining time.Duration) admission.Decision {
	verdict, w := g.arrive(remaining)
	if verdict.Action != admission.Queued {
		return verdict
	}
	timer := time.NewTimer(verdict.MaxWait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return admission.Decision{Action: admission.Admitted}
	case <-timer.C:
		return g.abandon(w, reason.WaitTooLong)
	case <-ctx.Done():
		return g.abandon(w, ctxReason(ctx, reason.DeadlineInQueue, reason.CallerGone))
	}
}

func (g *gate) arrive(remaining time.Duration) (admission.Decision, *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally()
	verdict := g.state.Admit(remaining)
	if verdict.Action != admission.Queued {
		return verdict, nil
	}
	w := &waiter{ready: make(chan struct{})}
	g.queue = append(g.queue, w)
	return verdict, w
}

// abandon takes a request out of the queue. It may have got its slot in the
// meantime, and then keeps it.
func (g *gate) abandon(w *waiter, why reason.Code) admission.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally()
	for i, other := range g.queue {
		if other == w {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return g.state.Abandon(why)
		}
	}
	return admission.Decision{Action: admission.Admitted}
}

// leave gives a slot back. took is 0 for a request that did not run to its
// end.
func (g *gate) leave(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally()
	g.state.Release(took)
	g.wake()
}

// tally adds up the time since the last change. It is called before each.
func (g *gate) tally() {
	now := time.Now()
	g.spent += time.Duration(g.state.Running()+g.state.Waiting()) * now.Sub(g.changed)
	g.changed = now
}

// wake gives free slots to the requests that wait longest.
func (g *gate) wake() {
	for len(g.queue) > 0 && g.state.Dequeue() {
		close(g.queue[0].ready)
		g.queue = g.queue[1:]
	}
}

// gateFigures is a look at a gate.
type gateFigures struct {
	running, waiting, slots int
	comeBack                time.Duration
	// spent is the time that requests ran or waited so far, added up over
	// them, and at when that was.
	spent time.Duration
	at    time.Time
}

// since returns the mean number of requests that ran or waited since an
// earlier look, and the time in between.
func (f gateFigures) since(earlier gateFigures) (requests float64, over time.Duration) {
	over = f.at.Sub(earlier.at)
	if over <= 0 {
		return float64(f.running + f.waiting), 0
	}
	return float64(f.spent-earlier.spent) / float64(over), over
}

func (g *gate) figures() gateFigures {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally()
	return gateFigures{
		spent:    g.spent,
		at:       g.changed,
		running:  g.state.Running(),
		waiting:  g.state.Waiting(),
		slots:    g.state.Slots(),
		comeBack: g.state.RetryAfter(),
	}
}
