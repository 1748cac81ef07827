package loadgen

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// firstBackoff is the delay before the first retry; it doubles with each attempt.
	firstBackoff = 20 * time.Millisecond
	// maxRedirects bounds how often a request moves to another flow because the
	// previous one accepted no more requests and nothing was sent.
	maxRedirects     = 3
	maxResponseBytes = 1 << 20
)

// request is one request of a caller with all of its attempts.
type request struct {
	number        int
	nonRepeatable bool
	scheduled     time.Time
	// seed of the retry jitter.
	seed uint64
}

// key returns the idempotency key, which only non-repeatable requests carry.
func (q request) key(o *Options) string {
	return fmt.Sprintf("%s-%d", o.RunID, q.number)
}

// text returns a unique body, so that the response to another request is detected.
func (q request) text(o *Options) string {
	return "text-" + q.key(o)
}

// runRequest makes the attempts of a request and records its final outcome.
func (g *generator) runRequest(ctx context.Context, q request) {
	ctx, cancel := context.WithDeadline(ctx, q.scheduled.Add(g.opts.Deadline))
	defer cancel()
	jitter := rand.New(rand.NewPCG(g.opts.Seed, q.seed))
	var history attemptHistory
	for attempt := 1; ; attempt++ {
		s := g.slots[(q.number+attempt-1)%len(g.slots)]
		out := history.add(g.attempt(ctx, s, q))
		wait, mayRetry := g.retry(ctx, q, out, attempt, jitter)
		if !mayRetry {
			g.rec.requestFinished(q, out, time.Since(q.scheduled))
			return
		}
		g.rec.requestRetried(out)
		_ = sleep.For(ctx, wait)
	}
}

// retry decides whether the caller tries again, and when.
func (g *generator) retry(ctx context.Context, q request, out outcome, attempt int, jitter *rand.Rand) (time.Duration, bool) {
	if out.class == ClassAnswered || attempt >= g.opts.MaxAttempts {
		return 0, false
	}
	// A non-repeatable request with an unknown outcome is retried only if the response
	// permits it.
	if out.class == ClassUnknown && q.nonRepeatable && out.retryAfter == 0 {
		return 0, false
	}
	wait := max(out.retryAfter, firstBackoff<<(attempt-1))
	wait += time.Duration(jitter.Float64() * float64(wait) / 2)
	deadline, _ := ctx.Deadline()
	// No attempt would start before the deadline.
	if time.Until(deadline) <= wait {
		return 0, false
	}
	return wait, g.rec.takeRetry()
}

// attempt sends the request once. Moving to another flow while nothing was sent does not
// count as a retry.
func (g *generator) attempt(ctx context.Context, s *slot, q request) outcome {
	for redirect := 0; ; redirect++ {
		f, err := s.acquire(ctx)
		if err != nil {
			return dialOutcome(ctx, err)
		}
		out, sent := g.exchange(ctx, f, q)
		if !sent {
			f.draining.Store(true)
		}
		f.release()
		if sent || ctx.Err() != nil || redirect == maxRedirects {
			return out
		}
	}
}

// exchange sends the request on a flow and reads the complete response. It reports whether
// the complete header was sent; without it the request cannot run.
func (g *generator) exchange(ctx context.Context, f *flow, q request) (out outcome, sent bool) {
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	res, err := f.h3.RoundTrip(g.httpRequest(traced, q))
	if err != nil && !wrote.Load() {
		if ctx.Err() != nil {
			return notRun(reasonDeadline), false
		}
		return notRun(reasonGoAway), false
	}
	if err != nil {
		return g.handleFailure(ctx, f, err), true
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return unknown(reasonTruncated), true
	}
	if err != nil {
		return g.handleFailure(ctx, f, err), true
	}
	result := responseOutcome(res)
	f.setTarget(result.target)
	return g.verifyResponse(q, result, body), true
}

// handleFailure returns the outcome of a request that failed after it was sent. It counts
// the flow as broken if the end of the flow left the outcome unknown.
func (g *generator) handleFailure(ctx context.Context, f *flow, err error) outcome {
	out := failureOutcome(ctx, err)
	if out.reason == reasonLost {
		g.dialer.requestLost(f, err)
	}
	return out
}

// verifyResponse checks that a response belongs to its request and comes from a target of
// the service.
func (g *generator) verifyResponse(q request, out outcome, body []byte) outcome {
	if out.class != ClassAnswered || out.reason != "" {
		return out
	}
	if !bytes.Equal(body, []byte(q.text(&g.opts))) {
		return outcome{class: ClassUnknown, reason: reasonWrongResponse, target: out.target}
	}
	if name := targetName(out.target); name != "" && !g.opts.IsTarget(name) {
		out.reason = reasonWrongTarget
	}
	return out
}

func (g *generator) httpRequest(ctx context.Context, q request) *http.Request {
	deadline, _ := ctx.Deadline()
	remaining := max(1, time.Until(deadline).Milliseconds())
	values := url.Values{"ms": {strconv.FormatInt(g.opts.Work.Milliseconds(), 10)}}
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "https", Host: g.opts.Service, Path: "/echo"},
		Host:   g.opts.Service,
		Header: http.Header{headerTimeout: {strconv.FormatInt(remaining, 10)}},
	}
	if q.nonRepeatable {
		text := q.text(&g.opts)
		req.Method = http.MethodPost
		req.URL.Path = "/run"
		req.Header.Set(headerKey, q.key(&g.opts))
		req.Body = io.NopCloser(strings.NewReader(text))
		req.ContentLength = int64(len(text))
	} else {
		values.Set("text", q.text(&g.opts))
	}
	req.URL.RawQuery = values.Encode()
	return req.WithContext(ctx)
}

func cancelStream(s *http3.RequestStream) {
	s.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	s.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
}

// targetName returns the name in "name/number/incarnation".
func targetName(target string) string {
	name, _, _ := strings.Cut(target, "/")
	return name
}
