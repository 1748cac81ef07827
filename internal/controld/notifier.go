package controld

import "sync"

// notifier wakes goroutines after a change. Pending wake-ups of a channel are coalesced
// into one.
type notifier struct {
	mu       sync.Mutex
	channels map[chan struct{}]bool
}

func newNotifier() *notifier { return &notifier{channels: map[chan struct{}]bool{}} }

// subscribe returns a channel that receives a value after each change.
func (h *notifier) subscribe() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{}, 1)
	h.channels[c] = true
	return c
}

func (h *notifier) unsubscribe(c chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.channels, c)
}

func (h *notifier) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.channels {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
