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
	// soonPart is the share of a call's time, one in so many, before which its
	// end says nothing.
	soonPart = 4
	// attemptBytes is the length of an attempt's identity.
	attemptBytes = 16
	// grantBackoff and maxGrantBackoff space the calls for one grant.
	grantBackoff    = 20 * time.Millisecond
	maxGrantBackoff = time.Second
	// grantComeBack is told to callers when no grant could be had.
	grantComeBack = time.Second
	// releaseComeBack is the least that is told to callers whose right is
	// being released.
	releaseComeBack = 100 * time.Millisecond
	// heldComeBack is told to callers whose key another attempt holds.
	heldComeBack = time.Second
)

// granter has commands applied by the grant group.
type granter interface {
	grant(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error)
	// group returns which group of how many decides on a key, as far as is
	// known.
	group(service uint32, key string) (group, groups int)
}

// right is the right to run the request of one idempotency key.
type right struct {
	service uint32
	key     string
	attempt []byte
}

// once runs requests at most once, by grants of the control hosts.
type once struct {
	granter  granter
	service  uint32
	timing   timing
	counters *counters
	// lines tell whether each group of grants answers: the loss of one must not
	// refuse the keys of others.
	lines grantLines

	asking    atomic.Int64
	finishing atomic.Int64
	wait      conc.WaitGroup
	ctx       context.Context
}

// verdict is the answer to the question whether a request may run.
type grantVerdict struct {
	// right is set when the request may run.
	right *right
	// answer is set when the request ran before.
	answer *grantpb.Answer
	// refusal is set otherwise.
	refusal *refusal
}

// acquire asks for the right to run the request.
func (o *once) acquire(c *call) grantVerdict {
	defer o.asking.Add(-1)
	if o.asking.Add(1) > maxGrants {
		return unasked(reason.GrantsFull)
	}
	r := &right{service: o.service, key: c.key, attempt: newAttempt()}
	command := &grantpb.Command{Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
		Service: r.service, Key: r.key, Attempt: r.attempt, Digest: c.digest(),
	}}}
	line := o.lineOf(r.service, r.key)
	switch line.allow() {
	case retry.Probe:
		o.probe(r)
		fallthrough
	case retry.Refuse:
		return unasked(reason.GrantUnavailable)
	}
	ctx, cancel := context.WithTimeout(c.ctx, o.timing.grantWait)
	defer cancel()
	result, maybe, err := o.repeat(ctx, command, line.away)
	if err != nil {
		return o.unavailable(c, r, maybe)
	}
	return o.decide(r, result)
}

// probe finds out in the background whether the control hosts answer again, by
// the release of a right that was never asked for: it changes nothing, and
// holds no key if it comes late.
func (o *once) probe(r *right) {
	o.wait.Go(func() { _, _ = o.try(o.ctx, r.release()) })
}

// unavailable refuses a request that got no grant. This attempt never runs, so
// a right that it may have got is given back.
func (o *once) unavailable(c *call, r *right, maybe bool) grantVerdict {
	if maybe {
		o.finish(r.release())
	}
	if c.request.Context().Err() != nil {
		return unasked(reason.CallerGone)
	}
	return unasked(reason.GrantUnavailable)
}

func (o *once) decide(r *right, result *grantpb.Result) grantVerdict {
	switch result.GetDecision() {
	case grantpb.Decision_DECISION_GRANTED:
		return grantVerdict{right: r}
	case grantpb.Decision_DECISION_ANSWERED:
		if result.GetAnswer().GetBodyOmitted() {
			return refused(retry.Unknown, reason.AnswerOmitted)
		}
		return grantVerdict{answer: result.GetAnswer()}
	case grantpb.Decision_DECISION_HELD:
		return refused(retry.Unknown, reason.Held)
	case grantpb.Decision_DECISION_MISMATCH:
		return refused(retry.NotRun, reason.KeyMismatch)
	case grantpb.Decision_DECISION_FULL:
		return refused(retry.NotRun, reason.KeysFull)
	default:
		return unasked(reason.GrantUnavailable)
	}
}

