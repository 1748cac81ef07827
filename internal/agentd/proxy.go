package agentd

import (
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/admission"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/health"
	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

// backendRetryAfter is the retry delay when the backend server is unavailable.
const backendRetryAfter = time.Second

// retryPolicy bounds the attempts at the backend server.
var retryPolicy = retry.Policy{
	MaxAttempts:  3,
	BaseBackoff:  20 * time.Millisecond,
	MaxBackoff:   200 * time.Millisecond,
	MinRemaining: 5 * time.Millisecond,
}

// backendView holds the parts of an announcement that the proxy uses.
type backendView struct {
	url        *url.URL
	watchPaths []string
}

// proxy forwards requests to the backend server. It implements http.Handler.
type proxy struct {
	self         string
	backend      func() (backendView, bool)
	limiter      *limiter
	bodyLimiter  *bodyLimiter
	grantClient  *grantClient
	stallMonitor *stalls
	health       *healthState
	counters     *counters
	deadline     time.Duration

	transport *http.Transport
	watches   atomic.Int64

	mu     sync.Mutex
	budget *retry.Budget
}

// ServeHTTP implements http.Handler.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view, present := p.backend()
	c, why := newCall(r, view.watchPaths, p.deadline)
	if why != reason.None {
		p.refuse(w, refusalBeforeGrant(why, 0, validKey(r)))
		return
	}
	defer c.end()
	if !present {
		p.refuse(w, refusalBeforeGrant(reason.BackendAbsent, backendRetryAfter, c.key))
		return
	}
	if c.watch && c.key == "" {
		p.serveWatch(w, c, view)
		return
	}
	p.serveRequest(w, c, view)
}

// serveRequest serves a request that is not a watch.
func (p *proxy) serveRequest(w http.ResponseWriter, c *call, view backendView) {
	if c.key != "" {
		c.receivedAt = p.stallMonitor.tick()
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, release, why := p.bodyLimiter.read(c.request)
	if why != reason.None {
		p.refuse(w, refusalBeforeGrant(why, backendRetryAfter, c.key))
		return
	}
	defer release()
	c.body = body
	if c.key == "" {
		p.run(w, c, view, nil)
		return
	}
	decision := p.acquireGrant(c)
	switch {
	case decision.refusal != nil:
		p.refuse(w, *decision.refusal)
	case decision.answer != nil:
		p.replay(w, decision.answer)
	default:
		p.run(w, c, view, decision.keyGrant)
	}
}

// acquireGrant acquires the grant for a request with a key. A request that may
// predate a stall gets none, because another target may have reported its key as not
// run in the meantime. The check is repeated after the call to the control hosts,
// which a stall may have delayed too. A later stall is harmless, since the grant
// holds the key.
func (p *proxy) acquireGrant(c *call) grantDecision {
	if p.stallMonitor.mayPredateStall(c) {
		return priorAttemptUnknown(reason.AgentStalled)
	}
	decision := p.grantClient.acquire(c)
	if decision.answer != nil || !p.stallMonitor.mayPredateStall(c) {
		return decision
	}
	if decision.keyGrant != nil {
		p.grantClient.release(decision.keyGrant)
	}
	return priorAttemptUnknown(reason.AgentStalled)
}

// serveWatch serves a request with an endless response. It uses no slot.
func (p *proxy) serveWatch(w http.ResponseWriter, c *call, view backendView) {
	defer p.watches.Add(-1)
	if p.watches.Add(1) > maxWatches {
		p.refuse(w, refusal{outcome: retry.NotRun, reason: reason.WatchesFull, retryAfter: p.limiter.snapshot().retryAfter})
		return
	}
	res := p.attemptWithRetries(c, view)
	if res.outcome != retry.Answered {
		p.refuseResult(w, c, res, nil)
		return
	}
	defer res.exchange.abandon()
	p.counters.outcomes[retry.Answered].Inc(1)
	c.clearDeadline()
	writeResponseHeader(w, c, res.exchange.response, p.self)
	_ = http.NewResponseController(w).Flush()
	p.streamResponse(w, c, res.exchange)
}

// run acquires a slot, sends the request to the backend server and forwards the
// response.
func (p *proxy) run(w http.ResponseWriter, c *call, view backendView, g *keyGrant) {
	decision := p.limiter.acquire(c.ctx, c.remaining())
	if decision.Action != admission.Admitted {
		retryAfter := max(decision.RetryAfter, p.releaseGrant(g))
		p.refuse(w, refusal{outcome: retry.NotRun, reason: decision.Reason, retryAfter: retryAfter})
		return
	}
	slot := &slot{limiter: p.limiter, began: time.Now()}
	defer slot.release(false)
	res := p.attemptWithRetries(c, view)
	if res.outcome != retry.Answered {
		slot.release(false)
		p.refuseResult(w, c, res, g)
		return
	}
	defer res.exchange.abandon()
	if isEventStream(res.exchange.response) && g == nil {
		slot.release(false)
		c.clearDeadline()
	}
	p.forwardResponse(w, c, res.exchange, g, slot)
	slot.release(true)
}

// forwardResponse forwards a response of the backend server. A short response is read
// completely first, so that a truncated one is refused instead of reset midway. The
// slot is released before the response is recorded, which can take longer than the
// request.
func (p *proxy) forwardResponse(w http.ResponseWriter, c *call, x *exchange, g *keyGrant, s *slot) {
	if g == nil && !fitsLimit(x.response, maxRecordBytes) {
		p.counters.outcomes[retry.Answered].Inc(1)
		writeResponseHeader(w, c, x.response, p.self)
		p.streamResponse(w, c, x)
		return
	}
	prefix, full, err := readPrefix(x.response, maxRecordBytes)
	if err != nil {
		p.refuseTruncated(w, c)
		return
	}
	if full {
		s.release(true)
	}
	if g != nil && full {
		p.grantClient.complete(g, recordedAnswer(x.response, prefix))
	}
	p.counters.outcomes[retry.Answered].Inc(1)
	writeResponseHeader(w, c, x.response, p.self)
	if _, err := w.Write(prefix); err != nil || full {
		copyTrailers(w, x.response)
		return
	}
	p.streamResponse(w, c, x)
	if g != nil {
		p.grantClient.complete(g, &grantpb.Answer{Status: uint32(x.response.StatusCode), BodyOmitted: true})
	}
}

// refuseTruncated refuses a request whose response was truncated.
func (p *proxy) refuseTruncated(w http.ResponseWriter, c *call) {
	why := reason.AnswerTruncated
	if c.ctx.Err() != nil {
		why = ctxReason(c.ctx, reason.Deadline, reason.CallerGone)
	}
	p.health.observe(health.Failed)
	p.refuse(w, refusal{outcome: retry.Unknown, reason: why})
}

// streamResponse streams the rest of a response. A truncated response resets the
// stream, since a normal end would make it look complete.
func (p *proxy) streamResponse(w http.ResponseWriter, c *call, x *exchange) {
	err := stream(w, x.response)
	if err == nil {
		copyTrailers(w, x.response)
		return
	}
	x.abandon()
	if errors.Is(err, errTruncated) && c.request.Context().Err() == nil {
		p.counters.count(reason.AnswerTruncated)
		p.health.observe(health.Failed)
	}
	p.counters.resets.Inc(1)
	panic(http.ErrAbortHandler)
}

// attemptWithRetries sends the request and retries it while it certainly did not run
// and budget and deadline allow.
func (p *proxy) attemptWithRetries(c *call, view backendView) result {
	p.depositRetry()
	for n := 1; ; n++ {
		if why := c.endReason(); why != reason.None {
			return result{outcome: retry.NotRun, reason: why}
		}
		p.health.started()
		res := attempt(p.transport, view.url, c, p.self)
		p.health.ended(healthResult(res))
		if res.outcome != retry.NotRun || c.ctx.Err() != nil {
			return res
		}
		next := p.decide(n, c, res)
		p.counters.count(next.Reason)
		if !next.Retry {
			return res
		}
		_ = pause(c.ctx, next.Delay)
	}
}

func (p *proxy) depositRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit()
}

