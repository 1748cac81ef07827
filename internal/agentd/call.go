package agentd

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

// Headers of the caller protocol and of the backend server protocol.
const (
	headerKey          = "Idempotency-Key"
	headerTimeout      = "Request-Timeout"
	headerOutcome      = "Request-Outcome"
	headerReason       = "Request-Reason"
	headerReplayed     = "Request-Replayed"
	headerID           = "Request-ID"
	headerTarget       = "Target"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMS = "Retry-After-Ms"
)

const (
	// eventStreamType is the content type of a watch response.
	eventStreamType = "text/event-stream"
	// maxTimeout bounds the Request-Timeout of a caller.
	maxTimeout = 24 * time.Hour
	// connLossDelay is the time within which a lost connection is detected after its
	// requests were cancelled.
	connLossDelay = 50 * time.Millisecond
	// idBytes is the length of a request ID before encoding.
	idBytes = 12
)

// errDeadline is the cancellation cause when the deadline expires.
var errDeadline = errors.New("deadline passed")

// connContextKey is the context key of the context of the caller's connection.
type connContextKey struct{}

// call is one request of a caller.
type call struct {
	request *http.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// stopAfterFunc stops cancelUnlessConnLost, nil without an idempotency key.
	stopAfterFunc func() bool
	// timer cancels the context at the deadline.
	timer *time.Timer
	// deadline is on the monotonic clock. For a watch without a Request-Timeout it
	// covers the response header only.
	deadline time.Time
	// deadlineCoversResponse is set when the deadline covers the complete response.
	deadlineCoversResponse bool
	watch                  bool
	key                    string
	// receivedAt is set for a request with a key, on the daemon's clock.
	receivedAt time.Duration
	id         string
	body       []byte
}

// newCall parses the protocol headers of a request.
func newCall(r *http.Request, watchPaths []string, defaultDeadline time.Duration) (*call, reason.Code) {
	c := &call{request: r, id: newRequestID(), watch: isWatch(r, watchPaths)}
	timeout, explicit, ok := readTimeout(r.Header)
	if !ok || r.Method == http.MethodConnect {
		return nil, reason.RequestInvalid
	}
	c.key = validKey(r)
	if c.key == "" && len(r.Header.Values(headerKey)) > 0 {
		return nil, reason.KeyInvalid
	}
	if !explicit {
		timeout = defaultDeadline
	}
	c.deadlineCoversResponse = explicit || !c.watch
	c.deadline = time.Now().Add(timeout)
	c.initContext()
	c.timer = time.AfterFunc(timeout, func() { c.cancel(errDeadline) })
	return c, reason.None
}

// initContext creates the context of the call. A request with an idempotency key
// continues when the caller's connection is lost, so that a retry gets the recorded
// response. It ends when the caller cancels it.
func (c *call) initContext() {
	parent := c.request.Context()
	if c.key == "" {
		c.ctx, c.cancel = context.WithCancelCause(parent)
		return
	}
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(parent))
	c.stopAfterFunc = context.AfterFunc(parent, c.cancelUnlessConnLost)
}

// cancelUnlessConnLost cancels the call if its request was cancelled on an open
// connection. When a connection is lost, its requests may be cancelled shortly before
// the connection itself.
func (c *call) cancelUnlessConnLost() {
	connection, ok := c.request.Context().Value(connContextKey{}).(context.Context)
	if ok && !pause(connection, connLossDelay) {
		return
	}
	c.cancel(context.Canceled)
}

// end releases the resources of the call.
func (c *call) end() {
	if c.stopAfterFunc != nil {
		c.stopAfterFunc()
	}
	c.timer.Stop()
	c.cancel(nil)
}

// clearDeadline removes the deadline of a watch whose response has begun.
func (c *call) clearDeadline() {
	if !c.deadlineCoversResponse {
		c.timer.Stop()
	}
}

// remaining returns the time to the deadline. It reads the clock because timers fire
// late after a stall.
func (c *call) remaining() time.Duration {
	return time.Until(c.deadline)
}

// endReason returns why the call cannot continue, None if it can.
func (c *call) endReason() reason.Code {
	if c.request.Context().Err() != nil {
		return reason.CallerGone
	}
	if c.ctx.Err() != nil || c.remaining() <= 0 {
		return reason.DeadlineInQueue
	}
	return reason.None
}

// digest identifies the request, to detect a different request with the same
// idempotency key.
func (c *call) digest() []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, c.request.Method+"\n"+c.request.URL.RequestURI()+"\n")
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// ctxReason returns onDeadline if the deadline ended the context, else onCaller.
func ctxReason(ctx context.Context, onDeadline, onCaller reason.Code) reason.Code {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return onDeadline
	}
	return onCaller
}

// readTimeout parses Request-Timeout, which is in milliseconds. explicit is false if
// the header is missing, ok is false if it is invalid.
func readTimeout(h http.Header) (timeout time.Duration, explicit, ok bool) {
	values := h.Values(headerTimeout)
	if len(values) == 0 {
		return 0, false, true
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 || err != nil || ms <= 0 {
		return 0, false, false
	}
	return time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond, true, true
}

// validKey returns the idempotency key of a request, empty if it is missing or
// invalid.
func validKey(r *http.Request) string {
	keys := r.Header.Values(headerKey)
	if len(keys) != 1 || len(keys[0]) > maxKeyBytes {
		return ""
	}
	return keys[0]
}

// isWatch reports whether the response to a request is an endless stream.
func isWatch(r *http.Request, watchPaths []string) bool {
	if r.Method != http.MethodGet {
		return false
	}
	if strings.Contains(r.Header.Get("Accept"), eventStreamType) {
		return true
	}
	for _, prefix := range watchPaths {
		if r.URL.Path == prefix || strings.HasPrefix(r.URL.Path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}

func newRequestID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
