package raft

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// becomeLeader starts the term with an empty entry. Entries of earlier terms
// are committed only together with an entry of this term; committed alone, they
// could still be overwritten by a later leader.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self
	n.leaderSeen = true
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.progress = nil
	n.syncProgress()
	n.progressOf(n.key).match = n.log.stable
	n.uncommittedBytes = n.log.bytes(n.log.commit+1, n.log.lastIndex())
	n.appendEntry(raftpb.EntryKind_ENTRY_EMPTY, nil)
	n.heartbeatCommit = n.log.lastIndex()
}

// Propose appends a command. It is committed when Batch.Committed contains an
// entry with this index and term; another term at this index means that it was
// overwritten.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkCanPropose(len(data)); err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(raftpb.EntryKind_ENTRY_COMMAND, data)
	return index, n.term, nil
}

// ProposeMembership appends a membership that differs from the current one by
// one member: a learner added, a caught-up learner promoted, a voter demoted, a
// member removed, or an address changed. It takes effect at once. Only one
// change may be uncommitted.
func (n *Node) ProposeMembership(m *raftpb.Membership) (index, term uint64, err error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0, 0, errors.Wrapf(ErrInvalidMembership, "marshal: %v", err)
	}
	if err := n.checkCanPropose(len(data)); err != nil {
		return 0, 0, err
	}
	if n.membershipIndex() > n.log.commit {
		return 0, 0, ErrChangePending
	}
	if !n.committedInTerm() {
		// A change of another leader may exist on a minority. Without an entry
		// of this term on a quorum of the old membership, the quorums of both
		// changes need not overlap.
		return 0, 0, ErrBusy
	}
	if err := n.validateChange(m); err != nil {
		return 0, 0, err
	}
	term = n.term
	index = n.appendEntry(raftpb.EntryKind_ENTRY_MEMBERSHIP, data)
	// The new quorum may be smaller and already hold earlier entries.
	n.maybeCommit()
	return index, term, nil
}

// checkCanPropose returns an error if this replica may not append an entry of
// size bytes.
func (n *Node) checkCanPropose(size int) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !isVoter(n.membership(), n.key) {
		// It leads only until its removal is committed.
		return ErrBusy
	}
	if n.transfer != nil {
		// The successor cannot win while it lacks an entry.
		return ErrBusy
	}
	limit := n.opts.MaxInflight * n.opts.MaxBatchBytes
	if n.uncommittedBytes > 0 && n.uncommittedBytes+size+entryOverhead > limit {
		return ErrBusy
	}
	return nil
}

// appendEntry appends an entry of this term. The leader counts its own copy
// only once it is synced, in Advance.
func (n *Node) appendEntry(kind raftpb.EntryKind, data []byte) uint64 {
	e := &raftpb.Entry{
		Term:  n.term,
		Index: n.log.lastIndex() + 1,
		Kind:  kind,
		Data:  data,
	}
	n.log.append(e)
	n.uncommittedBytes += entrySize(e)
	if kind == raftpb.EntryKind_ENTRY_MEMBERSHIP {
		// The data was marshalled by the caller, so it parses.
		_ = n.recordMemberships([]*raftpb.Entry{e})
		n.syncProgress()
	}
	return e.GetIndex()
}

// committedInTerm reports whether an entry of the leader's term is committed.
// Before that, the leader's commit index may be out of date.
func (n *Node) committedInTerm() bool {
	return n.log.matches(n.log.commit, n.term)
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		n.tickSnapshot(p)
	}
	if n.electionElapsed >= n.opts.ElectionTicks {
		n.electionElapsed = 0
		if !n.quorumActive() {
			// Another leader may exist. Fail pending requests instead of
			// letting callers wait for a commit that does not come.
			n.becomeFollower(n.term, nil)
			return
		}
	}
	n.tickTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.opts.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.heartbeatCommit = n.log.commit
		n.retryTransfer()
		n.broadcastHeartbeat()
	}
}

// tickSnapshot times out a snapshot that is not acknowledged. The next heartbeat
// reply triggers another one.
func (n *Node) tickSnapshot(p *progress) {
	if p.state != stateSnapshot {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= n.opts.ElectionTicks {
		p.becomeProbe(p.match + 1)
		p.paused = true
	}
}

// quorumActive reports whether a quorum was active since the last call.
func (n *Node) quorumActive() bool {
	quorum := hasQuorum(n.membership(), func(key replicaKey) bool {
		return key == n.key || n.progressOf(key).active
	})
	for _, p := range n.progress {
		p.wasActive = p.active
		p.active = false
	}
	return quorum
}

func (n *Node) broadcastHeartbeat() {
	for _, p := range n.progress {
		if p.key == n.key {
			continue
		}
		n.send(p.id, &raftpb.Message{
			Kind: raftpb.MessageKind_MESSAGE_HEARTBEAT,
			// Not beyond match: later entries of that replica may differ.
			Commit:    min(p.match, n.log.commit),
			ReadRound: n.reads.round,
		})
	}
}

// maybeCommit advances the commit index to what a quorum has synced.
func (n *Node) maybeCommit() {
	index := quorumValue(n.membership(), func(key replicaKey) uint64 {
		return n.progressOf(key).match
	})
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	n.uncommittedBytes -= n.log.bytes(n.log.commit+1, index)
	n.log.commit = index
	if !isVoter(n.membership(), n.key) && n.membershipIndex() <= index {
		// The own removal is committed. The others learn this from these last
		// messages and elect another leader.
		n.replicate()
		n.becomeFollower(n.term, nil)
	}
}
