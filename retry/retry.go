package retry

import (
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

const (
	// retryCost is the cost of one retry. Each request deposits the percentage.
	retryCost = 100
	// DefaultReserve is the number of retries allowed before any request.
	DefaultReserve = 5
	// maxBackoffShift prevents overflow of the backoff.
	maxBackoffShift = 16
)

// Budget limits retries to a share of the requests of a host. It is not safe for
// concurrent use.
type Budget struct {
	percent uint32
	limit   uint64
	balance uint64
}

// NewBudget returns a budget that allows percent retries per hundred requests and
// accumulates at most reserve unused retries. It starts full.
func NewBudget(percent uint32, reserve uint32) *Budget {
	limit := uint64(reserve) * retryCost
	return &Budget{percent: percent, limit: limit, balance: limit}
}

// SetPercent changes the share of requests that may be retried.
func (b *Budget) SetPercent(percent uint32) {
	b.percent = percent
}

// Deposit records a first attempt, which adds its share of a retry.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+uint64(b.percent), b.limit)
}

// TryWithdraw withdraws one retry and reports whether the budget allowed it.
func (b *Budget) TryWithdraw() bool {
	if b.percent == 0 || b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

// Policy bounds the attempts of one request.
type Policy struct {
	// MaxAttempts is the greatest number of attempts, including the first.
	MaxAttempts int
	// BaseBackoff is the mean backoff before the second attempt.
	BaseBackoff time.Duration
	// MaxBackoff is the longest backoff before any attempt.
	MaxBackoff time.Duration
	// MinRemaining is the time that must remain to the deadline after the backoff.
	MinRemaining time.Duration
}

// Decision specifies whether to retry.
type Decision struct {
	Retry bool
	// Delay is the backoff before the next attempt.
	Delay time.Duration
	// Reason is why the request is retried, or why not.
	Reason reason.Code
}

// Decide returns whether to retry a request whose n-th attempt (counted from 1) failed
// for the given reason. remaining is the time to the deadline. Only a request that
// certainly did not run is retried. The budget is charged only for a retry.
func (p Policy) Decide(n int, outcome Outcome, failed reason.Code, remaining time.Duration, budget *Budget, rnd *rand.Rand) Decision {
	if outcome != NotRun {
		return Decision{Reason: failed}
	}
	if n >= p.MaxAttempts {
		return Decision{Reason: reason.RetryAttempts}
	}
	wait := p.Backoff(n, rnd)
	if remaining-wait < p.MinRemaining {
		return Decision{Reason: reason.RetryDeadline}
	}
	if !budget.TryWithdraw() {
		return Decision{Reason: reason.RetryBudget}
	}
	why := reason.RetryConnect
	if failed == reason.BackendRefused {
		why = reason.RetryRefused
	}
	return Decision{Retry: true, Delay: wait, Reason: why}
}

// Backoff returns the delay after the n-th attempt (counted from 1). Its mean doubles
// with each attempt. Jitter of plus or minus half the mean prevents synchronized
// retries.
func (p Policy) Backoff(n int, rnd *rand.Rand) time.Duration {
	shift := min(max(n-1, 0), maxBackoffShift)
	mean := p.BaseBackoff << shift
	if mean <= 0 || mean > p.MaxBackoff {
		mean = p.MaxBackoff
	}
	wait := time.Duration(float64(mean) * (0.5 + rnd.Float64()))
	return min(wait, p.MaxBackoff)
}
