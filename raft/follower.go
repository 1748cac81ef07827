package raft

import (
	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// handleLeaderMessage handles messages that only the leader of the current term
// sends.
func (n *Node) handleLeaderMessage(m *raftpb.Message) error {
	if n.leader != nil && keyOf(n.leader) != keyOf(m.GetFrom()) {
		return errors.Wrapf(ErrInconsistent, "two leaders in term %d", n.term)
	}
	if n.leader == nil || n.role != RoleFollower {
		n.becomeFollower(n.term, m.GetFrom())
	}
	n.electionElapsed = 0
	switch m.GetKind() {
	case raftpb.MessageKind_MESSAGE_APPEND:
		return n.handleAppend(m)
	case raftpb.MessageKind_MESSAGE_SNAPSHOT:
		return n.handleSnapshot(m)
	}
	n.handleHeartbeat(m)
	return nil
}

func (n *Node) handleHeartbeat(m *raftpb.Message) {
	n.commitTo(m.GetCommit())
	n.send(m.GetFrom(), &raftpb.Message{
		Kind:      raftpb.MessageKind_MESSAGE_HEARTBEAT_REPLY,
		ReadRound: m.GetReadRound(),
	})
}

func (n *Node) handleAppend(m *raftpb.Message) error {
	if err := checkAppend(m); err != nil {
		return errors.Wrapf(ErrInvalidMessage, "append: %v", err)
	}
	if m.GetLogIndex() < n.log.commit {
		if err := n.checkCommitted(m.GetEntries()); err != nil {
			return err
		}
		n.acknowledge(m.GetFrom(), n.log.commit)
		return nil
	}
	if !n.log.matches(m.GetLogIndex(), m.GetLogTerm()) {
		n.rejectAppend(m)
		return nil
	}
	missing := n.newEntries(m.GetEntries())
	if len(missing) > 0 {
		if err := n.recordMemberships(missing); err != nil {
			return err
		}
		n.log.append(missing...)
	}
	// Only up to the last entry that this message covers: later entries of the
	// local log may come from another leader.
	last := m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.commitTo(min(m.GetCommit(), last))
	n.acknowledge(m.GetFrom(), last)
	return nil
}

func checkAppend(m *raftpb.Message) error {
	if err := checkEntries(m.GetEntries()); err != nil {
		return err
	}
	if len(m.GetEntries()) == 0 {
		return nil
	}
	if m.GetEntries()[0].GetIndex() != m.GetLogIndex()+1 {
		return errors.Errorf("entries start at %d after %d", m.GetEntries()[0].GetIndex(), m.GetLogIndex())
	}
	return nil
}

// newEntries returns the entries from the first one that the log does not hold.
// A delayed append must not truncate entries that came after it.
func (n *Node) newEntries(entries []*raftpb.Entry) []*raftpb.Entry {
	for i, e := range entries {
		if !n.log.matches(e.GetIndex(), e.GetTerm()) {
			return entries[i:]
		}
	}
	return nil
}

// checkCommitted returns ErrInconsistent if a leader's entries differ from the
// committed ones: the leader or this replica lost durable state.
func (n *Node) checkCommitted(entries []*raftpb.Entry) error {
	for _, e := range entries {
		if e.GetIndex() > n.log.commit {
			break
		}
		if own, ok := n.log.term(e.GetIndex()); ok && own != e.GetTerm() {
			return errors.Wrapf(ErrInconsistent, "committed entry %d has term %d, the leader's %d",
				e.GetIndex(), own, e.GetTerm())
		}
	}
	return nil
}

// acknowledge reports to the leader that the logs match up to index. The
// message is sent after the entries are synced.
func (n *Node) acknowledge(to *raftpb.ReplicaID, index uint64) {
	n.send(to, &raftpb.Message{
		Kind:     raftpb.MessageKind_MESSAGE_APPEND_REPLY,
		LogIndex: index,
	})
}

func (n *Node) rejectAppend(m *raftpb.Message) {
	hint := n.log.findConflictByTerm(m.GetLogIndex(), m.GetLogTerm())
	hintTerm, _ := n.log.term(hint)
	n.send(m.GetFrom(), &raftpb.Message{
		Kind:     raftpb.MessageKind_MESSAGE_APPEND_REPLY,
		Reject:   true,
		LogIndex: m.GetLogIndex(),
		LogTerm:  hintTerm,
		Hint:     hint,
	})
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}

func (n *Node) handleSnapshot(m *raftpb.Message) error {
	s := m.GetSnapshot()
	if s.GetIndex() == 0 || s.GetTerm() == 0 || validateMembership(s.GetMembership()) != nil {
		return errors.Wrap(ErrInvalidMessage, "snapshot")
	}
	switch {
	case s.GetIndex() <= n.log.commit:
	case n.log.matches(s.GetIndex(), s.GetTerm()):
		n.commitTo(s.GetIndex())
	default:
		n.restoreSnapshot(s)
	}
	n.acknowledge(m.GetFrom(), n.log.commit)
	return nil
}

// restoreSnapshot replaces the log with a snapshot.
func (n *Node) restoreSnapshot(s *raftpb.Snapshot) {
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.memberships = []membershipRecord{{index: s.GetIndex(), membership: s.GetMembership()}}
	n.log.applied = s.GetIndex()
	n.snapshot = s
	n.unsavedSnapshot = s
	n.pendingRestore = s
}

// Compact accepts a snapshot of the state machine at s.Index, which must be
// applied, and sets its term and membership. Entries up to it, except for
// Options.RetainEntries, are dropped from memory. The caller must sync the
// snapshot before it drops stored entries.
func (n *Node) Compact(s *raftpb.Snapshot) error {
	index := s.GetIndex()
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.snapshot.GetIndex() {
		return errors.Wrapf(ErrCompact, "index %d, applied %d", index, n.log.applied)
	}
	membership := n.membershipAt(index)
	if membership == nil {
		return errors.Wrapf(ErrCompact, "no membership known at index %d", index)
	}
	s.Term = term
	s.Membership = membership
	n.snapshot = s
	n.compactMemberships(index)
	if retain := uint64(n.opts.RetainEntries); index > retain {
		n.log.compact(index - retain)
	}
	return nil
}

// DropSnapshotData releases the data of the node's snapshot and returns its
// index, 0 if there is none. Messages of later batches carry the snapshot
// without data; the caller must add it from its storage. Snapshots of earlier
// batches keep their data.
func (n *Node) DropSnapshotData() uint64 {
	if n.snapshot == nil {
		return 0
	}
	n.snapshot = &raftpb.Snapshot{
		Index:      n.snapshot.GetIndex(),
		Term:       n.snapshot.GetTerm(),
		Membership: n.snapshot.GetMembership(),
	}
	return n.snapshot.GetIndex()
}
