package replica

import (
	"sync"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// intake is the bounded queue between callers and the loop.
type intake struct {
	// wake holds a token while there is something to take.
	wake chan struct{}

	maxRequests int

	mu       sync.Mutex
	closed   bool
	requests []*request
	// waiting and waitingBytes count the requests without an outcome, queued
	// or not.
	waiting      int
	waitingBytes int
	messages     []*raftpb.Message
	messageBytes int
}

func newIntake(maxRequests int) *intake {
	return &intake{wake: make(chan struct{}, 1), maxRequests: maxRequests}
}

func (in *intake) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// addRequest queues a request, or returns ErrBusy or ErrClosed.
func (in *intake) addRequest(q *request) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return ErrClosed
	}
	if in.waiting >= in.maxRequests {
		return ErrBusy
	}
	if in.waiting > 0 && in.waitingBytes+q.size > maxRequestBytes {
		return ErrBusy
	}
	in.waiting++
	in.waitingBytes += q.size
	in.requests = append(in.requests, q)
	in.signal()
	return nil
}

// release makes room for another request.
func (in *intake) release(q *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting--
	in.waitingBytes -= q.size
}

// addMessages queues messages and returns how many it dropped for lack of
// room. A lost message is repeated by its sender.
func (in *intake) addMessages(msgs []*raftpb.Message) (dropped int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return len(msgs)
	}
	for _, m := range msgs {
		size := messageSize(m)
		if in.messageBytes > 0 && in.messageBytes+size > maxMessageBytes {
			dropped++
			continue
		}
		in.messageBytes += size
		in.messages = append(in.messages, m)
	}
	in.signal()
	return dropped
}

// take empties the queue.
func (in *intake) take() ([]*request, []*raftpb.Message) {
	in.mu.Lock()
	defer in.mu.Unlock()
	requests, messages := in.requests, in.messages
	in.requests, in.messages = nil, nil
	in.messageBytes = 0
	return requests, messages
}

// close refuses everything from now on and returns the requests still queued.
func (in *intake) close() []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	requests := in.requests
	in.requests, in.messages = nil, nil
	return requests
}

// messageSize is roughly what a message holds in memory, in bytes.
func messageSize(m *raftpb.Message) int {
	const (
		messageOverhead = 256
		entryOverhead   = 96
	)
	size := messageOverhead + len(m.GetSnapshot().GetData())
	for _, e := range m.GetEntries() {
		size += entryOverhead + len(e.GetData())
	}
	return size
}
