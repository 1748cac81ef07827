package raft

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// becomeLeader starts the term with an empty entry. Entries of earlier terms
// are committed only together with one of this term: counting replicas for
// them alone could commit what a later leader still replaces.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.self
	n.ledSinceStart = true
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.progress = nil
	n.syncProgress()
	n.progressOf(n.key).match = n.log.stable
	n.uncommittedBytes = n.log.bytes(n.log.commit+1, n.log.lastIndex())
	n.appendOwn(raftpb.EntryKind_ENTRY_EMPTY, nil)
	n.heartbeatCommit = n.log.lastIndex()
}

// Propose appends a command. It is committed when a batch hands it out under
// the same index and term; another term at this index means that it is lost.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayAppend(len(data)); err != nil {
		return 0, 0, err
	}
	index = n.appendOwn(raftpb.EntryKind_ENTRY_COMMAND, data)
	return index, n.term, nil
}

// ProposeMembership appends a membership that differs from the one in force by
// one member: a learner added, a learner that has caught up made a voter, a
// voter made a learner, a member removed, or one address changed. It is in
// force from now on. Only one change may be uncommitted.
func (n *Node) ProposeMembership(m *raftpb.Membership) (index, term uint64, err error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0, 0, errors.Wrapf(ErrInvalidMembership, "marshal: %v", err)
	}
	if err := n.mayAppend(len(data)); err != nil {
		return 0, 0, err
	}
	if n.membershipIndex() > n.log.commit {
		return 0, 0, ErrChangePending
	}
	if !n.committedInTerm() {
		// Another leader's change may exist on a minority. Only an entry of
		// this term on a quorum of the old membership rules out that both
		// changes gather quorums that do not meet.
		return 0, 0, ErrBusy
	}
	if err := n.validateChange(m); err != nil {
		return 0, 0, err
	}
	term = n.term
	index = n.appendOwn(raftpb.EntryKind_ENTRY_MEMBERSHIP, data)
	// A smaller quorum may already hold earlier entries.
	n.maybeCommit()
	return index, term, nil
}

// mayAppend says whether this replica may append an entry of its own.
func (n *Node) mayAppend(size int) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !isVoter(n.membership(), n.key) {
		// It leads only until its own removal is committed.
		return ErrBusy
	}
	if n.transfer != nil {
		// The successor could not win with an entry that it lacks.
		return ErrBusy
	}
	limit := n.opts.MaxInflight * n.opts.MaxBatchBytes
	if n.uncommittedBytes > 0 && n.uncommittedBytes+size+entryOverhead > limit {
		return ErrBusy
	}
	return nil
}

// appendOwn appends an entry of this term. The leader counts itself for it
// only once the entry is synced, in Advance.
func (n *Node) appendOwn(kind raftpb.EntryKind, data []byte) uint64 {
	e := &raftpb.Entry{
		Term:  n.term,
		Index: n.log.lastIndex() + 1,
		Kind:  kind,
		Data:  data,
	}
	n.log.append(e)
	n.uncommittedBytes += entrySize(e)
	if kind == raftpb.EntryKind_ENTRY_MEMBERSHIP {
		// The data was marshalled here, so it parses.
		_ = n.recordMemberships([]*raftpb.Entry{e})
		n.syncProgress()
	}
	return e.GetIndex()
}

// committedInTerm says whether an entry of the leader's own term is committed.
// Only then is the leader's commit index known to be up to date.
func (n *Node) committedInTerm() bool {
	return n.log.matches(n.log.commit, n.term)
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		n.tickSnapshot(p)
	}
	if n.electionElapsed >= n.opts.ElectionTicks {
		n.electionElapsed = 0
		if !n.hearsQuorum() {
			// Another leader may exist by now. Callers are better told at
			// once than left to wait for a commit that does not come.
			n.becomeFollower(n.term, nil)
			return
		}
	}
	n.tickTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.opts.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.heartbeatCommit = n.log.commit
		n.repeatTransfer()
		n.broadcastHeartbeat()
	}
}

// tickSnapshot gives up on a snapshot that is not acknowledged; the next
// heartbeat reply leads to another one.
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

// hearsQuorum says whether a quorum was heard since the last call.
func (n *Node) hearsQuorum() bool {
	heard := hasQuorum(n.membership(), func(key replicaKey) bool {
		return key == n.key || n.progressOf(key).active
	})
	for _, p := range n.progress {
		p.active = false
	}
	return heard
}

func (n *Node) broadcastHeartbeat() {
	for _, p := range n.progress {
		if p.key == n.key {
			continue
		}
		n.send(p.id, &raftpb.Message{
			Kind: raftpb.MessageKind_MESSAGE_HEARTBEAT,
			// Not beyond match: what lies there may differ on that replica.
			Commit:    min(p.match, n.log.commit),
			ReadRound: n.reads.round,
		})
	}
}

// maybeCommit commits what a quorum has synced.
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
		// Its own removal is committed. The others learn so from these last
		// messages and elect a leader among themselves.
		n.replicate()
		n.becomeFollower(n.term, nil)
	}
}
