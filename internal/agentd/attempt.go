package agentd

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

const (
	dialTimeout = time.Second
	// notRun is the value by which a backend server says that it did not run
	// a request.
	notRun = "not-run"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by the agent; a caller or backend server cannot forge
// them on the other side.
var ownHeaders = []string{
	headerOutcome, headerReason, headerReplayed, headerTarget, headerID, headerRetryAfterMS,
}

// sentCounter is a connection that counts the bytes it took. Once sealed it
// takes no more, so that the count is final.
type sentCounter struct {
	net.Conn
	mu     sync.Mutex
	sent   int64
	sealed bool
}

// Write implements net.Conn.
func (c *sentCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, ErrAttemptEnded
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// seal closes the connection and returns the number of bytes it ever took.
func (c *sentCounter) seal() int64 {
	_ = c.Close() // first, as it ends a write that holds the lock
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.sent
}

// dialed holds the connection of one attempt.
type dialed struct {
	mu     sync.Mutex
	conn   *sentCounter
	sealed bool
}

type dialedKey struct{}

// put takes over a new connection, unless the attempt is over.
func (d *dialed) put(conn net.Conn) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sealed {
		_ = conn.Close()
		return nil, ErrAttemptEnded
	}
	d.conn = &sentCounter{Conn: conn}
	return d.conn, nil
}

// seal ends the attempt and returns the number of bytes that were sent.
func (d *dialed) seal() int64 {
	d.mu.Lock()
	d.sealed = true
	conn := d.conn
	d.mu.Unlock()
	if conn == nil {
		return 0
	}
	return conn.seal()
}

// newBackendTransport returns a transport that opens a connection for each
// request and never repeats one by itself. net/http would repeat a request
// with an Idempotency-Key on a broken reused connection.
func newBackendTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			holder, ok := ctx.Value(dialedKey{}).(*dialed)
			if !ok {
				return conn, nil
			}
			return holder.put(conn)
		},
	}
}

// exchange is an answer of the backend server whose body is still to be read.
type exchange struct {
	response *http.Response
	dialed   *dialed
}

// abandon gives the exchange up and closes its connection.
func (x *exchange) abandon() {
	x.dialed.seal()
	_ = x.response.Body.Close()
}

// result is what became of one attempt.
type result struct {
	outcome retry.Outcome
	reason  reason.Code
	// exchange is set when the backend server answered.
	exchange *exchange
	// comeBack is when the backend server wants to be asked again, 0 if it
	// did not say.
	comeBack time.Duration
}

// attempt sends the request once and reads the header of the answer.
func attempt(transport http.RoundTripper, base *url.URL, c *call, self string) result {
	holder := &dialed{}
	ctx := context.WithValue(c.ctx, dialedKey{}, holder)
	response, err := transport.RoundTrip(outgoing(ctx, base, c, self))
	if err != nil {
		return failedAttempt(c, holder, reason.None)
	}
	if id := response.Header.Get(headerID); id != "" && id != c.id {
		_ = response.Body.Close()
		return failedAttempt(c, holder, reason.AnswerCrossed)
	}
	if undelimited(c.request, response) {
		_ = response.Body.Close()
		return failedAttempt(c, holder, reason.AnswerUndelimited)
	}
	x := &exchange{response: response, dialed: holder}
	if !refusedNotRun(response) {
		return result{outcome: retry.Answered, exchange: x}
	}
	x.abandon()
	outcome, why := retry.Classify(retry.Attempt{BytesSent: 1, RefusedNotRun: true})
	return result{outcome: outcome, reason: why, comeBack: readRetryAfter(response.Header)}
}

// failedAttempt classifies an attempt without a proper answer.
func failedAttempt(c *call, holder *dialed, why reason.Code) result {
	sent := holder.seal()
	if why == reason.None && c.ctx.Err() != nil {
		why = ctxReason(c.ctx, reason.Deadline, reason.None)
	}
	outcome, code := retry.Classify(retry.Attempt{BytesSent: sent, Failed: true, FailReason: why})
	if outcome == retry.NotRun && c.ctx.Err() != nil {
		code = ctxReason(c.ctx, reason.DeadlineInQueue, reason.CallerGone)
	}
	return result{outcome: outcome, reason: code}
}

// outgoing builds the request to the backend server.
func outgoing(ctx context.Context, base *url.URL, c *call, self string) *http.Request {
	in := c.request
	target := *base
	target.Path = strings.TrimSuffix(base.Path, "/") + in.URL.Path
	target.RawPath = ""
	if in.URL.RawPath != "" {
		target.RawPath = strings.TrimSuffix(base.EscapedPath(), "/") + in.URL.RawPath
	}
	target.RawQuery = in.URL.RawQuery
	out := (&http.Request{
		Method:        in.Method,
		URL:           &target,
		Host:          in.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        passedHeaders(in.Header),
		ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	if c.lasting {
		out.Header.Set(headerTimeout, strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10))
	}
	out.Header.Set(headerID, c.id)
	out.Header.Set(headerTarget, self)
	if host, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	return out
}

// passedHeaders copies the headers that go to the other side.
func passedHeaders(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = make(http.Header)
	}
	for _, named := range from.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	for _, name := range ownHeaders {
		to.Del(name)
	}
	return to
}

// undelimited reports whether the end of an answer's body could not be told
// from a broken connection.
func undelimited(request *http.Request, response *http.Response) bool {
	if response.Body == http.NoBody || request.Method == http.MethodHead {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// refusedNotRun reports whether the backend server said in the documented form
// that it did not run the request.
func refusedNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == notRun
}

func readRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(headerRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// healthResult tells what an attempt says of the backend server.
func healthResult(r result) health.Result {
	switch {
	case r.reason == reason.BackendUnreachable:
		return health.Refused
	case r.reason == reason.Deadline:
		return health.TimedOut
	case r.outcome == retry.Unknown && r.reason != reason.None:
		return health.Failed
	case r.outcome == retry.Answered && r.exchange.response.StatusCode >= http.StatusInternalServerError:
		return health.Failed
	case r.outcome == retry.Answered:
		return health.Answered
	default:
		return health.Cancelled
	}
}

// errCut is returned for an answer that ended early.
var errCut = errors.New("answer ended early")
