package replica

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// requestState tells who may still decide on a request.
type requestState int32

const (
	// requestQueued: the loop has not seen it; the caller may take it back.
	requestQueued requestState = iota
	// requestTaken: the loop works on it.
	requestTaken
	// requestAbandoned: the caller took it back.
	requestAbandoned
)

// outcome answers a request.
type outcome struct {
	result []byte
	err    error
}

// request is something that a caller asks of the loop.
type request struct {
	// size is what it holds in memory, in bytes.
	size int
	// start runs in the loop. It finishes the request or registers it with
	// one of the loop's lists.
	start func(*request)
	state atomic.Int32
	// departed says that the caller waits no longer.
	departed atomic.Bool
	done     chan outcome
}

func newRequest(size int, start func(*request)) *request {
	return &request{size: size, start: start, done: make(chan outcome, 1)}
}

func (q *request) move(from, to requestState) bool {
	return q.state.CompareAndSwap(int32(from), int32(to))
}

// do hands a request to the loop and waits for its outcome.
func (r *Replica) do(ctx context.Context, q *request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrBusy, err)
	}
	if err := r.intake.addRequest(q); err != nil {
		return nil, err
	}
	select {
	case o := <-q.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if q.move(requestQueued, requestAbandoned) {
		// The loop has not seen it and will not start it.
		return nil, errors.Join(ErrBusy, ctx.Err())
	}
	q.departed.Store(true)
	return nil, errors.Join(ErrUnknown, ctx.Err())
}

// answer is an outcome on its way to the caller.
type answer struct {
	request *request
	outcome outcome
}

// finish ends a request that the loop has taken. The caller hears of it at the
// next flush.
func (r *Replica) finish(q *request, result []byte, err error) {
	r.answers = append(r.answers, answer{request: q, outcome: outcome{result: result, err: err}})
}

// flush publishes the status and then gives out the answers, so that whoever
// got an answer finds a status at least as new.
func (r *Replica) flush() {
	r.publish()
	for _, a := range r.answers {
		r.intake.release(a.request)
		a.request.done <- a.outcome
	}
	clear(r.answers)
	r.answers = r.answers[:0]
}
