package controld

import "sync"

// hub wakes goroutines after a change. A wake-up carries nothing and waits at
// most once, so a slow reader finds one collapsed change, not a queue.
type hub struct {
	mu      sync.Mutex
	readers map[chan struct{}]bool
}

func newHub() *hub { return &hub{readers: map[chan struct{}]bool{}} }

// join returns a channel that gets a value after each change.
func (h *hub) join() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{}, 1)
	h.readers[c] = true
	return c
}

func (h *hub) leave(c chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.readers, c)
}

func (h *hub) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
