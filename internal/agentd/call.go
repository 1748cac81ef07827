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
	// eventStream is the type of the answer to a watch.
	eventStream = "text/event-stream"
	// maxTimeout bounds the deadline that a caller may ask for.
	maxTimeout = 24 * time.Hour
	// lossSettles is the time within which a lost connection shows after its
	// requests have ended.
	lossSettles = 50 * time.Millisecond
	// idBytes is the length of a request ID before encoding.
	idBytes = 12
)

// errDeadline is the cause of a context whose deadline passed.
var errDeadline = errors.New("deadline passed")

// connectionKey finds the context of the caller's connection in that of a
// request.
type connectionKey struct{}

// call is one request of a caller.
type call struct {
	request *http.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// stopWatch ends the watch over the caller's connection, nil without one.
	stopWatch func() bool
	// timer ends the context at the deadline.
	timer *time.Timer
	// deadline is on the monotonic clock. A watch without a Request-Timeout
	// has one for the header of its answer only.
	deadline time.Time
	// lasting is set when the deadline covers the whole answer.
	lasting bool
	watch   bool
	key     string
	// arrived is when a request with a key came, on the daemon's clock.
	arrived time.Duration
	id      string
	body    []byte
}

// newCall reads the protocol headers of a request.
func newCall(r *http.Request, watchPaths []string, defaultDeadline time.Duration) (*call, reason.Code) {
	c := &call{request: r, id: newRequestID(), watch: isWatch(r, watchPaths)}
	timeout, told, ok := readTimeout(r.Header)
	if !ok || r.Method == http.MethodConnect {
		return nil, reason.RequestInvalid
	}
	c.key = usableKey(r)
	if c.key == "" && len(r.Header.Values(headerKey)) > 0 {
		return nil, reason.KeyInvalid
	}
	if !told {
		timeout = defaultDeadline
	}
	c.lasting = told || !c.watch
	c.deadline = time.Now().Add(timeout)
	c.start()
	c.timer = time.AfterFunc(timeout, func() { c.cancel(errDeadline) })
	return c, reason.None
}

// start makes the context that the call runs in. A request that may not be
// repeated goes on when its caller's connection is lost, so that the caller
// finds the recorded answer when it comes back. Only a cancelled request ends.
func (c *call) start() {
	parent := c.request.Context()
	if c.key == "" {
		c.ctx, c.cancel = context.WithCancelCause(parent)
		return
	}
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(parent))
	c.stopWatch = context.AfterFunc(parent, c.cancelUnlessLost)
}

// cancelUnlessLost cancels the call if its request ended while its connection
// lives. The two ends of a lost connection come shortly after each other.
func (c *call) cancelUnlessLost() {
	connection, ok := c.request.Context().Value(connectionKey{}).(context.Context)
	if ok && !pause(connection, lossSettles) {
		return
	}
	c.cancel(context.Canceled)
}

// end frees what the call holds.
func (c *call) end() {
	if c.stopWatch != nil {
		c.stopWatch()
	}
	c.timer.Stop()
	c.cancel(nil)
}

// keepOpen lifts the deadline of a watch whose answer has begun.
func (c *call) keepOpen() {
	if !c.lasting {
		c.timer.Stop()
	}
}

// remaining returns the time to the deadline. It asks the clock, as a timer
// fires late in a process that was frozen.
func (c *call) remaining() time.Duration {
	return time.Until(c.deadline)
}

// over tells why the call cannot go on, None if it can.
func (c *call) over() reason.Code {
	if c.request.Context().Err() != nil {
		return reason.CallerGone
	}
	if c.ctx.Err() != nil || c.remaining() <= 0 {
		return reason.DeadlineInQueue
	}
	return reason.None
}

// digest tells another request under the same idempotency key.
func (c *call) digest() []byte {
	h := sha256.New()
	_, _ = io.WriteString(h, c.request.Method+"\n"+c.request.URL.RequestURI()+"\n")
	_, _ = h.Write(c.body)
	return h.Sum(nil)
}

// ctxReason returns one of two reasons by the cause of a context's end.
func ctxReason(ctx context.Context, onDeadline, onCaller reason.Code) reason.Code {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return onDeadline
	}
	return onCaller
}

// readTimeout returns the Request-Timeout in milliseconds, if there is one.
func readTimeout(h http.Header) (timeout time.Duration, told, ok bool) {
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

// usableKey returns the idempotency key of a request, empty if there is none
// under which a request may run.
func usableKey(r *http.Request) string {
	keys := r.Header.Values(headerKey)
	if len(keys) != 1 || len(keys[0]) > maxKeyBytes {
		return ""
	}
	return keys[0]
}

// isWatch reports whether the answer to a request streams without an end.
func isWatch(r *http.Request, watchPaths []string) bool {
	if r.Method != http.MethodGet {
		return false
	}
	if strings.Contains(r.Header.Get("Accept"), eventStream) {
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
