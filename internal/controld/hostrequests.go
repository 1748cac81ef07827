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
func (a *hostRequests) start(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[address] {
		return
	}
	a.pending[address] = true
	a.calls.Go(func() {
		a.send(address)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.pending, address)
	})
}
