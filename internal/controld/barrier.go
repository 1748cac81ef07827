package controld

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// barrier shares confirmed reads: all that ask while one read runs wait for
// the next one together. A wave of subscribers thus costs two rounds.
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
	r, first := b.enlist()
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

func (b *barrier) enlist() (r *round, first bool) {
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
	for r := b.take(); r != nil; r = b.take() {
		ctx, cancel := context.WithTimeout(b.ctx, barrierTimeout)
		r.err = b.read(ctx)
		cancel()
		close(r.done)
	}
}

// take returns the round that starts now, or nil when nobody waits.
func (b *barrier) take() *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.next
	b.next = nil
	b.running = r != nil
	return r
}
