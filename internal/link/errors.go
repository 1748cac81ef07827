package link

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Errors of calls and messages.
var (
	// ErrNotSent is returned for a request that certainly was not acted on: no
	// connection, no stream, or the server refused it before reading it.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown is returned for a request that was sent and not answered: it
	// is not known whether it was acted on.
	ErrOutcomeUnknown = errors.New("outcome of request unknown")
	// ErrClosed is returned on a closed client or server.
	ErrClosed = errors.New("link closed")
	// ErrTooLarge is returned for a message above the size bound.
	ErrTooLarge = errors.New("message too large")
	// ErrMalformed is returned for bytes that are no message.
	ErrMalformed = errors.New("malformed message")
)

// Application error codes of connections and streams.
const (
	// codeNone closes a connection in the ordinary way.
	codeNone quic.ApplicationErrorCode = 0
	// codeBusy refuses a connection before any stream of it was read.
	codeBusy quic.ApplicationErrorCode = 1
	// codeShutdown closes the connections of a server that stops.
	codeShutdown quic.ApplicationErrorCode = 2
	// codeSilent closes a connection whose far end no longer answers.
	codeSilent quic.ApplicationErrorCode = 3

	// streamDone ends the reading side of a finished stream.
	streamDone quic.StreamErrorCode = 0
	// streamNotDone refuses a stream before its request was read.
	streamNotDone quic.StreamErrorCode = 1
	// streamMalformed refuses a request that could not be decoded.
	streamMalformed quic.StreamErrorCode = 2
	// streamFailed ends a stream whose handler failed.
	streamFailed quic.StreamErrorCode = 3
	// streamCancelled ends a stream that its client gave up.
	streamCancelled quic.StreamErrorCode = 4
)

// FaultError is a fault that the server answered in place of a subscription.
type FaultError struct {
	Kind controlpb.FaultKind
	Text string
	// RetryAfter says when to come back; 0 says nothing about it.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("control host answered %s: %s", e.Kind, e.Text)
}

// ResponseError returns the fault of a response as an error, or nil if it is none.
func ResponseError(res *controlpb.Response) error {
	f := res.GetFault()
	if f == nil {
		return nil
	}
	return &FaultError{
		Kind:       f.GetKind(),
		Text:       f.GetText(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

// outcome is ErrNotSent or ErrUnknown together with what led to it.
type outcome struct {
	kind  error
	cause error
}

// Error implements error.
func (e *outcome) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap makes errors.Is and errors.As find both.
func (e *outcome) Unwrap() []error { return []error{e.kind, e.cause} }

func notSent(cause error) error { return &outcome{kind: ErrNotSent, cause: cause} }

func unknown(cause error) error { return &outcome{kind: ErrOutcomeUnknown, cause: cause} }

// outcomeError wraps an error that came after the request was handed to the
// connection.
func outcomeError(err error) error {
	if refusedUnread(err) {
		return notSent(err)
	}
	return unknown(err)
}

// refusedUnread reports whether the far end said that it read nothing of the
// request.
func refusedUnread(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) {
		return stream.Remote && (stream.ErrorCode == streamNotDone || stream.ErrorCode == streamMalformed)
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == codeBusy
	}
	var transport *quic.TransportError
	if errors.As(err, &transport) {
		// The server hands out connections only after the whole handshake.
		return transport.Remote &&
			(transport.ErrorCode.IsCryptoError() || transport.ErrorCode == quic.ConnectionRefused)
	}
	return false
}

const retryAfterPrefix = "retry-after-ms="

func busyText(d time.Duration) string {
	return retryAfterPrefix + strconv.FormatInt(d.Milliseconds(), 10)
}

// retryAfter returns when a server that refused a connection wants to see its
// peer again.
func retryAfter(err error) (time.Duration, bool) {
	var app *quic.ApplicationError
	if !errors.As(err, &app) || !app.Remote || app.ErrorCode != codeBusy {
		return 0, false
	}
	text, ok := strings.CutPrefix(app.ErrorMessage, retryAfterPrefix)
	if !ok {
		return 0, false
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
