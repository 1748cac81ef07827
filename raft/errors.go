package raft

import "github.com/go-faster/errors"

// Errors returned by Node. Compare with errors.Is.
var (
	// ErrNotLeader says that this replica does not lead the group. Nothing
	// was appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrNoSuccessor says that there is no other voter that could lead.
	ErrNoSuccessor = errors.New("raft: no successor")
	// ErrBusy says that the leader takes no more for now: too much is
	// uncommitted, too many reads wait, it has not yet committed an entry of
	// its own term, or it hands over. Nothing was appended.
	ErrBusy = errors.New("raft: busy")
	// ErrChangePending says that an earlier membership change is not yet
	// committed. Nothing was appended.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrNotCaughtUp says that a replica cannot become a voter: it is not a
	// learner of the group, or its log is behind.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrTooManyVoters says that a change would lead to more than MaxVoters
	// voters. Nothing was appended.
	ErrTooManyVoters = errors.New("raft: too many voters")
	// ErrInvalidMembership says that a membership is malformed or differs
	// from the one in force by more than one member.
	ErrInvalidMembership = errors.New("raft: invalid membership")
	// ErrOtherReplica says that a message was for another replica or another
	// incarnation of this one. It was ignored.
	ErrOtherReplica = errors.New("raft: message for another replica or incarnation")
	// ErrInvalidMessage says that a message was malformed. It was ignored.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrInvalidOptions says that a node cannot start from such options.
	ErrInvalidOptions = errors.New("raft: invalid options")
	// ErrInconsistent says that durable state contradicts itself or that a
	// leader contradicts a committed entry. The replica must stop.
	ErrInconsistent = errors.New("raft: inconsistent state")
	// ErrCompact says that a snapshot cannot replace log entries: its index
	// is not applied, is already compacted, or precedes the first membership
	// that this replica knows.
	ErrCompact = errors.New("raft: snapshot does not fit the log")
)
