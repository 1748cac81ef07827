package cli

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Exit statuses of every command.
const (
	// ExitOK is success; for patches and members: accepted.
	ExitOK = 0
	// ExitFailure is any failure that has no status of its own: findings in a
	// settings file, an address in use, a call that changed nothing.
	ExitFailure = 1
	// ExitUsage is a command line that makes no sense.
	ExitUsage = 2
	// ExitRefused is a patch that was refused for good.
	ExitRefused = 3
	// ExitUnknown is a call of which it is not known whether it took effect.
	ExitUnknown = 4
)

// exitError carries an exit status. A nil err has been reported already.
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

func usage(err error) error { return exitWith(ExitUsage, err) }

// statusOf is the exit status of what a command returned.
func statusOf(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.status
	}
	return ExitFailure
}

// reported tells whether the error has been shown to the user already.
func reported(err error) bool {
	var exit *exitError
	return errors.As(err, &exit) && exit.err == nil
}

// usageIf reports err as wrong usage when it is the named kind.
func usageIf(err, kind error) error {
	if errors.Is(err, kind) {
		return usage(err)
	}
	return err
}
