package replica

import "github.com/go-faster/errors"

var (
	// ErrNoLeader: the command was certainly not replicated, because this
	// replica does not lead and knows of no leader that it could reach.
	ErrNoLeader = errors.New("no leader")
	// ErrBusy: the command was certainly not replicated, because too many
	// proposals wait.
	ErrBusy = errors.New("too many proposals wait")
	// ErrUnknown: the command may have been or may yet be replicated.
	ErrUnknown = errors.New("outcome of the proposal is unknown")
	// ErrClosed: the replica was closed or has failed before it took the
	// command, which was not replicated.
	ErrClosed = errors.New("replica is closed")
	// ErrFormed: the folder already holds the state of a group.
	ErrFormed = errors.New("replica already belongs to a group")
	// ErrMembership: the asked change of members cannot be made.
	ErrMembership = errors.New("membership change refused")
)
