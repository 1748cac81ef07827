package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

const (
	// reopenDelay is the minimum delay before a caller reopens a session.
	reopenDelay = 200 * time.Millisecond
	// openTimeout bounds the opening of a session.
	openTimeout = 5 * time.Second
)

// runSession keeps one watch stream open until ctx ends, and reopens it when it breaks.
func (g *generator) runSession(ctx context.Context) {
	for ctx.Err() == nil {
		retryAfter := g.watchOnce(ctx)
		_ = sleep.For(ctx, max(retryAfter, reopenDelay))
	}
}

// watchOnce opens a session and reads it until it ends. It returns the Retry-After of a
// refused session.
func (g *generator) watchOnce(ctx context.Context) time.Duration {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	f, err := g.dialer.dial(openCtx)
	if err != nil {
		if ctx.Err() == nil {
			g.rec.sessionRefused(dialOutcome(openCtx, err))
		}
		return 0
	}
	defer f.close()
	stream, err := f.h3.OpenRequestStream(openCtx)
	if err != nil {
		if ctx.Err() == nil {
			g.rec.sessionRefused(notRun(reasonLost))
		}
		return 0
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stop()
	var timedOut atomic.Bool
	eventTimeout := max(SessionTimeoutFactor*g.opts.WatchPeriod, openTimeout)
	timer := time.AfterFunc(eventTimeout, func() {
		timedOut.Store(true)
		cancelStream(stream)
	})
	defer timer.Stop()
	res, out := g.openWatch(ctx, f, stream)
	if res == nil {
		// At the end of the run the caller cancels the stream itself.
		if ctx.Err() == nil {
			g.rec.sessionRefused(out)
		}
		return out.retryAfter
	}
	f.setTarget(out.target)
	g.rec.sessionOpened(out)
	defer g.rec.sessionEnded()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		timer.Reset(eventTimeout)
		g.rec.eventReceived()
	}
	if ctx.Err() == nil {
		reason := breakReason(lines.Err(), timedOut.Load())
		g.dialer.recordBroken(f, reason)
		if g.dialer.hostFailed(f) {
			g.rec.sessionLostWithHost()
			return 0
		}
		g.rec.sessionBroken(reason)
	}
	return 0
}

// openWatch returns the response of an accepted watch, or nil and the outcome.
func (g *generator) openWatch(ctx context.Context, f *flow, stream *http3.RequestStream) (*http.Response, outcome) {
	err := stream.SendRequestHeader(&http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "https", Host: g.opts.Service, Path: "/watch",
			RawQuery: "ms=" + strconv.FormatInt(g.opts.WatchPeriod.Milliseconds(), 10),
		},
		Host:   g.opts.Service,
		Header: http.Header{"Accept": {"text/event-stream"}},
	})
	if err != nil {
		return nil, notRun(reasonLost)
	}
	_ = stream.Close()
	res, err := stream.ReadResponse()
	if err != nil {
		return nil, g.handleFailure(ctx, f, err)
	}
	out := responseOutcome(res)
	if out.class != ClassAnswered || out.reason != "" {
		return nil, out
	}
	return res, out
}

// breakReason returns the reason for the end of an open watch stream.
func breakReason(err error, timedOut bool) string {
	if timedOut {
		return "silent-stream"
	}
	if err == nil {
		return "stream-ended"
	}
	if _, reset := resetCode(err); reset {
		return reasonReset
	}
	if reason := endReason(err); reason != "" {
		return reason
	}
	return reasonLost
}
