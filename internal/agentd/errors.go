package agentd

import "github.com/go-faster/errors"

// Errors of the agent.
var (
	// ErrSettings is returned for settings that the agent cannot run with.
	ErrSettings = errors.New("settings of the agent")
	// ErrNoEntryHost is returned when a datagram has no way back: no entry
	// host was heard lately.
	ErrNoEntryHost = errors.New("no entry host known")
	// ErrDraining refuses a handshake because the target is leaving.
	ErrDraining = errors.New("target is leaving")
	// ErrAttemptEnded is returned for a write after the outcome of a request was
	// decided.
	ErrAttemptEnded = errors.New("connection sealed")
	// ErrNotApplied means that a control host certainly did nothing.
	ErrNotApplied = errors.New("control host did nothing")
	// ErrOutcomeUnknown means that it is not known what a control host did.
	ErrOutcomeUnknown = errors.New("outcome at control host unknown")
)
