package replica

import (
	"sync"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// inbox is the bounded queue between callers and the loop.
type inbox struct {
	// wake holds a token while the inbox may not be empty.
	wake chan struct{}

	maxRequests int

	mu       sync.Mutex
	closed   bool
	requests []*request
	// waiting and waitingBytes count the requests without a result, queued or
	// started.
	waiting      int
	waitingBytes int
	messages     []*raftpb.Message
	messageBytes int
}

func newInbox(maxRequests int) *inbox {
	return &inbox{wake: make(chan struct{}, 1), maxRequests: maxRequests}
}

func (in *inbox) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// addRequest queues a request, or returns ErrBusy or ErrClosed.
func (in *inbox) addRequest(q *request) error {
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

// release frees the capacity held by a request.
func (in *inbox) release(q *request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting--
	in.waitingBytes -= q.size
}

// addMessages queues messages and returns how many it dropped because the inbox
// is full. Raft recovers from lost messages.
func (in *inbox) addMessages(msgs []*raftpb.Message) (dropped int) {
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
func (in *inbox) take() ([]*request, []*raftpb.Message) {
	in.mu.Lock()
	defer in.mu.Unlock()
	requests, messages := in.requests, in.messages
	in.requests, in.messages = nil, nil
	in.messageBytes = 0
	return requests, messages
}

// close refuses further requests and messages and returns the queued requests.
func (in *inbox) close() []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	requests := in.requests
	in.requests, in.messages = nil, nil
	return requests
}

// messageSize returns the approximate memory size of a message, in bytes.
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
