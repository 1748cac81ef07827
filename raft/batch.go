package raft

import (
	"math"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Batch is work for the caller. It must be processed in the order described in
// the package comment. Its contents are shared with the node and must not be
// modified.
type Batch struct {
	// HardState is the term, vote and commit index to persist; nil if
	// unchanged.
	HardState *raftpb.HardState
	// Entries are to be persisted. They replace stored entries from the index
	// of the first one on.
	Entries []*raftpb.Entry
	// Snapshot is to be persisted before HardState and Entries; nil if there
	// is none. Once it is synced, all entries stored so far are dropped.
	Snapshot *raftpb.Snapshot
	// MustSync is set if the fields above must be synced before the rest is
	// processed. It is false if only the commit index changed, which may be
	// lost.
	MustSync bool
	// Messages are to be sent after the sync. They may be lost.
	Messages []*raftpb.Message
	// Restore replaces the state of the state machine; nil if there is
	// nothing to restore.
	Restore *raftpb.Snapshot
	// Committed are the entries to apply, after Restore.
	Committed []*raftpb.Entry
	// Reads are to be answered after Committed is applied.
	Reads []Read
}

func (b *Batch) empty() bool {
	return b.HardState == nil && b.Snapshot == nil && b.Restore == nil &&
		len(b.Entries) == 0 && len(b.Messages) == 0 && len(b.Committed) == 0 && len(b.Reads) == 0
}

// hardState is a comparable HardState.
type hardState struct {
	term   uint64
	vote   replicaKey
	commit uint64
}

func (n *Node) hardState() hardState {
	return hardState{term: n.term, vote: keyOf(n.vote), commit: n.log.commit}
}

// Ready returns the next batch; false if there is none or the last batch was
// not advanced yet. Messages and proposals that arrive before Advance take
// effect in the next batch.
func (n *Node) Ready() (Batch, bool) {
	if n.awaitingAdvance {
		return Batch{}, false
	}
	if n.role == RoleLeader {
		n.startReadRound()
		n.replicate()
	}
	applied := n.log.applied
	b := Batch{
		Entries:   n.log.slice(n.log.stable+1, n.log.lastIndex(), math.MaxInt),
		Snapshot:  n.unsavedSnapshot,
		Messages:  n.messages,
		Restore:   n.pendingRestore,
		Committed: n.log.slice(applied+1, n.log.commit, n.opts.MaxBatchBytes),
	}
	b.MustSync = b.Snapshot != nil || len(b.Entries) > 0
	if now := n.hardState(); now != n.savedHardState {
		b.HardState = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
		b.MustSync = b.MustSync || now.term != n.savedHardState.term || now.vote != n.savedHardState.vote
	}
	b.Reads = n.takeReads(applied + uint64(len(b.Committed)))
	if b.empty() {
		return Batch{}, false
	}
	n.messages = nil
	n.unsavedSnapshot = nil
	n.pendingRestore = nil
	n.awaitingAdvance = true
	return b, true
}

// Advance reports that the batch was persisted, sent and applied.
func (n *Node) Advance(b Batch) {
	if !n.awaitingAdvance {
		return
	}
	n.awaitingAdvance = false
	if b.HardState != nil {
		n.savedHardState = hardState{
			term:   b.HardState.GetTerm(),
			vote:   keyOf(b.HardState.GetVote()),
			commit: b.HardState.GetCommit(),
		}
	}
	if count := len(b.Entries); count > 0 {
		last := b.Entries[count-1]
		n.log.stableTo(last.GetIndex(), last.GetTerm())
	}
	if count := len(b.Committed); count > 0 {
		n.log.applied = max(n.log.applied, b.Committed[count-1].GetIndex())
	}
	if n.role == RoleLeader {
		n.progressOf(n.key).match = n.log.stable
		n.maybeCommit()
	}
}
