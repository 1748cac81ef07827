package link

import (
	"sync"

	"github.com/go-faster/errors"
)

// errDrained is the cause of a call on a connection that is drained.
var errDrained = errors.New("connection was left")

// inflight counts the calls of a connection so that it can be closed once they have ended.
type inflight struct {
	mu      sync.Mutex
	n       int
	drained chan struct{}
	closed  bool
}

// begin counts a call. It reports false once the connection is drained.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.closeIfIdle()
}

// drain returns a channel that is closed when no call is in progress.
func (f *inflight) drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drained == nil {
		f.drained = make(chan struct{})
	}
	f.closeIfIdle()
	return f.drained
}

func (f *inflight) closeIfIdle() {
	if f.n == 0 && f.drained != nil && !f.closed {
		f.closed = true
		close(f.drained)
	}
}