func (p *proxy) decide(n int, c *call, res result) retry.Decision {
	rnd := newRand()
	p.mu.Lock()
	defer p.mu.Unlock()
	return retryPolicy.Decide(n, res.outcome, res.reason, c.remaining(), p.budget, rnd)
}

func (p *proxy) setRetryPercent(percent uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.SetPercent(percent)
}

// refuseResult refuses a request that got no response.
func (p *proxy) refuseResult(w http.ResponseWriter, c *call, res result, g *keyGrant) {
	retryAfter := max(res.retryAfter, p.limiter.snapshot().retryAfter)
	if res.outcome == retry.NotRun {
		retryAfter = max(retryAfter, p.releaseGrant(g))
	}
	if res.reason == reason.BackendUnreachable {
		retryAfter = max(retryAfter, backendRetryAfter)
	}
	p.refuse(w, refusal{outcome: res.outcome, reason: res.reason, retryAfter: retryAfter})
}

// releaseGrant releases the grant of a request that certainly did not run. It returns
// the least retry delay, within which the release should complete.
func (p *proxy) releaseGrant(g *keyGrant) time.Duration {
	if g == nil {
		return 0
	}
	p.grantClient.release(g)
	return releaseRetryAfter
}

// replay sends the recorded response of an earlier attempt.
func (p *proxy) replay(w http.ResponseWriter, answer *grantpb.Answer) {
	p.counters.replayed.Inc(1)
	p.counters.outcomes[retry.Answered].Inc(1)
	h := w.Header()
	h.Set(headerOutcome, retry.Answered.String())
	h.Set(headerReplayed, "true")
	h.Set(headerTarget, p.self)
	if answer.GetContentType() != "" {
		h.Set("Content-Type", answer.GetContentType())
	}
	w.WriteHeader(int(answer.GetStatus()))
	_, _ = w.Write(answer.GetBody())
}

// refuse counts and writes a refusal.
func (p *proxy) refuse(w http.ResponseWriter, f refusal) {
	p.counters.count(f.reason)
	p.counters.outcomes[f.outcome].Inc(1)
	f.write(w, p.self, randomJitter())
}

// recordedAnswer returns the response as recorded at the control hosts. A body over
// grant.MaxBodyLength is omitted here, since they would drop it only after
// replication.
func recordedAnswer(response *http.Response, body []byte) *grantpb.Answer {
	answer := &grantpb.Answer{
		Status:      uint32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
	}
	if len(body) > grant.MaxBodyLength {
		answer.BodyOmitted = true
	} else {
		answer.Body = body
	}
	return answer
}

// slot is a slot held by one request.
type slot struct {
	limiter  *limiter
	began    time.Time
	released bool
}

// release releases the slot once. ended is set if the request completed, so that its
// duration is recorded.
func (s *slot) release(ended bool) {
	if s.released {
		return
	}
	s.released = true
	took := time.Duration(0)
	if ended {
		took = time.Since(s.began)
	}
	s.limiter.release(took)
}
