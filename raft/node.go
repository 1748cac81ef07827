package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// Node is one replica of a group. It is not safe for concurrent use.
type Node struct {
	self *raftpb.ReplicaID
	key  replicaKey
	opts Options
	rand *rand.Rand

	term   uint64
	vote   *raftpb.ReplicaID
	role   Role
	leader *raftpb.ReplicaID

	log entryLog
	// snapshot is the latest one, kept for replicas that need compacted entries.
	snapshot    *raftpb.Snapshot
	memberships []membershipRecord

	// leaderSeen is set once a leader was known since the start.
	leaderSeen bool
	// starting is set until the first election timeout, vote or higher term after the start if
	// Options.AskAtStart is. needsAll is set while a pre-vote needs the grants of all voters.
	starting, needsAll bool
	// firstTimeoutSet is set once an election timeout was chosen without a
	// known leader.
	firstTimeoutSet  bool
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	votesGranted     map[replicaKey]bool

	// State of a leader.
	progress         []*progress
	uncommittedBytes int
	heartbeatCommit  uint64
	reads            readQueue
	transfer         *transfer

	// Content of the next batch.
	messages        []*raftpb.Message
	savedHardState  hardState
	unsavedSnapshot *raftpb.Snapshot
	pendingRestore  *raftpb.Snapshot
	awaitingAdvance bool
}

// New starts a replica from its durable state. If it is the only voter, it
// becomes leader at once.
func New(opts Options) (*Node, error) {
	opts.setDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		self:        opts.Self,
		key:         keyOf(opts.Self),
		opts:        opts,
		rand:        opts.Rand,
		term:        opts.HardState.GetTerm(),
		vote:        opts.HardState.GetVote(),
		memberships: []membershipRecord{{membership: opts.Membership}},
	}
	if err := n.load(); err != nil {
		return nil, err
	}
	n.savedHardState = hardState{
		term:   opts.HardState.GetTerm(),
		vote:   keyOf(opts.HardState.GetVote()),
		commit: opts.HardState.GetCommit(),
	}
	n.opts.HardState, n.opts.Snapshot, n.opts.Entries = nil, nil, nil
	n.becomeFollower(n.term, nil)
	n.starting = opts.AskAtStart
	if n.isOnlyVoter() {
		n.campaign(false)
	}
	return n, nil
}

// load loads the snapshot and the entries of the options.
func (n *Node) load() error {
	hard := n.opts.HardState
	if s := n.opts.Snapshot; s != nil {
		n.loadSnapshot(s)
	}
	entries, err := n.entriesAfterSnapshot()
	if err != nil {
		return err
	}
	n.log.append(entries...)
	n.log.stable = n.log.lastIndex()
	if err := n.recordMemberships(entries); err != nil {
		return err
	}
	// HardState is synced before or with entries and before each
	// acknowledgement, so a lower term or a missing entry means a lost write,
	// possibly of a vote.
	if n.log.lastTerm() > n.term {
		return errors.Wrapf(ErrInconsistent, "log has term %d, hard state %d", n.log.lastTerm(), n.term)
	}
	commit := max(hard.GetCommit(), n.log.commit, n.opts.Applied)
	if commit > n.log.lastIndex() {
		return errors.Wrapf(ErrInconsistent, "log ends at %d, committed is %d", n.log.lastIndex(), commit)
	}
	n.log.commit = commit
	n.log.applied = max(n.log.applied, n.opts.Applied)
	return nil
}

func (n *Node) loadSnapshot(s *raftpb.Snapshot) {
	n.snapshot = s
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.memberships = []membershipRecord{{index: s.GetIndex(), membership: s.GetMembership()}}
	if s.GetTerm() > n.term {
		// The process crashed after the snapshot was synced and before the hard
		// state of its batch was. No message of this term was sent, so this
		// replica has not voted in it.
		n.term = s.GetTerm()
		n.vote = nil
	}
	if n.opts.Applied < s.GetIndex() {
		n.pendingRestore = s
		n.log.applied = s.GetIndex()
	}
}

