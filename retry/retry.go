package retry

import (
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

const (
	// hundred is the scale of the budget: a retry costs this many points and
	// a request earns as many points as the percentage says.
	hundred = 100
	// DefaultReserve is the number of retries that a host may spend before
	// any request has earned them.
	DefaultReserve = 5
	// maxBackoffShift keeps the doubling of the backoff from overflowing.
	maxBackoffShift = 16
)

// Budget limits retries to a share of the requests of a host. It is not safe
// for use by several goroutines at once.
type Budget struct {
	percent uint32
	limit   uint64
	points  uint64
}

// NewBudget returns a budget that allows percent retries per hundred requests
// and holds at most reserve retries that were not spent. It starts full.
func NewBudget(percent uint32, reserve uint32) *Budget {
	limit := uint64(reserve) * hundred
	return &Budget{percent: percent, limit: limit, points: limit}
}

// SetPercent changes the share of requests that may be repeated.
func (b *Budget) SetPercent(percent uint32) {
	b.percent = percent
}

// Deposit records a first attempt, which earns a share of a retry.
func (b *Budget) Deposit() {
	b.points = min(b.points+uint64(b.percent), b.limit)
}

// TryWithdraw spends one retry and reports whether the budget allowed it.
func (b *Budget) TryWithdraw() bool {
	if b.percent == 0 || b.points < hundred {
		return false
	}
	b.points -= hundred
	return true
}

// Policy bounds the attempts of one request.
type Policy struct {
	// MaxAttempts is the largest number of attempts, the first one included.
	MaxAttempts int
	// BaseBackoff is the mean wait before the second attempt.
	BaseBackoff time.Duration
	// MaxBackoff is the longest wait before any attempt.
	MaxBackoff time.Duration
	// MinRemaining is the time that must remain to the deadline after the wait.
	MinRemaining time.Duration
}

// Decision tells whether to repeat an attempt.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Reason is why it is repeated, or why not.
	Reason reason.Code
}

// Decide tells whether a request that failed for the given reason on its n-th
// attempt (counted from 1) is tried again. remaining is the time to the
// deadline. Only a request that was provably not run is ever repeated. The
// budget is charged only when the answer is yes.
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

// Backoff returns the wait after the n-th attempt (counted from 1). Its mean
// doubles with each attempt; jitter spreads it from half of the mean to one
// and a half times the mean, so that requests that failed together do not
// come back together.
func (p Policy) Backoff(n int, rnd *rand.Rand) time.Duration {
	shift := min(max(n-1, 0), maxBackoffShift)
	mean := p.BaseBackoff << shift
	if mean <= 0 || mean > p.MaxBackoff {
		mean = p.MaxBackoff
	}
	wait := time.Duration(float64(mean) * (0.5 + rnd.Float64()))
	return min(wait, p.MaxBackoff)
}
