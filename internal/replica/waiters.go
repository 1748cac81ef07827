package replica

import (
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// commitWaiter waits for the entry of an index and term.
type commitWaiter struct {
	term    uint64
	request *request
	// expires is the tick at which it gets ErrUnknown, 0 for never.
	expires uint64
}

// applyWaiter waits until the state machine has reached an index.
type applyWaiter struct {
	index   uint64
	request *request
}

// waiters holds the requests that are started and not finished.
type waiters struct {
	// commits are by index. A replica that led in several terms may have waiters
	// of different terms for the same index.
	commits map[uint64][]commitWaiter
	reads   map[uint64]*request
	// lastToken is the token of the last read.
	lastToken uint64
	applies   []applyWaiter
}

func newWaiters() waiters {
	return waiters{commits: map[uint64][]commitWaiter{}, reads: map[uint64]*request{}}
}

func (r *Replica) awaitCommit(index, term uint64, q *request) {
	r.waiters.commits[index] = append(r.waiters.commits[index], commitWaiter{term: term, request: q})
}

// completeCommit finishes the requests waiting for the index of a committed entry.
func (r *Replica) completeCommit(e *raftpb.Entry, result []byte) {
	for _, w := range r.waiters.commits[e.GetIndex()] {
		if w.term == e.GetTerm() {
			r.finish(w.request, result, nil)
			continue
		}
		// Another entry was committed at this index.
		r.metrics.superseded.Inc(1)
		r.finish(w.request, nil, ErrNoLeader)
	}
	delete(r.waiters.commits, e.GetIndex())
}

// completeSkipped finishes the requests whose entries are covered by a received
// snapshot. It is unknown whether they were committed.
func (r *Replica) completeSkipped(index uint64) {
	for i, list := range r.waiters.commits {
		if i > index {
			continue
		}
		for _, w := range list {
			r.finishUnknown(w.request)
		}
		delete(r.waiters.commits, i)
	}
}

func (r *Replica) finishUnknown(q *request) {
	r.metrics.unknown.Inc(1)
	r.finish(q, nil, ErrUnknown)
}

// expireOnLeadershipLoss sets a deadline for the pending commits. The next leader may
// still commit them, but this replica may never learn of it.
func (r *Replica) expireOnLeadershipLoss() {
	expires := r.ticks + 2*uint64(r.opts.ElectionTicks)
	for _, list := range r.waiters.commits {
		for i := range list {
			if list[i].expires == 0 {
				list[i].expires = expires
			}
		}
	}
}

// expireCommits finishes expired commits and those whose caller no longer waits.
func (r *Replica) expireCommits() {
	for index, list := range r.waiters.commits {
		remaining := list[:0]
		for _, w := range list {
			expired := w.expires != 0 && w.expires <= r.ticks
			if !expired && !w.request.abandoned.Load() {
				remaining = append(remaining, w)
				continue
			}
			r.finishUnknown(w.request)
		}
		if len(remaining) == 0 {
			delete(r.waiters.commits, index)
			continue
		}
		r.waiters.commits[index] = remaining
	}
}

// dropAbandoned finishes reads whose caller no longer waits.
func (r *Replica) dropAbandoned() {
	for token, q := range r.waiters.reads {
		if q.abandoned.Load() {
			delete(r.waiters.reads, token)
			r.finish(q, nil, ErrNoLeader)
		}
	}
	remaining := r.waiters.applies[:0]
	for _, w := range r.waiters.applies {
		if !w.request.abandoned.Load() {
			remaining = append(remaining, w)
			continue
		}
		r.finish(w.request, nil, ErrNoLeader)
	}
	clear(r.waiters.applies[len(remaining):])
	r.waiters.applies = remaining
}

// completeReads finishes reads. The entries of their batch must be applied.
func (r *Replica) completeReads(reads []raft.Read) {
	for _, read := range reads {
		q, ok := r.waiters.reads[read.Token]
		if !ok {
			continue
		}
		delete(r.waiters.reads, read.Token)
		if read.Failed {
			r.metrics.readsFailed.Inc(1)
			r.finish(q, nil, ErrNoLeader)
			continue
		}
		r.finish(q, encodeIndex(read.Index), nil)
	}
}

// completeApplied finishes the requests whose index is applied.
func (r *Replica) completeApplied() {
	remaining := r.waiters.applies[:0]
	for _, w := range r.waiters.applies {
		if w.index > r.applied {
			remaining = append(remaining, w)
			continue
		}
		r.finish(w.request, nil, nil)
	}
	clear(r.waiters.applies[len(remaining):])
	r.waiters.applies = remaining
}

// failAll fails all requests when the loop ends.
func (r *Replica) failAll() {
	for _, q := range r.inbox.close() {
		if q.transition(requestQueued, requestStarted) {
			r.finish(q, nil, ErrClosed)
		}
	}
	r.failStarted()
}

// failStarted fails the started requests. Proposals get ErrUnknown: they may have
// reached other replicas.
func (r *Replica) failStarted() {
	for _, list := range r.waiters.commits {
		for _, w := range list {
			r.finishUnknown(w.request)
		}
	}
	for _, q := range r.waiters.reads {
		r.finish(q, nil, ErrClosed)
	}
	for _, w := range r.waiters.applies {
		r.finish(w.request, nil, ErrClosed)
	}
	r.waiters = newWaiters()
}
