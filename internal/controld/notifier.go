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
func (n *notifier) subscribe() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := make(chan struct{}, 1)
	n.channels[c] = true
	return c
}

func (n *notifier) unsubscribe(c chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.channels, c)
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.channels {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
