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
	// firstBackoff doubles with each attempt.
	firstBackoff = 20 * time.Millisecond
	// maxRedirects bounds how often a request moves on to another flow
	// because the first one was taking no more, with nothing sent.
	maxRedirects = 3
	maxAnswer    = 1 << 20
)

// request is one request of a caller, over all of its attempts.
type request struct {
	number        int
	nonRepeatable bool
	scheduled     time.Time
	// seed of the jitter, drawn with the schedule.
	seed uint64
}

// key is the idempotency key; only non-repeatable requests carry it.
func (q request) key(o *Options) string {
	return fmt.Sprintf("%s-%d", o.RunID, q.number)
}

// text is unique, so that the answer to another request shows.
func (q request) text(o *Options) string {
	return "text-" + q.key(o)
}

// perform makes the attempts of a request and records its final outcome.
func (g *generator) perform(ctx context.Context, q request) {
	ctx, cancel := context.WithDeadline(ctx, q.scheduled.Add(g.opts.Deadline))
	defer cancel()
	jitter := rand.New(rand.NewPCG(g.opts.Seed, q.seed))
	var earlier doubt
	for attempt := 1; ; attempt++ {
		s := g.slots[(q.number+attempt-1)%len(g.slots)]
		out := earlier.add(g.attempt(ctx, s, q))
		wait, again := g.retry(ctx, q, out, attempt, jitter)
		if !again {
			g.rec.finished(q, out, time.Since(q.scheduled))
			return
		}
		g.rec.retried(out)
		_ = sleep.For(ctx, wait)
	}
}

// retry decides whether the caller tries again, and when.
func (g *generator) retry(ctx context.Context, q request, out outcome, attempt int, jitter *rand.Rand) (time.Duration, bool) {
	if out.class == ClassAnswered || attempt >= g.opts.MaxAttempts {
		return 0, false
	}
	// Whether it ran is not known: only what may be repeated goes again, unless
	// the system asks for it.
	if out.class == ClassUnknown && q.nonRepeatable && out.comeBack == 0 {
		return 0, false
	}
	wait := max(out.comeBack, firstBackoff<<(attempt-1))
	wait += time.Duration(jitter.Float64() * float64(wait) / 2)
	deadline, _ := ctx.Deadline()
	// Giving up now tells the caller more than a wait past its deadline.
	if time.Until(deadline) <= wait {
		return 0, false
	}
	return wait, g.rec.takeRetry()
}

// attempt sends the request once. It moves to another flow for free while
// nothing of the request was sent.
func (g *generator) attempt(ctx context.Context, s *slot, q request) outcome {
	for redirect := 0; ; redirect++ {
		f, err := s.acquire(ctx)
		if err != nil {
			return dialOutcome(ctx, err)
		}
		out, sent := g.exchange(ctx, f, q)
		if !sent {
			f.leaving.Store(true)
		}
		f.release()
		if sent || ctx.Err() != nil || redirect == maxRedirects {
			return out
		}
	}
}

// exchange sends the request on a flow and reads the whole answer. It tells
// whether the whole header was sent: without it the request cannot be run.
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
		return g.lost(ctx, f, err), true
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return unknown(reasonTruncated), true
	}
	if err != nil {
		return g.lost(ctx, f, err), true
	}
	answer := answerOutcome(res)
	f.answeredBy(answer.target)
	return g.check(q, answer, body), true
}

// lost explains a request that failed after it was sent. A flow whose end
// left the outcome unknown is broken; one that refused the request is not.
func (g *generator) lost(ctx context.Context, f *flow, err error) outcome {
	out := lostOutcome(ctx, err)
	if out.reason == reasonLost {
		g.dialer.requestLost(f, err)
	}
	return out
}

// check holds an answer against its request.
func (g *generator) check(q request, out outcome, body []byte) outcome {
	if out.class != ClassAnswered || out.reason != "" {
		return out
	}
	if !bytes.Equal(body, []byte(q.text(&g.opts))) {
		return outcome{class: ClassUnknown, reason: reasonWrongAnswer, target: out.target}
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

// targetName is the first part of "name/number/incarnation".
func targetName(target string) string {
	name, _, _ := strings.Cut(target, "/")
	return name
}
