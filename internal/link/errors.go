package link

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Errors of calls and messages.
var (
	// ErrNotSent is returned for a request that was certainly not processed: there was no
	// connection or stream, or the server refused it before reading it.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown is returned for a request that was sent without getting a response.
	ErrOutcomeUnknown = errors.New("outcome of request unknown")
	// ErrClosed is returned on a closed client or server.
	ErrClosed = errors.New("link closed")
	// ErrTooLarge is returned for a message above the size bound.
	ErrTooLarge = errors.New("message too large")
	// ErrMalformed is returned for bytes that can't be decoded as a message.
	ErrMalformed = errors.New("malformed message")
)

// Application error codes of connections and streams.
const (
	// codeNone closes a connection without an error.
	codeNone quic.ApplicationErrorCode = 0
	// codeBusy refuses a connection before any of its streams is read.
	codeBusy quic.ApplicationErrorCode = 1
	// codeShutdown closes the connections of a server that shuts down.
	codeShutdown quic.ApplicationErrorCode = 2
	// codeUnresponsive closes a connection whose server no longer replies.
	codeUnresponsive quic.ApplicationErrorCode = 3

	// streamDone ends the read side of a finished stream.
	streamDone quic.StreamErrorCode = 0
	// streamRefused refuses a stream before its request is read.
	streamRefused quic.StreamErrorCode = 1
	// streamMalformed refuses a request that can't be decoded.
	streamMalformed quic.StreamErrorCode = 2
	// streamFailed ends a stream whose handler failed.
	streamFailed quic.StreamErrorCode = 3
	// streamCancelled ends a stream that the client cancelled.
	streamCancelled quic.StreamErrorCode = 4
)

// FaultError is a fault returned by a control host.
type FaultError struct {
	Kind controlpb.FaultKind
	Text string
	// RetryAfter is the time until a retry; 0 if the fault has none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("control host answered %s: %s", e.Kind, e.Text)
}

// ResponseError returns the fault of a response as an error, or nil if there is none.
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

// callError is ErrNotSent or ErrOutcomeUnknown with its cause.
type callError struct {
	kind  error
	cause error
}

// Error implements error.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap exposes both errors to errors.Is and errors.As.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

func notSent(cause error) error { return &callError{kind: ErrNotSent, cause: cause} }

func outcomeUnknown(cause error) error { return &callError{kind: ErrOutcomeUnknown, cause: cause} }

// wrapSentError classifies an error that occurred after the request was passed to the
// connection.
func wrapSentError(err error) error {
	if refusedBeforeRead(err) {
		return notSent(err)
	}
	return outcomeUnknown(err)
}

// refusedBeforeRead reports whether the peer refused the request without reading it.
func refusedBeforeRead(err error) bool {
	var stream *quic.StreamError
	if errors.As(err, &stream) {
		return stream.Remote && (stream.ErrorCode == streamRefused || stream.ErrorCode == streamMalformed)
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) {
		return app.Remote && app.ErrorCode == codeBusy
	}
	var transport *quic.TransportError
	if errors.As(err, &transport) {
		// The server accepts connections only after the complete handshake.
		return transport.Remote &&
			(transport.ErrorCode.IsCryptoError() || transport.ErrorCode == quic.ConnectionRefused)
	}
	return false
}
