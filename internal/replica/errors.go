package replica

import "github.com/go-faster/errors"

var (
	// ErrNoLeader: the command was certainly not replicated, because no
	// leader is known or could be reached, or because a later leader replaced
	// it.
	ErrNoLeader = errors.New("no leader")
	// ErrBusy: the command was certainly not replicated, because too many
	// proposals wait.
	ErrBusy = errors.New("too many proposals wait")
	// ErrUnknown: the command may have been or may yet be replicated.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrClosed: the command was certainly not replicated, because the
	// replica was closed or had failed before.
	ErrClosed = errors.New("replica is closed")
	// ErrInvalidCommand: the command was certainly not replicated, because it is
	// empty or too large.
	ErrInvalidCommand = errors.New("command refused")
	// ErrAlreadyBootstrapped: the folder already holds the state of a group.
	ErrAlreadyBootstrapped = errors.New("replica already belongs to a group")
	// ErrMembership: the change of members cannot be made now and was
	// certainly not made.
	ErrMembership = errors.New("membership change refused")
)
