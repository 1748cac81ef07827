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
	// notRun is the Request-Outcome of a backend server that did not run the request.
	notRun = "not-run"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// agentHeaders are set by the agent only and removed from requests and responses that
// it forwards.
var agentHeaders = []string{
	headerOutcome, headerReason, headerReplayed, headerTarget, headerID, headerRetryAfterMS,
}

// countingConn counts the bytes written. After closeAndCount it accepts no more, so
// that the count is final.
type countingConn struct {
	net.Conn
	mu     sync.Mutex
	sent   int64
	closed bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, ErrAttemptEnded
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// closeAndCount closes the connection and returns the number of bytes written.
func (c *countingConn) closeAndCount() int64 {
	_ = c.Close() // before locking, to unblock a write that holds the lock
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.sent
}

// attemptConn holds the connection of one attempt.
type attemptConn struct {
	mu     sync.Mutex
	conn   *countingConn
	closed bool
}

type attemptConnKey struct{}

// set stores a new connection and wraps it, unless the attempt has ended.
func (a *attemptConn) set(conn net.Conn) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		_ = conn.Close()
		return nil, ErrAttemptEnded
	}
	a.conn = &countingConn{Conn: conn}
	return a.conn, nil
}

// closeAndCount ends the attempt and returns the number of bytes sent.
func (a *attemptConn) closeAndCount() int64 {
	a.mu.Lock()
	a.closed = true
	conn := a.conn
	a.mu.Unlock()
	if conn == nil {
		return 0
	}
	return conn.closeAndCount()
}

// newBackendTransport returns a transport that opens a connection for each request
// and never retries by itself. With reused connections, net/http would retry a
// request with an Idempotency-Key.
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
			holder, ok := ctx.Value(attemptConnKey{}).(*attemptConn)
			if !ok {
				return conn, nil
			}
			return holder.set(conn)
		},
	}
}

// exchange is a response of the backend server whose body has not been read yet.
type exchange struct {
	response    *http.Response
	attemptConn *attemptConn
}

// abandon closes the connection without reading the rest of the response.
func (x *exchange) abandon() {
	x.attemptConn.closeAndCount()
	_ = x.response.Body.Close()
}

// result is the result of one attempt.
type result struct {
	outcome retry.Outcome
	reason  reason.Code
	// exchange is set when the backend server responded.
	exchange *exchange
	// retryAfter is the retry delay that the backend server requested, 0 if none.
	retryAfter time.Duration
}

// attempt sends the request once and reads the response header.
func attempt(transport http.RoundTripper, base *url.URL, c *call, self string) result {
	holder := &attemptConn{}
	ctx := context.WithValue(c.ctx, attemptConnKey{}, holder)
	response, err := transport.RoundTrip(newBackendRequest(ctx, base, c, self))
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
	x := &exchange{response: response, attemptConn: holder}
	if !reportsNotRun(response) {
		return result{outcome: retry.Answered, exchange: x}
	}
	x.abandon()
	outcome, why := retry.Classify(retry.Attempt{BytesSent: 1, RefusedNotRun: true})
	return result{outcome: outcome, reason: why, retryAfter: readRetryAfter(response.Header)}
}

// failedAttempt classifies an attempt without a valid response.
func failedAttempt(c *call, holder *attemptConn, why reason.Code) result {
	sent := holder.closeAndCount()
	if why == reason.None && c.ctx.Err() != nil {
		why = ctxReason(c.ctx, reason.Deadline, reason.None)
	}
	outcome, code := retry.Classify(retry.Attempt{BytesSent: sent, Failed: true, FailReason: why})
	if outcome == retry.NotRun && c.ctx.Err() != nil {
		code = ctxReason(c.ctx, reason.DeadlineInQueue, reason.CallerGone)
	}
	return result{outcome: outcome, reason: code}
}

// newBackendRequest returns the request to the backend server.
func newBackendRequest(ctx context.Context, base *url.URL, c *call, self string) *http.Request {
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
		Header:        forwardedHeaders(in.Header),
		ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	if c.deadlineCoversResponse {
		out.Header.Set(headerTimeout, strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10))
	}
	out.Header.Set(headerID, c.id)
	out.Header.Set(headerTarget, self)
	if host, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	return out
}

// forwardedHeaders copies the headers that are forwarded.
func forwardedHeaders(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		to = make(http.Header)
	}
	for _, named := range from.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	for _, name := range agentHeaders {
		to.Del(name)
	}
	return to
}

// undelimited reports whether a truncated response body could not be distinguished
// from a complete one.
func undelimited(request *http.Request, response *http.Response) bool {
	if response.Body == http.NoBody || request.Method == http.MethodHead {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// reportsNotRun reports whether the backend server reported that it did not run the
// request.
func reportsNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == notRun
}

func readRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(headerRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// healthResult returns the result of an attempt for the health tracker.
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

// errTruncated is returned for a truncated response.
var errTruncated = errors.New("truncated response")
