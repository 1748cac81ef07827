package backend

import "sync"

// ledger counts how often each idempotency key began to run. It keeps every
// key: the server is for development and tests.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[key]++
}

func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}
