package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/reason"
	"eelgrasswharf.example/eelgrasswharf/retry"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		name    string
		attempt retry.Attempt
		outcome retry.Outcome
		reason  reason.Code
	}{
		{"connect refused", retry.Attempt{Failed: true}, retry.NotRun, reason.BackendUnreachable},
		{"one byte sent, then reset", retry.Attempt{Failed: true, BytesSent: 1}, retry.Unknown, reason.BackendReset},
		{"deadline after sending", retry.Attempt{Failed: true, BytesSent: 9, FailReason: reason.Deadline}, retry.Unknown, reason.Deadline},
		{"crossed", retry.Attempt{Failed: true, BytesSent: 9, FailReason: reason.AnswerCrossed}, retry.Unknown, reason.AnswerCrossed},
		{"reported as not run", retry.Attempt{BytesSent: 9, RefusedNotRun: true}, retry.NotRun, reason.BackendRefused},
		{"reported as not run, but the response is broken", retry.Attempt{BytesSent: 9, RefusedNotRun: true, Failed: true}, retry.Unknown, reason.BackendReset},
		{"answered", retry.Attempt{BytesSent: 9}, retry.Answered, reason.None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			outcome, why := retry.Classify(c.attempt)
			is.Equal(outcome, c.outcome)
			is.Equal(why, c.reason)
		})
	}
}

func TestClassifyReportsNotRunOnlyIfProven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			BytesSent:     rapid.Int64Range(0, 3).Draw(t, "bytes"),
			Failed:        rapid.Bool().Draw(t, "failed"),
			RefusedNotRun: rapid.Bool().Draw(t, "refused"),
		}
		outcome, _ := retry.Classify(a)
		proven := (a.Failed && a.BytesSent == 0) || (!a.Failed && a.RefusedNotRun)
		if (outcome == retry.NotRun) != proven {
			t.Fatalf("%+v classified as %v", a, outcome)
		}
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.Uint32Range(0, 100).Draw(t, "percent")
		reserve := rapid.Uint32Range(0, 20).Draw(t, "reserve")
		steps := rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "steps")
		b := retry.NewBudget(percent, reserve)
		requests, retries := uint64(0), uint64(0)
		for _, isRequest := range steps {
			if isRequest {
				b.Deposit()
				requests++
				continue
			}
			if b.TryWithdraw() {
				retries++
			}
		}
		if retries*100 > requests*uint64(percent)+uint64(reserve)*100 {
			t.Fatalf("%d retries for %d requests at %d%% and reserve %d", retries, requests, percent, reserve)
		}
	})
}

func TestDecideRespectsOutcomeAttemptsAndDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := retry.Policy{
			MaxAttempts:  rapid.IntRange(1, 5).Draw(t, "attempts"),
			BaseBackoff:  time.Duration(rapid.Int64Range(1, 1000).Draw(t, "base")) * time.Millisecond,
			MaxBackoff:   time.Duration(rapid.Int64Range(1, 5000).Draw(t, "max")) * time.Millisecond,
			MinRemaining: time.Millisecond,
		}
		n := rapid.IntRange(1, 8).Draw(t, "n")
		outcome := rapid.SampledFrom([]retry.Outcome{retry.NotRun, retry.Unknown, retry.Answered}).Draw(t, "outcome")
		remaining := time.Duration(rapid.Int64Range(-1000, 10000).Draw(t, "remaining")) * time.Millisecond
		d := p.Decide(n, outcome, reason.BackendUnreachable, remaining, retry.NewBudget(10, 1), rnd)
		if !d.Retry {
			return
		}
		if outcome != retry.NotRun || n >= p.MaxAttempts || d.Delay+p.MinRemaining > remaining || d.Delay > p.MaxBackoff {
			t.Fatalf("retried: n=%d outcome=%v remaining=%v decision=%+v policy=%+v", n, outcome, remaining, d, p)
		}
	})
}

func TestDecideReason(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	p := retry.Policy{MaxAttempts: 3, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond, MinRemaining: time.Millisecond}
	empty := retry.NewBudget(10, 0)
	full := retry.NewBudget(10, 5)
	is.Equal(p.Decide(1, retry.Unknown, reason.BackendReset, time.Second, full, rnd).Reason, reason.BackendReset)
	is.Equal(p.Decide(3, retry.NotRun, reason.BackendRefused, time.Second, full, rnd).Reason, reason.RetryAttempts)
	is.Equal(p.Decide(1, retry.NotRun, reason.BackendRefused, 2*time.Millisecond, full, rnd).Reason, reason.RetryDeadline)
	is.Equal(p.Decide(1, retry.NotRun, reason.BackendRefused, time.Second, empty, rnd).Reason, reason.RetryBudget)
	is.Equal(p.Decide(1, retry.NotRun, reason.BackendRefused, time.Second, full, rnd).Reason, reason.RetryRefused)
	is.Equal(p.Decide(1, retry.NotRun, reason.BackendUnreachable, time.Second, full, rnd).Reason, reason.RetryConnect)
}