// entriesAfterSnapshot returns the entries of the options after the snapshot.
func (n *Node) entriesAfterSnapshot() ([]*raftpb.Entry, error) {
	entries := n.opts.Entries
	if err := checkEntries(entries); err != nil {
		return nil, errors.Wrapf(ErrInconsistent, "stored entries: %v", err)
	}
	if len(entries) == 0 {
		return nil, nil
	}
	offset := n.log.offset
	first, last := entries[0].GetIndex(), entries[len(entries)-1].GetIndex()
	if first > offset+1 {
		return nil, errors.Wrapf(ErrInconsistent, "entries start at %d, snapshot ends at %d", first, offset)
	}
	if first == offset+1 {
		return entries, nil
	}
	if last < offset || entries[offset-first].GetTerm() != n.log.offsetTerm {
		// The process crashed after a snapshot that replaces the log was synced
		// and before the old log was dropped. The first batch contains the
		// snapshot again, so that the log is dropped before entries are written.
		n.unsavedSnapshot = n.snapshot
		return nil, nil
	}
	return entries[offset+1-first:], nil
}

// checkEntries returns an error if entries are not consecutive.
func checkEntries(entries []*raftpb.Entry) error {
	for i, e := range entries {
		if e.GetIndex() == 0 || e.GetTerm() == 0 {
			return errors.Errorf("entry %d without index or term", i)
		}
		if i == 0 {
			continue
		}
		before := entries[i-1]
		if e.GetIndex() != before.GetIndex()+1 || e.GetTerm() < before.GetTerm() {
			return errors.Errorf("entry %d/%d follows %d/%d",
				e.GetIndex(), e.GetTerm(), before.GetIndex(), before.GetTerm())
		}
	}
	return nil
}

// Tick advances the logical clock by one unit.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.handleElectionTimeout()
		return
	}
	n.repeatPreVote()
}

// Step processes a message of another replica. The message was ignored if an
// error is returned; after ErrInconsistent the replica must stop.
func (n *Node) Step(m *raftpb.Message) error {
	if keyOf(m.GetTo()) != n.key {
		// For another incarnation of this replica, whose votes and entries were
		// lost with its disk.
		return ErrOtherReplica
	}
	from := keyOf(m.GetFrom())
	if !from.valid() || from == n.key {
		return errors.Wrap(ErrInvalidMessage, "invalid sender")
	}
	switch m.GetKind() {
	case raftpb.MessageKind_MESSAGE_PRE_VOTE:
		n.handlePreVote(m)
		return nil
	case raftpb.MessageKind_MESSAGE_VOTE:
		if m.GetTerm() > n.term && n.hasActiveLeader() && !m.GetTakeOver() {
			// A partitioned replica must not depose an active leader.
			return nil
		}
	}
	if m.GetTerm() < n.term {
		n.replyStaleTerm(m)
		return nil
	}
	if m.GetTerm() > n.term && !isPreVoteGrant(m) {
		n.becomeFollower(m.GetTerm(), nil)
	}
	return n.dispatch(m)
}

// dispatch handles a message of the current term.
func (n *Node) dispatch(m *raftpb.Message) error {
	switch m.GetKind() {
	case raftpb.MessageKind_MESSAGE_PRE_VOTE_REPLY:
		n.handlePreVoteReply(m)
	case raftpb.MessageKind_MESSAGE_VOTE:
		n.handleVote(m)
	case raftpb.MessageKind_MESSAGE_VOTE_REPLY:
		n.handleVoteReply(m)
	case raftpb.MessageKind_MESSAGE_APPEND,
		raftpb.MessageKind_MESSAGE_HEARTBEAT,
		raftpb.MessageKind_MESSAGE_SNAPSHOT:
		return n.handleLeaderMessage(m)
	case raftpb.MessageKind_MESSAGE_TAKE_OVER:
		n.handleTakeOver(m)
	case raftpb.MessageKind_MESSAGE_APPEND_REPLY:
		n.handleAppendReply(m)
	case raftpb.MessageKind_MESSAGE_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(m)
	default:
		return errors.Wrapf(ErrInvalidMessage, "unknown kind %v", m.GetKind())
	}
	return nil
}

// replyStaleTerm rejects a message of an earlier term, so that its sender learns
// of the current one.
func (n *Node) replyStaleTerm(m *raftpb.Message) {
	switch m.GetKind() {
	case raftpb.MessageKind_MESSAGE_APPEND,
		raftpb.MessageKind_MESSAGE_HEARTBEAT,
		raftpb.MessageKind_MESSAGE_SNAPSHOT:
		n.send(m.GetFrom(), &raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_APPEND_REPLY, Reject: true})
	case raftpb.MessageKind_MESSAGE_VOTE:
		n.send(m.GetFrom(), &raftpb.Message{Kind: raftpb.MessageKind_MESSAGE_VOTE_REPLY, Reject: true})
	}
}

// send queues a message for the next batch. A message without a term gets the
// current one.
func (n *Node) send(to *raftpb.ReplicaID, m *raftpb.Message) {
	m.From = n.self
	m.To = to
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
