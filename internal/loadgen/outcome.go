package loadgen

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Class is the result of a request as its caller observes it.
type Class string

// Classes of outcomes.
const (
	// ClassAnswered means that the backend server's response is complete.
	ClassAnswered Class = "answered"
	// ClassNotRun means that the request certainly did not run.
	ClassNotRun Class = "not-run"
	// ClassUnknown means that the request may have run.
	ClassUnknown Class = "unknown"
)

// Reasons that the caller determines itself. Others come from Request-Reason.
const (
	reasonDial          = "dial"
	reasonRefused       = "refused"
	reasonCertificate   = "certificate"
	reasonGoAway        = "goaway"
	reasonLost          = "connection-lost"
	reasonRejected      = "rejected"
	reasonReset         = "stream-reset"
	reasonDeadline      = "caller-deadline"
	reasonTruncated     = "truncated"
	reasonWrongResponse = "wrong-answer"
	reasonCallerFull    = "caller-full"
	reasonMissing       = "unstated"
	reasonWrongTarget   = "wrong-target"
	reasonServerStatus  = "status"
)

// Headers of the caller protocol.
const (
	headerKey          = "Idempotency-Key"
	headerTimeout      = "Request-Timeout"
	headerOutcome      = "Request-Outcome"
	headerReason       = "Request-Reason"
	headerTarget       = "Target"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "Retry-After-Ms"
)

// outcome is the result of one attempt.
type outcome struct {
	class  Class
	reason string
	// target is the target that responded, as "name/number/incarnation", if any.
	target string
	// retryAfter is the delay that the response requests before a retry. With an unknown
	// outcome it permits sending the idempotency key again.
	retryAfter time.Duration
}

// attemptHistory is the state of a caller's earlier attempts.
type attemptHistory struct {
	// mayHaveRun means that the outcome of an attempt is unknown.
	mayHaveRun bool
	// retryAllowed means that the last unknown outcome permitted a retry.
	retryAllowed bool
}

// add returns the outcome of the request after another attempt. An attempt that was not
// sent leaves an earlier unknown outcome and its permission to retry in place. An outcome
// that a target reported holds for all attempts.
func (h *attemptHistory) add(o outcome) outcome {
	switch {
	case o.class == ClassUnknown:
		h.mayHaveRun, h.retryAllowed = true, o.retryAfter > 0
	case h.mayHaveRun && o.class == ClassNotRun && o.target == "":
		o.class = ClassUnknown
		if h.retryAllowed {
			o.retryAfter = max(o.retryAfter, firstBackoff)
		}
	}
	return o
}

func (o outcome) String() string {
	if o.reason == "" {
		return string(o.class)
	}
	return fmt.Sprintf("%s/%s", o.class, o.reason)
}

func notRun(reason string) outcome  { return outcome{class: ClassNotRun, reason: reason} }
func unknown(reason string) outcome { return outcome{class: ClassUnknown, reason: reason} }

// dialOutcome returns the outcome for a failed handshake. Nothing of the request was sent.
func dialOutcome(ctx context.Context, err error) outcome {
	var hostnameErr x509.HostnameError
	var transportErr *quic.TransportError
	switch {
	case errors.As(err, &transportErr) && transportErr.Remote && transportErr.ErrorCode == quic.ConnectionRefused:
		return notRun(reasonRefused)
	case errors.As(err, &hostnameErr):
		return notRun(reasonCertificate)
	case ctx.Err() != nil:
		return notRun(reasonDeadline)
	}
	return notRun(reasonDial)
}

// failureOutcome returns the outcome for a failure after the request was sent.
func failureOutcome(ctx context.Context, err error) outcome {
	code, reset := resetCode(err)
	switch {
	// RFC 9114, 4.1.1: a request rejected with this code was not processed.
	case reset && code == http3.ErrCodeRequestRejected:
		return notRun(reasonRejected)
	case ctx.Err() != nil:
		return unknown(reasonDeadline)
	case reset:
		return unknown(reasonReset)
	}
	return unknown(reasonLost)
}

// resetCode returns the error code if the peer reset the stream.
func resetCode(err error) (http3.ErrCode, bool) {
	// http3 wraps stream and connection errors in one type; only the former
	// contain a quic.StreamError.
	var stream *quic.StreamError
	if errors.As(err, &stream) && stream.Remote {
		return http3.ErrCode(stream.ErrorCode), true
	}
	return 0, false
}

// responseOutcome reads the outcome from the headers of a complete response.
func responseOutcome(res *http.Response) outcome {
	reason := res.Header.Get(headerReason)
	if reason == "" {
		reason = reasonMissing
	}
	target := res.Header.Get(headerTarget)
	switch res.Header.Get(headerOutcome) {
	case string(ClassNotRun):
		return outcome{class: ClassNotRun, reason: reason, target: target, retryAfter: retryAfter(res.Header)}
	case string(ClassUnknown):
		return outcome{class: ClassUnknown, reason: reason, target: target, retryAfter: retryAfter(res.Header)}
	}
	o := outcome{class: ClassAnswered, target: target}
	if res.StatusCode/100 != 2 {
		o.reason = fmt.Sprintf("%s-%d", reasonServerStatus, res.StatusCode)
	}
	return o
}

// retryAfter returns the delay that a response requests: Retry-After-Ms if set, else
// Retry-After.
func retryAfter(h http.Header) time.Duration {
	if d, err := time.ParseDuration(h.Get(headerRetryAfterMS) + "ms"); err == nil && d > 0 {
		return d
	}
	if d, err := time.ParseDuration(h.Get(headerRetryAfter) + "s"); err == nil && d > 0 {
		return d
	}
	return 0
}
