package retry

import "eelgrasswharf.example/eelgrasswharf/reason"

// Outcome is what is known of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that the request provably did not run.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have run. It is final for a request
	// that may not be repeated.
	Unknown
	// Answered means that the backend server ran the request and answered.
	Answered
)

// String returns the value of the Request-Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Answered:
		return "answered"
	default:
		return "unspecified"
	}
}

// Attempt describes how far one attempt at a backend server came.
type Attempt struct {
	// BytesSent counts the bytes of the request that the backend server's
	// connection accepted.
	BytesSent int64
	// Failed is set when no whole and matching answer header was read.
	Failed bool
	// FailReason tells why, when Failed is set and bytes were sent.
	FailReason reason.Code
	// RefusedNotRun is set when the backend server itself said, in the
	// documented form, that it did not run the request.
	RefusedNotRun bool
}

// Classify tells what is known of the request after the attempt. A request is
// not run only if none of its bytes reached the backend server or the backend
// server said so itself; every other failure is unknown.
func Classify(a Attempt) (Outcome, reason.Code) {
	if a.Failed && a.BytesSent == 0 {
		return NotRun, reason.BackendUnreachable
	}
	if a.Failed && a.FailReason != reason.None {
		return Unknown, a.FailReason
	}
	if a.Failed {
		return Unknown, reason.BackendReset
	}
	if a.RefusedNotRun {
		return NotRun, reason.BackendRefused
	}
	return Answered, reason.None
}
