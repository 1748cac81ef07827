package agentd

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

const (
	// earlyCancelDivisor bounds early cancellations: a call that its caller cancels
	// before 1/earlyCancelDivisor of the call timeout does not count as a failure.
	earlyCancelDivisor = 4
	// attemptIDBytes is the length of an attempt ID.
	attemptIDBytes = 16
	// grantBackoff and maxGrantBackoff bound the backoff between calls for one grant.
	grantBackoff    = 20 * time.Millisecond
	maxGrantBackoff = time.Second
	// grantRetryAfter is the retry delay when no grant could be acquired.
	grantRetryAfter = time.Second
	// releaseRetryAfter is the least retry delay while a grant is being released.
	releaseRetryAfter = 100 * time.Millisecond
	// heldRetryAfter is the retry delay when another attempt holds the grant.
	heldRetryAfter = time.Second
)

// grantTransport sends commands to the grant groups.
type grantTransport interface {
	grant(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error)
	// group returns the grant group of a key and the number of groups, as far as
	// known.
	group(service uint32, key string) (group, groups int)
}

// keyGrant identifies the grant to run the request of one idempotency key.
type keyGrant struct {
	service uint32
	key     string
	attempt []byte
}

// grantClient acquires, completes and releases grants, so that a request runs at most
// once.
type grantClient struct {
	grantTransport grantTransport
	service        uint32
	timing         timing
	counters       *counters
	// breakers holds a circuit breaker per grant group, so that the loss of one group
	// does not affect the keys of others.
	breakers grantBreakers

	pendingAcquires    atomic.Int64
	backgroundCommands atomic.Int64
	wait               conc.WaitGroup
	ctx                context.Context
}

// grantDecision specifies whether a request may run.
type grantDecision struct {
	// keyGrant is set when the request may run.
	keyGrant *keyGrant
	// answer is the recorded response, set when the request ran before.
	answer *grantpb.Answer
	// refusal is set otherwise.
	refusal *refusal
}

// acquire requests the grant to run the request.
func (gc *grantClient) acquire(c *call) grantDecision {
	defer gc.pendingAcquires.Add(-1)
	if gc.pendingAcquires.Add(1) > maxPendingGrants {
		return priorAttemptUnknown(reason.GrantsFull)
	}
	g := &keyGrant{service: gc.service, key: c.key, attempt: newAttemptID()}
	command := &grantpb.Command{Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
		Service: g.service, Key: g.key, Attempt: g.attempt, Digest: c.digest(),
	}}}
	breaker := gc.breakerFor(g.service, g.key)
	switch breaker.allow() {
	case retry.Probe:
		gc.probe(g)
		fallthrough
	case retry.Refuse:
		return priorAttemptUnknown(reason.GrantUnavailable)
	}
	ctx, cancel := context.WithTimeout(c.ctx, gc.timing.grantTimeout)
	defer cancel()
	result, mayHaveApplied, err := gc.callWithRetries(ctx, command, breaker.open)
	if err != nil {
		return gc.unavailable(c, g, mayHaveApplied)
	}
	return gc.decide(g, result)
}

// probe tests in the background whether the control hosts respond again. It releases
// a grant that was never requested, which has no effect.
func (gc *grantClient) probe(g *keyGrant) {
	gc.wait.Go(func() { _, _ = gc.try(gc.ctx, g.release()) })
}

// unavailable refuses a request without a grant. A grant that may have been given to
// this attempt is released.
func (gc *grantClient) unavailable(c *call, g *keyGrant, mayHaveApplied bool) grantDecision {
	if mayHaveApplied {
		gc.runInBackground(g.release())
	}
	if c.request.Context().Err() != nil {
		return priorAttemptUnknown(reason.CallerGone)
	}
	return priorAttemptUnknown(reason.GrantUnavailable)
}

func (gc *grantClient) decide(g *keyGrant, result *grantpb.Result) grantDecision {
	switch result.GetDecision() {
	case grantpb.Decision_DECISION_GRANTED:
		return grantDecision{keyGrant: g}
	case grantpb.Decision_DECISION_ANSWERED:
		if result.GetAnswer().GetBodyOmitted() {
			return refused(retry.Unknown, reason.AnswerOmitted)
		}
		return grantDecision{answer: result.GetAnswer()}
	case grantpb.Decision_DECISION_HELD:
		return refused(retry.Unknown, reason.Held)
	case grantpb.Decision_DECISION_MISMATCH:
		return refused(retry.NotRun, reason.KeyMismatch)
	case grantpb.Decision_DECISION_FULL:
		return refused(retry.NotRun, reason.KeysFull)
	default:
		return priorAttemptUnknown(reason.GrantUnavailable)
	}
}

