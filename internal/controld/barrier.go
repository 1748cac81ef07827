package controld

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// barrier coalesces confirmed reads: all callers that arrive during a read share the next
// one.
type barrier struct {
	ctx  context.Context
	read func(context.Context) error
	wg   *conc.WaitGroup

	mu      sync.Mutex
	next    *round
	running bool
}

// round is one confirmed read.
type round struct {
	done chan struct{}
	err  error
}

// wait returns once everything that was committed before the call is applied.
func (b *barrier) wait(ctx context.Context) error {
	r, first := b.joinRound()
	if first {
		b.wg.Go(b.run)
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *barrier) joinRound() (r *round, first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &round{done: make(chan struct{})}
	}
	first = !b.running
	b.running = true
	return b.next, first
}

func (b *barrier) run() {
	for r := b.nextRound(); r != nil; r = b.nextRound() {
		ctx, cancel := context.WithTimeout(b.ctx, barrierTimeout)
		r.err = b.read(ctx)
		cancel()
		close(r.done)
	}
}

// nextRound returns the round that starts now, or nil if nobody waits.
func (b *barrier) nextRound() *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.next
	b.next = nil
	b.running = r != nil
	return r
}
