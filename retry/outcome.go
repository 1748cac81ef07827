package retry

import "eelgrasswharf.example/eelgrasswharf/reason"

// Outcome is what is known about whether a request ran.
type Outcome uint8

// Outcomes of a request.
const (
	// NotRun means that the request certainly did not run.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have run. It is final for a request with an
	// idempotency key.
	Unknown
	// Answered means that the backend server ran the request and responded.
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

// Attempt describes the result of one attempt at a backend server.
type Attempt struct {
	// BytesSent is the number of request bytes written to the connection.
	BytesSent int64
	// Failed is set when no complete and matching response header was read.
	Failed bool
	// FailReason is the reason if Failed is set and bytes were sent.
	FailReason reason.Code
	// RefusedNotRun is set when the backend server itself reported that it did not
	// run the request.
	RefusedNotRun bool
}

// Classify returns the outcome of an attempt. A request is NotRun only if none of its
// bytes were sent or the backend server reported it. Every other failure is Unknown.
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
