package replica

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// requestState is the state of a request.
type requestState int32

const (
	// requestQueued: in the inbox; the caller may cancel it.
	requestQueued requestState = iota
	// requestStarted: taken by the loop.
	requestStarted
	// requestCanceled: canceled by the caller before the loop took it.
	requestCanceled
)

// outcome is the result of a request.
type outcome struct {
	result []byte
	err    error
}

// request is a request of a caller to the loop.
type request struct {
	// size is the memory size, in bytes.
	size int
	// start is called in the loop. It finishes the request or adds it to the
	// waiters.
	start func(*request)
	state atomic.Int32
	// abandoned is set when the caller no longer waits.
	abandoned atomic.Bool
	done      chan outcome
}

func newRequest(size int, start func(*request)) *request {
	return &request{size: size, start: start, done: make(chan outcome, 1)}
}

func (q *request) transition(from, to requestState) bool {
	return q.state.CompareAndSwap(int32(from), int32(to))
}

// do passes a request to the loop and waits for its outcome.
func (r *Replica) do(ctx context.Context, q *request) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrBusy, err)
	}
	if err := r.inbox.addRequest(q); err != nil {
		return nil, err
	}
	select {
	case o := <-q.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if q.transition(requestQueued, requestCanceled) {
		// The loop will not start it.
		return nil, errors.Join(ErrBusy, ctx.Err())
	}
	q.abandoned.Store(true)
	return nil, errors.Join(ErrUnknown, ctx.Err())
}

// response is an outcome to be sent to the caller.
type response struct {
	request *request
	outcome outcome
}

// finish completes a started request. The outcome is sent to the caller by the next
// flush.
func (r *Replica) finish(q *request, result []byte, err error) {
	r.responses = append(r.responses, response{request: q, outcome: outcome{result: result, err: err}})
}

// flush publishes the status and then sends the responses, so that a caller that got
// a response sees a status at least as new.
func (r *Replica) flush() {
	r.publish()
	for _, resp := range r.responses {
		r.inbox.release(resp.request)
		resp.request.done <- resp.outcome
	}
	clear(r.responses)
	r.responses = r.responses[:0]
}
