package controld

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// hostRequests sends requests to several hosts concurrently, at most one at a time to each,
// so that an unreachable host delays no other.
type hostRequests struct {
	send    func(address string)
	calls   conc.WaitGroup
	mu      sync.Mutex
	pending map[string]bool
}

func newHostRequests(send func(address string)) *hostRequests {
	return &hostRequests{send: send, pending: map[string]bool{}}
}

// start sends a request to a host, unless the last one is still pending.
func (r *hostRequests) start(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[address] {
		return
	}
	r.pending[address] = true
	r.calls.Go(func() {
		r.send(address)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pending, address)
	})
}
