package backend

import "sync"

// Ledger counts how often each idempotency key began to run. It keeps every
// key: the server is for development and tests. It may be used concurrently.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *Ledger) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[key]++
}

// Count returns how often the key began to run.
func (l *Ledger) Count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}