// refused returns a refusal decided by the grant group.
func refused(outcome retry.Outcome, why reason.Code) grantDecision {
	retryAfter := grantRetryAfter
	if why == reason.Held {
		retryAfter = heldRetryAfter
	}
	return grantDecision{refusal: &refusal{outcome: outcome, reason: why, retryAfter: retryAfter}}
}

// priorAttemptUnknown returns the refusal when the control hosts did not report
// whether an earlier attempt ran.
func priorAttemptUnknown(why reason.Code) grantDecision {
	return grantDecision{refusal: &refusal{outcome: retry.Unknown, reason: why, retryAfter: grantRetryAfter, priorAttemptUnknown: true}}
}

// complete records the response before it is sent to the caller. After
// completeTimeout it continues in the background, since the request ran in any case.
func (gc *grantClient) complete(g *keyGrant, answer *grantpb.Answer) {
	command := g.complete(answer)
	ctx, cancel := context.WithTimeout(gc.ctx, gc.timing.completeTimeout)
	defer cancel()
	if _, _, err := gc.callWithRetries(ctx, command, nil); err != nil {
		gc.runInBackground(command)
	}
}

// release releases the grant in the background, so that the caller need not wait. A
// retry before releaseRetryAfter may find the grant still held.
func (gc *grantClient) release(g *keyGrant) {
	gc.runInBackground(g.release())
}

// runInBackground retries a command in the background for a bounded time.
func (gc *grantClient) runInBackground(command *grantpb.Command) {
	if gc.backgroundCommands.Add(1) > maxBackgroundCommands {
		gc.backgroundCommands.Add(-1)
		gc.counters.failedRecords.Inc(1)
		return
	}
	gc.wait.Go(func() {
		defer gc.backgroundCommands.Add(-1)
		ctx, cancel := context.WithTimeout(gc.ctx, gc.timing.backgroundTimeout)
		defer cancel()
		if _, _, err := gc.callWithRetries(ctx, command, nil); err != nil {
			gc.counters.failedRecords.Inc(1)
		}
	})
}

// callWithRetries retries a command until its outcome is known. A command carries its
// attempt ID, which makes it idempotent. stop, if not nil, ends the retries early.
// mayHaveApplied is set if a failed call may have been applied.
func (gc *grantClient) callWithRetries(ctx context.Context, command *grantpb.Command, stop func() bool) (result *grantpb.Result, mayHaveApplied bool, err error) {
	policy := retry.Policy{BaseBackoff: grantBackoff, MaxBackoff: maxGrantBackoff}
	for n := 1; ; n++ {
		result, err = gc.try(ctx, command)
		if err == nil {
			return result, mayHaveApplied, nil
		}
		mayHaveApplied = mayHaveApplied || !errors.Is(err, ErrNotApplied)
		if stop != nil && stop() || !pause(ctx, policy.Backoff(n, newRand())) {
			return nil, mayHaveApplied, err
		}
	}
}

// try calls the control hosts once.
func (gc *grantClient) try(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error) {
	service, key, _ := grant.CommandKey(command)
	breaker := gc.breakerFor(service, key)
	began := breaker.clock.now()
	try, cancel := context.WithTimeout(ctx, gc.timing.grantCallTimeout)
	defer cancel()
	result, err := gc.grantTransport.grant(try, command)
	// A call that the caller cancelled early is not a failure of the control hosts.
	if err == nil || ctx.Err() == nil || breaker.clock.now()-began >= gc.timing.grantCallTimeout/earlyCancelDivisor {
		breaker.record(began, err == nil)
	}
	return result, err
}

// breakerFor returns the circuit breaker of the grant group of a key.
func (gc *grantClient) breakerFor(service uint32, key string) *grantBreaker {
	group, _ := gc.grantTransport.group(service, key)
	return gc.breakers[group]
}

// updateLinks records whether a control host is connected.
func (gc *grantClient) updateLinks(connected bool) {
	_, groups := gc.grantTransport.group(gc.service, "")
	for _, breaker := range gc.breakers[:groups] {
		breaker.updateLink(connected)
	}
}

// awaitBackground waits until the background commands have ended.
func (gc *grantClient) awaitBackground() {
	gc.wait.Wait()
}

func (g *keyGrant) complete(answer *grantpb.Answer) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Complete{Complete: &grantpb.Complete{
		Service: g.service, Key: g.key, Attempt: g.attempt, Answer: answer,
	}}}
}

func (g *keyGrant) release() *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Release{Release: &grantpb.Release{
		Service: g.service, Key: g.key, Attempt: g.attempt,
	}}}
}

func newAttemptID() []byte {
	b := make([]byte, attemptIDBytes)
	_, _ = rand.Read(b)
	return b
}

// pause waits and reports whether the full time passed before the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
