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
	// reopenPause is the wait before a caller opens a session again.
	reopenPause = 200 * time.Millisecond
	// openTimeout bounds the opening of a session.
	openTimeout = 5 * time.Second
)

// session holds one watch stream open until ctx ends, and opens another when
// it breaks.
func (g *generator) session(ctx context.Context) {
	for ctx.Err() == nil {
		pause := g.watchOnce(ctx)
		_ = sleep.For(ctx, max(pause, reopenPause))
	}
}

// watchOnce opens a session and reads it to its end. It returns how long the
// system asked to stay away.
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
	var silent atomic.Bool
	limit := max(SessionTimeoutFactor*g.opts.WatchPeriod, openTimeout)
	guard := time.AfterFunc(limit, func() {
		silent.Store(true)
		cancelStream(stream)
	})
	defer guard.Stop()
	res, out := g.openWatch(ctx, f, stream)
	if res == nil {
		// At the end of the run the caller itself gives up.
		if ctx.Err() == nil {
			g.rec.sessionRefused(out)
		}
		return out.comeBack
	}
	f.answeredBy(out.target)
	g.rec.sessionOpened(out)
	defer g.rec.sessionEnded()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		guard.Reset(limit)
		g.rec.event()
	}
	if ctx.Err() == nil {
		reason := breakReason(lines.Err(), silent.Load())
		g.dialer.breakFlow(f, reason)
		if g.dialer.hostFailed(f) {
			g.rec.sessionLostWithHost()
			return 0
		}
		g.rec.sessionBroken(reason)
	}
	return 0
}

// openWatch returns the response of an accepted watch, or why there is none.
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
		return nil, g.lost(ctx, f, err)
	}
	out := answerOutcome(res)
	if out.class != ClassAnswered || out.reason != "" {
		return nil, out
	}
	return res, out
}

// breakReason tells why a watch that was open ended.
func breakReason(err error, silent bool) string {
	if silent {
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
