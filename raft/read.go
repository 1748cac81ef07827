package raft

// maxWaitingReads bounds the reads that wait for a quorum.
const maxWaitingReads = 1 << 14

// Read is the outcome of ReadIndex.
type Read struct {
	// Token is the argument of ReadIndex.
	Token uint64
	// Index is the commit index that the read must see. It is applied once the
	// batch with the read is.
	Index uint64
	// Failed is set if this replica lost the leadership before a quorum
	// confirmed it. The read must not be served.
	Failed bool
}

// pendingRead waits for a quorum to confirm its round.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// readQueue holds the reads of a leader.
type readQueue struct {
	// waiting holds tokens not yet assigned to a round.
	waiting []uint64
	// pending holds the reads of rounds in flight, oldest first.
	pending []pendingRead
	// round is the latest round; it restarts at zero when leadership is lost.
	round uint64
	// done holds results for the next batches.
	done []Read
}

// ReadIndex requests an index that covers everything committed in the group
// before the call. The result is returned in Batch.Reads.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if len(n.reads.waiting)+len(n.reads.pending) >= maxWaitingReads {
		return ErrBusy
	}
	n.reads.waiting = append(n.reads.waiting, token)
	return nil
}

// startReadRound starts one heartbeat round for all reads since the last batch.
// It waits until an entry of this term is committed: before that, the commit
// index may be behind that of an earlier leader.
func (n *Node) startReadRound() {
	if len(n.reads.waiting) == 0 || !n.committedInTerm() {
		return
	}
	n.reads.round++
	for _, token := range n.reads.waiting {
		n.reads.pending = append(n.reads.pending, pendingRead{
			token: token,
			index: n.log.commit,
			round: n.reads.round,
		})
	}
	n.reads.waiting = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads completes the reads of rounds that a quorum has confirmed. A
// replica that replies in this term had not voted in a later one, so no later
// leader had committed anything when the round began.
func (n *Node) confirmReads() {
	confirmed := quorumValue(n.membership(), func(key replicaKey) uint64 {
		if key == n.key {
			return n.reads.round
		}
		return n.progressOf(key).readRound
	})
	count := 0
	for _, r := range n.reads.pending {
		if r.round > confirmed {
			break
		}
		n.reads.done = append(n.reads.done, Read{Token: r.token, Index: r.index})
		count++
	}
	n.reads.pending = n.reads.pending[count:]
}

// failReads fails the reads that no quorum has confirmed.
func (n *Node) failReads() {
	for _, r := range n.reads.pending {
		n.reads.done = append(n.reads.done, Read{Token: r.token, Failed: true})
	}
	for _, token := range n.reads.waiting {
		n.reads.done = append(n.reads.done, Read{Token: token, Failed: true})
	}
	n.reads.pending = nil
	n.reads.waiting = nil
	n.reads.round = 0
}

// takeReads removes and returns the results that are valid once the index
// applied is applied.
func (n *Node) takeReads(applied uint64) []Read {
	var ready, later []Read
	for _, r := range n.reads.done {
		if r.Failed || r.Index <= applied {
			ready = append(ready, r)
		} else {
			later = append(later, r)
		}
	}
	n.reads.done = later
	return ready
}
