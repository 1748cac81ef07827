package agentd

import "github.com/go-faster/errors"

// Errors of the agent.
var (
	// ErrSettings is returned for invalid settings.
	ErrSettings = errors.New("invalid agent settings")
	// ErrNoEntryHost is returned for a datagram when no frame from an entry host was
	// received recently.
	ErrNoEntryHost = errors.New("no entry host known")
	// ErrDraining refuses a handshake because the target is draining.
	ErrDraining = errors.New("target is draining")
	// ErrAttemptEnded is returned for a write after the outcome of an attempt was
	// determined.
	ErrAttemptEnded = errors.New("attempt ended")
	// ErrNotApplied means that a control host certainly did not apply the command.
	ErrNotApplied = errors.New("not applied by the control host")
	// ErrOutcomeUnknown means that a control host may have applied the command.
	ErrOutcomeUnknown = errors.New("outcome at the control host unknown")
)
