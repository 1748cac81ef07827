package raft

import "github.com/go-faster/errors"

// Errors returned by Node. Compare with errors.Is.
var (
	// ErrNotLeader: this replica does not lead the group. Nothing was
	// appended.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrNoSuccessor: no other voter was active lately.
	ErrNoSuccessor = errors.New("raft: no successor")
	// ErrBusy: the leader cannot accept the request now. Too many bytes are
	// uncommitted, too many reads are pending, no entry of its term is
	// committed yet, or a leadership transfer is in progress. Nothing was
	// appended.
	ErrBusy = errors.New("raft: busy")
	// ErrChangePending: an earlier membership change is not yet committed.
	// Nothing was appended.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrNotCaughtUp: the replica cannot become a voter because it is not a
	// learner of the group, or its log is behind.
	ErrNotCaughtUp = errors.New("raft: learner has not caught up")
	// ErrTooManyVoters: the change would lead to more than MaxVoters voters.
	// Nothing was appended.
	ErrTooManyVoters = errors.New("raft: too many voters")
	// ErrInvalidMembership: the membership is malformed or does not differ
	// from the current one by exactly one member.
	ErrInvalidMembership = errors.New("raft: invalid membership")
	// ErrOtherReplica: the message was addressed to another replica or
	// incarnation and was ignored.
	ErrOtherReplica = errors.New("raft: message for another replica or incarnation")
	// ErrInvalidMessage: the message was malformed and was ignored.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrInvalidOptions: a node cannot start with these options.
	ErrInvalidOptions = errors.New("raft: invalid options")
	// ErrInconsistent: the durable state contradicts itself, or a leader
	// contradicts a committed entry. The replica must stop.
	ErrInconsistent = errors.New("raft: inconsistent state")
	// ErrCompact: the snapshot cannot replace log entries because its index is
	// not applied, is already compacted, or precedes the first known
	// membership.
	ErrCompact = errors.New("raft: snapshot does not fit the log")
)
