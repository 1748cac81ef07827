// Package raft is an agreement core: it keeps the logs of a group of replicas
// the same, after the published Raft algorithm (Ongaro and Ousterhout, 2014;
// membership changes, pre-vote and quorum-confirmed reads after Ongaro's
// dissertation).
//
// Node is a pure step function. It has no clock, socket, disk or goroutine.
// Time comes as calls of Tick, messages as calls of Step, and randomness as a
// source given at the start; the same calls give the same results. Clocks
// decide when something is tried, never whether it is right: a replica that was
// frozen, or whose clock jumps, may hold an election too many, but can neither
// commit nor confirm a read that a later leader contradicts.
//
// # Driving a node
//
// One goroutine calls Tick, Step, Propose and ReadIndex as events come, and
// after each of them:
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
// # The order within a batch
//
// 1. Persist Snapshot, then HardState and Entries, and sync if MustSync is set.
// HardState and Entries go into one atomic write, or HardState first. Entries
// with a term that HardState does not yet have would look, after a crash, like
// a lost vote, and New refuses to start from them. A Snapshot replaces all that
// was stored: were the old entries dropped first, a crash between would leave
// neither.
//
// 2. Send Messages. Each is a promise about durable state. A vote that is sent
// and then forgotten lets this replica vote again in the same term, and two
// leaders of one term replace each other's entries. An acknowledged entry that
// is then forgotten lets a leader count a quorum that does not hold it, and a
// committed entry is lost. A leader's appends wait for the sync too: this costs
// one sync of latency and leaves a single rule. The leader counts its own copy
// of an entry only in Advance.
//
// 3. Apply Restore, then Committed. Restore is the state at an index right
// before the first entry of Committed; the other order would apply entries
// twice or to a state that lacks what they build on. Applying comes after 1
// because an entry may be committed by other replicas and yet be new to this
// disk: a state machine that keeps its own state durably would otherwise be
// ahead of its log after a crash.
//
// 4. Answer Reads. A read is confirmed for an index, and the batch's Committed
// reaches that index; before step 3 the state machine may still lack a write
// that was answered elsewhere.
//
// Advance says that all of this is done. Until then Ready gives no further
// batch, so the work of two batches never interleaves.
//
// # Restart
//
// New takes what was persisted. It accepts a crash between any two of the steps
// above, and refuses a state that only a lost write can explain
// (ErrInconsistent). A commit index that was not synced is learned anew.
//
// # Replicas and incarnations
//
// A replica is a name and an incarnation, and both are compared everywhere. The
// incarnation is made together with the data folder. A replica that lost its
// disk thus comes back as another replica: messages for its former incarnation
// are ignored, its votes count for nothing until it is a voter itself, and so it
// cannot vote twice in one term or help to elect a leader that lacks what its
// former incarnation had acknowledged. It starts without a membership, is added
// as a learner, catches up, and is made a voter; its former incarnation is
// removed by a change of its own.
//
// # Membership
//
// A change is in force as soon as it is in a replica's log, committed or not.
// The other way, in force when applied, would let the quorum that a leader
// counts depend on how far its state machine has come, and would need a rule
// that ties elections to applied entries. The price is that a change may be
// undone when its entry is replaced; the memberships before it are kept for
// that until a snapshot passes them.
//
// A change differs by one member, so that each quorum before it shares a
// replica with each quorum after it. A second change is refused until the first
// is committed, and a new leader proposes none before it has committed an entry
// of its own term: a leader before it may have left a change on a minority, and
// quorums of two different changes need not meet.
//
// # Liveness
//
// Pre-vote: a replica whose election times out first asks whether it could win,
// without raising its term. Quorum check: a leader that has not heard from a
// quorum for an election timeout steps down, and a replica that has heard from
// its leader within that time ignores votes. Together they keep a replica that
// was cut off from unseating a leader on its return, and a leader that is cut
// off from holding callers until their deadline.
//
// A leader that is to stop hands over: TransferLeadership brings the voter that
// is furthest along up to date and lets it stand for election at once, without
// a pre-vote and with a vote that the others answer although they hear their
// leader. Only the time of the election differs from that of any other.
package raft
