package cli

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Exit statuses of every command.
const (
	// ExitOK is success; for patches and membership changes: accepted.
	ExitOK = 0
	// ExitFailure is any failure without a status of its own, such as findings in a
	// settings file or an address in use.
	ExitFailure = 1
	// ExitUsage is an invalid command line.
	ExitUsage = 2
	// ExitRefused is a patch or an order that was refused.
	ExitRefused = 3
	// ExitUnknown is a call that may or may not have taken effect.
	ExitUnknown = 4
)

// exitError carries an exit status. A nil err means that the error has been shown
// already.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit status %d", e.status)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func exitWith(status int, err error) error { return &exitError{status: status, err: err} }

func usageError(err error) error { return exitWith(ExitUsage, err) }

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.status
	}
	return ExitFailure
}

// alreadyReported reports whether the error has been shown to the user.
func alreadyReported(err error) bool {
	var exit *exitError
	return errors.As(err, &exit) && exit.err == nil
}

// usageIf marks err as a usage error if it is of the given kind.
func usageIf(err, kind error) error {
	if errors.Is(err, kind) {
		return usageError(err)
	}
	return err
}
