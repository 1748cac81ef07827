package raft

import (
	"math"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Batch is work for the caller, to be done in the order of its fields; the
// package comment says why. Its contents are shared with the node and must not
// be modified.
type Batch struct {
	// HardState is the term, vote and commit index to persist; nil if
	// unchanged.
	HardState *raftpb.HardState
	// Entries are to persist. Stored entries from the first one's index on
	// are to be dropped.
	Entries []*raftpb.Entry
	// Snapshot is to persist before HardState and Entries, and all entries
	// stored so far are to be dropped after it is synced; nil if there is
	// none.
	Snapshot *raftpb.Snapshot
	// MustSync says that the above must be synced before the rest is done. It
	// is false where only the commit index changed, which may be lost.
	MustSync bool
	// Messages are to send once the above is synced. They may be lost.
	Messages []*raftpb.Message
	// Restore replaces the state machine's state; nil if there is nothing to
	// restore.
	Restore *raftpb.Snapshot
	// Committed are the entries to apply, after Restore.
	Committed []*raftpb.Entry
	// Reads are to be answered after Committed was applied.
	Reads []Read
}

func (b *Batch) empty() bool {
	return b.HardState == nil && b.Snapshot == nil && b.Restore == nil &&
		len(b.Entries) == 0 && len(b.Messages) == 0 && len(b.Committed) == 0 && len(b.Reads) == 0
}

// hardState is a HardState that can be compared.
type hardState struct {
	term   uint64
	vote   replicaKey
	commit uint64
}

func (n *Node) hardState() hardState {
	return hardState{term: n.term, vote: keyOf(n.vote), commit: n.log.commit}
}

// Ready returns the next batch; false if there is nothing to do or the last
// batch was not advanced. Messages and proposals may come while a batch is
// being worked on; their effects come with the next one.
func (n *Node) Ready() (Batch, bool) {
	if n.outstanding {
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
		Restore:   n.restore,
		Committed: n.log.slice(applied+1, n.log.commit, n.opts.MaxBatchBytes),
	}
	b.MustSync = b.Snapshot != nil || len(b.Entries) > 0
	if now := n.hardState(); now != n.saved {
		b.HardState = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
		b.MustSync = b.MustSync || now.term != n.saved.term || now.vote != n.saved.vote
	}
	b.Reads = n.takeReads(applied + uint64(len(b.Committed)))
	if b.empty() {
		return Batch{}, false
	}
	n.messages = nil
	n.unsavedSnapshot = nil
	n.restore = nil
	n.outstanding = true
	return b, true
}

// Advance says that the batch was persisted, sent and applied.
func (n *Node) Advance(b Batch) {
	if !n.outstanding {
		return
	}
	n.outstanding = false
	if b.HardState != nil {
		n.saved = hardState{
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
