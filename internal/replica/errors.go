package replica

import "github.com/go-faster/errors"

var (
	// ErrNoLeader: the command was not replicated, because no leader is known
	// or reachable, or because a later leader overwrote it.
	ErrNoLeader = errors.New("no leader")
	// ErrBusy: the command was not replicated, because too many proposals are
	// pending.
	ErrBusy = errors.New("too many proposals wait")
	// ErrUnknown: the command may have been replicated or may yet be.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrClosed: the command was not replicated, because the replica was closed
	// or had failed before.
	ErrClosed = errors.New("replica is closed")
	// ErrInvalidCommand: the command was not replicated, because it is empty or
	// too large.
	ErrInvalidCommand = errors.New("command refused")
	// ErrAlreadyBootstrapped: the data directory already holds the state of a
	// group.
	ErrAlreadyBootstrapped = errors.New("replica already belongs to a group")
	// ErrMembership: the membership change cannot be made now and was not made.
	ErrMembership = errors.New("membership change refused")
)
