// Package raft implements the Raft consensus algorithm (Ongaro and Ousterhout,
// 2014; membership changes, pre-vote and quorum-confirmed reads as in Ongaro's
// dissertation).
//
// Node is a deterministic state machine without clock, network, disk or
// goroutines. Time is passed in by Tick, messages by Step, and randomness by a
// source in Options; the same calls give the same results. Safety does not
// depend on clocks: a replica that was frozen, or whose clock jumps, may start
// an unnecessary election, but never commits an entry or confirms a read that a
// later leader contradicts.
//
// # Usage
//
// One goroutine calls Tick, Step, Propose and ReadIndex, and after each call
// processes all batches:
//
//	for {
//		batch, ok := node.Ready()
//		if !ok {
//			break
//		}
//		// persist, send, apply, answer reads; in this order
//		node.Advance(batch)
//	}
//
// # Processing a batch
//
// 1. Persist Snapshot, then HardState and Entries, and sync if MustSync is set.
// HardState and Entries are written atomically, or HardState first: New rejects
// entries with a term above that of HardState, since a vote may have been lost.
// The stored entries are dropped only after the Snapshot that replaces them is
// synced: a crash in between would leave neither.
//
// 2. Send Messages. They refer to durable state. If a sent vote is lost, this
// replica may vote twice in one term and elect two leaders, which replace each
// other's entries. If an acknowledged entry is lost, a leader may count a quorum
// that does not hold it, and a committed entry is lost. Appends of a leader also
// wait for the sync, which costs one sync of latency and leaves a single rule, and
// the leader counts its own copy of an entry only in Advance.
//
// 3. Apply Restore, then Committed, which starts right after the restored
// index: the other order would apply entries twice or to a state that lacks what
// they build on. An entry may be committed by other replicas before it is on this disk,
// so applying comes after step 1: a durable state machine must not be ahead of
// its log after a crash.
//
// 4. Answer Reads. The index of each read is applied once step 3 is done; before,
// the state machine may lack a write that was answered elsewhere.
//
// Advance reports that the batch is processed. Ready returns no other batch
// before.
//
// # Restart
//
// New takes the persisted state. It accepts a crash between any two of the
// steps above and returns ErrInconsistent for a state that only a lost write
// can explain. A commit index that was not synced is learned from the leader.
//
// # Replicas and incarnations
//
// A replica is identified by name and incarnation. The incarnation is created
// with the data directory, so a replica that lost its disk is another replica:
// messages to its previous incarnation are ignored, and its votes do not count
// until it is a voter itself. It cannot vote twice in one term or elect a
// leader that lacks entries acknowledged by its previous incarnation. It starts
// without a membership, is added as a learner, catches up and is promoted; the
// previous incarnation is removed by a separate change.
//
// # Membership
//
// A change takes effect when it is appended to the log, committed or not.
// Quorums therefore do not depend on how far a state machine has applied the
// log. If the entry is overwritten, the change is reverted; earlier memberships
// are kept for this until a snapshot covers them.
//
// A change concerns one member, so that every quorum before it overlaps with
// every quorum after it. A second change is refused until the first is
// committed, and a new leader proposes none before it has committed an entry of
// its own term: a previous leader may have left an uncommitted change on a
// minority, and the quorums of two different changes need not overlap.
//
// # Liveness
//
// Pre-vote: a replica whose election timeout expires first asks whether it
// could win, without raising its term. Quorum check: a leader steps down if no
// quorum was active for an election timeout, and a replica with an active
// leader ignores votes. A partitioned replica thus does not depose the leader
// when it returns, and a partitioned leader does not block callers until their
// deadline.
//
// Leadership transfer: TransferLeadership brings the most up-to-date voter
// fully up to date and asks it to start an election at once, without a pre-vote
// and with a vote that replicas answer even while their leader is active. Votes
// are decided as in any other election.
package raft
