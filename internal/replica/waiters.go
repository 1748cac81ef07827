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

// waiters are the requests that the loop has started and not finished.
type waiters struct {
	// commits may hold several waiters for an index, of different terms: a
	// replica that led twice may have used an index twice.
	commits map[uint64][]commitWaiter
	reads   map[uint64]*request
	// lastToken is the last token given to a read.
	lastToken uint64
	applies   []applyWaiter
}

func newWaiters() waiters {
	return waiters{commits: map[uint64][]commitWaiter{}, reads: map[uint64]*request{}}
}

func (r *Replica) awaitCommit(index, term uint64, q *request) {
	r.waiters.commits[index] = append(r.waiters.commits[index], commitWaiter{term: term, request: q})
}

// answerCommit finishes the requests that wait for the index of a committed
// entry.
func (r *Replica) answerCommit(e *raftpb.Entry, result []byte) {
	for _, w := range r.waiters.commits[e.GetIndex()] {
		if w.term == e.GetTerm() {
			r.finish(w.request, result, nil)
			continue
		}
		// An index has one committed entry, and this is another one.
		r.metrics.superseded.Inc(1)
		r.finish(w.request, nil, ErrNoLeader)
	}
	delete(r.waiters.commits, e.GetIndex())
}

// answerSkipped finishes the requests whose entries a received snapshot
// replaced: it does not tell which entries led to it.
func (r *Replica) answerSkipped(index uint64) {
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

// leadershipLost lets the commits that wait expire: they may still be
// committed by the next leader, which this replica learns of if it soon hears
// from it, and perhaps never otherwise.
func (r *Replica) leadershipLost() {
	expires := r.ticks + 2*uint64(r.opts.ElectionTicks)
	for _, list := range r.waiters.commits {
		for i := range list {
			if list[i].expires == 0 {
				list[i].expires = expires
			}
		}
	}
}

// expireCommits finishes the commits whose time is over, and forgets those
// whose caller has gone.
func (r *Replica) expireCommits() {
	for index, list := range r.waiters.commits {
		kept := list[:0]
		for _, w := range list {
			expired := w.expires != 0 && w.expires <= r.ticks
			if !expired && !w.request.departed.Load() {
				kept = append(kept, w)
				continue
			}
			r.finishUnknown(w.request)
		}
		if len(kept) == 0 {
			delete(r.waiters.commits, index)
			continue
		}
		r.waiters.commits[index] = kept
	}
}

// forgetDeparted makes room for others when the caller of a read has gone.
func (r *Replica) forgetDeparted() {
	for token, q := range r.waiters.reads {
		if q.departed.Load() {
			delete(r.waiters.reads, token)
			r.finish(q, nil, ErrNoLeader)
		}
	}
	kept := r.waiters.applies[:0]
	for _, w := range r.waiters.applies {
		if !w.request.departed.Load() {
			kept = append(kept, w)
			continue
		}
		r.finish(w.request, nil, ErrNoLeader)
	}
	clear(r.waiters.applies[len(kept):])
	r.waiters.applies = kept
}

// answerReads finishes confirmed reads. The batch that carries them is applied.
func (r *Replica) answerReads(reads []raft.Read) {
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

// answerApplied finishes the requests that wait for an applied index.
func (r *Replica) answerApplied() {
	kept := r.waiters.applies[:0]
	for _, w := range r.waiters.applies {
		if w.index > r.applied {
			kept = append(kept, w)
			continue
		}
		r.finish(w.request, nil, nil)
	}
	clear(r.waiters.applies[len(kept):])
	r.waiters.applies = kept
}

// abandonAll finishes everything when the loop ends. What was started may have
// reached other replicas.
func (r *Replica) abandonAll() {
	for _, q := range r.intake.close() {
		if q.move(requestQueued, requestTaken) {
			r.finish(q, nil, ErrClosed)
		}
	}
	r.finishStarted()
}

// finishStarted finishes what the loop has started and cannot go on with.
func (r *Replica) finishStarted() {
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
