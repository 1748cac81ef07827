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

// backendComeBack is told to callers when no backend server is there.
const backendComeBack = time.Second

// retryPolicy bounds the attempts at the backend server of this host.
var retryPolicy = retry.Policy{
	MaxAttempts:  3,
	BaseBackoff:  20 * time.Millisecond,
	MaxBackoff:   200 * time.Millisecond,
	MinRemaining: 5 * time.Millisecond,
}

// backendView is what the proxy has to know of the backend server.
type backendView struct {
	url        *url.URL
	watchPaths []string
}

// proxy passes requests on to the backend server. It implements http.Handler.
type proxy struct {
	self     string
	backend  func() (backendView, bool)
	gate     *gate
	bodies   *bodies
	once     *once
	still    *standstills
	health   *healthState
	counters *counters
	deadline time.Duration

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
		p.refuse(w, beforeAsking(why, 0, usableKey(r)))
		return
	}
	defer c.end()
	if !present {
		p.refuse(w, beforeAsking(reason.BackendAbsent, backendComeBack, c.key))
		return
	}
	if c.watch && c.key == "" {
		p.serveWatch(w, c, view)
		return
	}
	p.serveRequest(w, c, view)
}

// serveRequest serves a request that is no watch.
func (p *proxy) serveRequest(w http.ResponseWriter, c *call, view backendView) {
	if c.key != "" {
		c.arrived = p.still.look()
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	body, release, why := p.bodies.read(c.request)
	if why != reason.None {
		p.refuse(w, beforeAsking(why, backendComeBack, c.key))
		return
	}
	defer release()
	c.body = body
	if c.key == "" {
		p.run(w, c, view, nil)
		return
	}
	verdict := p.ask(c)
	switch {
	case verdict.refusal != nil:
		p.refuse(w, *verdict.refusal)
	case verdict.answer != nil:
		p.replay(w, verdict.answer)
	default:
		p.run(w, c, view, verdict.right)
	}
}

// ask asks for the right to run a request with a key. One that may have waited
// while this process stood still gets none: its caller may have been told by
// another target that the key was not run. The question itself may have gone
// out after a standstill, and a refusal may have come before it, so this is
// looked at again. A right that was granted before one holds the key, and nobody
// else was told not-run since.
func (p *proxy) ask(c *call) grantVerdict {
	if p.still.held(c) {
		return unasked(reason.AgentStalled)
	}
	verdict := p.once.acquire(c)
	if verdict.answer != nil || !p.still.held(c) {
		return verdict
	}
	if verdict.right != nil {
		p.once.release(verdict.right)
	}
	return unasked(reason.AgentStalled)
}

// serveWatch serves a request whose answer streams without an end. It takes no
// slot.
func (p *proxy) serveWatch(w http.ResponseWriter, c *call, view backendView) {
	defer p.watches.Add(-1)
	if p.watches.Add(1) > maxWatches {
		p.refuse(w, refusal{outcome: retry.NotRun, reason: reason.WatchesFull, comeBack: p.gate.figures().comeBack})
		return
	}
	res := p.attempts(c, view)
	if res.outcome != retry.Answered {
		p.refuseResult(w, c, res, nil)
		return
	}
	defer res.exchange.abandon()
	p.counters.outcomes[retry.Answered].Inc(1)
	c.keepOpen()
	answerHead(w, c, res.exchange.response, p.self)
	_ = http.NewResponseController(w).Flush()
	p.pass(w, c, res.exchange)
}

// run takes a slot, has the backend server run the request and passes the
// answer on.
func (p *proxy) run(w http.ResponseWriter, c *call, view backendView, r *right) {
	verdict := p.gate.enter(c.ctx, c.remaining())
	if verdict.Action != admission.Admitted {
		comeBack := max(verdict.RetryAfter, p.giveBack(r))
		p.refuse(w, refusal{outcome: retry.NotRun, reason: verdict.Reason, comeBack: comeBack})
		return
	}
	slot := &slot{gate: p.gate, began: time.Now()}
	defer slot.leave(false)
	res := p.attempts(c, view)
	if res.outcome != retry.Answered {
		slot.leave(false)
		p.refuseResult(w, c, res, r)
		return
	}
	defer res.exchange.abandon()
	if isEventStream(res.exchange.response) && r == nil {
		slot.leave(false)
		c.keepOpen()
	}
	p.answer(w, c, res.exchange, r, slot)
	slot.leave(true)
}

// answer passes a backend server's answer on. A short one is read whole first:
// a truncated one is then refused instead of cut off in the middle. The slot is
// given back once the backend server is done: to record the answer takes longer
// than many a request.
func (p *proxy) answer(w http.ResponseWriter, c *call, x *exchange, r *right, s *slot) {
	if r == nil && !short(x.response, maxRecordBytes) {
		p.counters.outcomes[retry.Answered].Inc(1)
		answerHead(w, c, x.response, p.self)
		p.pass(w, c, x)
		return
	}
	head, whole, err := readHead(x.response, maxRecordBytes)
	if err != nil {
		p.cut(w, c)
		return
	}
	if whole {
		s.leave(true)
	}
	if r != nil && whole {
		p.once.complete(r, record(x.response, head))
	}
	p.counters.outcomes[retry.Answered].Inc(1)
	answerHead(w, c, x.response, p.self)
	if _, err := w.Write(head); err != nil || whole {
		trailers(w, x.response)
		return
	}
	p.pass(w, c, x)
	if r != nil {
		p.once.complete(r, &grantpb.Answer{Status: uint32(x.response.StatusCode), BodyOmitted: true})
	}
}

// cut refuses a request whose answer ended early.
func (p *proxy) cut(w http.ResponseWriter, c *call) {
	why := reason.AnswerTruncated
	if c.ctx.Err() != nil {
		why = ctxReason(c.ctx, reason.Deadline, reason.CallerGone)
	}
	p.health.observe(health.Failed)
	p.refuse(w, refusal{outcome: retry.Unknown, reason: why})
}

// pass streams the rest of an answer. An answer that ends early is reset, as
// an ordinary end would make it look whole.
func (p *proxy) pass(w http.ResponseWriter, c *call, x *exchange) {
	err := stream(w, x.response)
	if err == nil {
		trailers(w, x.response)
		return
	}
	x.abandon()
	if errors.Is(err, errCut) && c.request.Context().Err() == nil {
		p.counters.count(reason.AnswerTruncated)
		p.health.observe(health.Failed)
	}
	p.counters.resets.Inc(1)
	panic(http.ErrAbortHandler)
}

// attempts sends the request, and again if it provably did not run and
// budget and deadline allow.
func (p *proxy) attempts(c *call, view backendView) result {
	p.earn()
	for n := 1; ; n++ {
		if why := c.over(); why != reason.None {
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

func (p *proxy) earn() {
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

// refuseResult tells the caller of a request that got no answer.
func (p *proxy) refuseResult(w http.ResponseWriter, c *call, res result, r *right) {
	comeBack := max(res.comeBack, p.gate.figures().comeBack)
	if res.outcome == retry.NotRun {
		comeBack = max(comeBack, p.giveBack(r))
	}
	if res.reason == reason.BackendUnreachable {
		comeBack = max(comeBack, backendComeBack)
	}
	p.refuse(w, refusal{outcome: res.outcome, reason: res.reason, comeBack: comeBack})
}

// giveBack releases the right of a request that provably did not run. It
// returns the least time to come back, in which the release should be done.
func (p *proxy) giveBack(r *right) time.Duration {
	if r == nil {
		return 0
	}
	p.once.release(r)
	return releaseComeBack
}

// replay answers with the recorded answer of an earlier attempt.
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
	f.write(w, p.self, random())
}

// record is the answer as the control hosts keep it. A body that they would drop
// is not sent to them: it would go through the log of each.
func record(response *http.Response, body []byte) *grantpb.Answer {
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

// slot is a slot that one request holds.
type slot struct {
	gate  *gate
	began time.Time
	left  bool
}

// leave gives the slot back, once. ended is set when the request ran to its
// end, so that its duration counts.
func (s *slot) leave(ended bool) {
	if s.left {
		return
	}
	s.left = true
	took := time.Duration(0)
	if ended {
		took = time.Since(s.began)
	}
	s.gate.leave(took)
}