// refused is a verdict that the control hosts gave.
func refused(outcome retry.Outcome, why reason.Code) grantVerdict {
	comeBack := grantComeBack
	if why == reason.Held {
		comeBack = heldComeBack
	}
	return grantVerdict{refusal: &refusal{outcome: outcome, reason: why, comeBack: comeBack}}
}

// unasked is the verdict where the control hosts did not tell whether an
// earlier attempt ran: unknown, whatever became of this one.
func unasked(why reason.Code) grantVerdict {
	return grantVerdict{refusal: &refusal{outcome: retry.Unknown, reason: why, comeBack: grantComeBack, unasked: true}}
}

// complete records the answer before the caller is told. If that takes too
// long it goes on in the background: the request ran, whether the record
// succeeds or not.
func (o *once) complete(r *right, answer *grantpb.Answer) {
	command := r.complete(answer)
	ctx, cancel := context.WithTimeout(o.ctx, o.timing.completeWait)
	defer cancel()
	if _, _, err := o.repeat(ctx, command, nil); err != nil {
		o.finish(command)
	}
}

// release gives the right back in the background: the caller is told at once.
// One that comes back before releaseComeBack may meet its own former attempt
// and is then told that the outcome is unknown; nothing runs twice.
func (o *once) release(r *right) {
	o.finish(r.release())
}

// finish repeats a command in the background for a bounded time.
func (o *once) finish(command *grantpb.Command) {
	if o.finishing.Add(1) > maxFinishes {
		o.finishing.Add(-1)
		o.counters.unrecorded.Inc(1)
		return
	}
	o.wait.Go(func() {
		defer o.finishing.Add(-1)
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.finishLimit)
		defer cancel()
		if _, _, err := o.repeat(ctx, command, nil); err != nil {
			o.counters.unrecorded.Inc(1)
		}
	})
}

// repeat has a command applied, and repeats it until it is known what became
// of it: every command carries its attempt, so that a repetition changes
// nothing. It stops early when stop, if there is one, says so. maybe is set if
// a failed command may have been applied.
func (o *once) repeat(ctx context.Context, command *grantpb.Command, stop func() bool) (result *grantpb.Result, maybe bool, err error) {
	policy := retry.Policy{BaseBackoff: grantBackoff, MaxBackoff: maxGrantBackoff}
	for n := 1; ; n++ {
		result, err = o.try(ctx, command)
		if err == nil {
			return result, maybe, nil
		}
		maybe = maybe || !errors.Is(err, ErrNotApplied)
		if stop != nil && stop() || !pause(ctx, policy.Backoff(n, newRand())) {
			return nil, maybe, err
		}
	}
}

// try asks the control hosts once.
func (o *once) try(ctx context.Context, command *grantpb.Command) (*grantpb.Result, error) {
	service, key, _ := grant.CommandKey(command)
	line := o.lineOf(service, key)
	began := line.clock.now()
	try, cancel := context.WithTimeout(ctx, o.timing.grantTry)
	defer cancel()
	result, err := o.granter.grant(try, command)
	// A caller that gives up soon says nothing of the control hosts.
	if err == nil || ctx.Err() == nil || line.clock.now()-began >= o.timing.grantTry/soonPart {
		line.tried(began, err == nil)
	}
	return result, err
}

// lineOf returns the line to the group that decides on a key.
func (o *once) lineOf(service uint32, key string) *grantLine {
	group, _ := o.granter.group(service, key)
	return o.lines[group]
}

// checkLines records whether there is a connection to a control host.
func (o *once) checkLines(linked bool) {
	_, groups := o.granter.group(o.service, "")
	for _, line := range o.lines[:groups] {
		line.check(linked)
	}
}

// drain waits until the background work has ended.
func (o *once) drain() {
	o.wait.Wait()
}

func (r *right) complete(answer *grantpb.Answer) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Complete{Complete: &grantpb.Complete{
		Service: r.service, Key: r.key, Attempt: r.attempt, Answer: answer,
	}}}
}

func (r *right) release() *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Release{Release: &grantpb.Release{
		Service: r.service, Key: r.key, Attempt: r.attempt,
	}}}
}

func newAttempt() []byte {
	b := make([]byte, attemptBytes)
	_, _ = rand.Read(b)
	return b
}

// pause waits and reports whether the context lasted that long.
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
