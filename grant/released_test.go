package grant_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

func TestLateAcquireIsRefused(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	is.Equal(apply(t, m, release("k", "one")).GetTaken(), false) // delivered before its Acquire
	is.Equal(apply(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.Equal(apply(t, m, acquire("k", "two", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.True(apply(t, m, complete("k", "two", &grantpb.Answer{Status: 200})).GetTaken())
}

func TestReleasedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	apply(t, m, release("k", "first"))
	for i := range grant.MaxReleased {
		apply(t, m, release("k", fmt.Sprint(i)))
	}
	is.Equal(apply(t, m, acquire("k", "0", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.Equal(apply(t, m, acquire("k", "first", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED) // evicted
	apply(t, m, release("k", "first"))
	advanceBy(t, m, uint64(grant.ReleasedRetention.Milliseconds()))
	is.Equal(apply(t, m, acquire("k", "first", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, release("", "one")).GetTaken(), false)
}

// TestReleasedAttemptNeverHolds delivers the commands of several attempts in any order, with
// duplicates. A released attempt must not get the grant or keep it from a new attempt.
func TestReleasedAttemptNeverHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var commands []*grantpb.Command
		released := map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "attempts") {
			attempt := fmt.Sprint(i)
			for range rapid.IntRange(1, 3).Draw(t, "acquires") {
				commands = append(commands, acquire("k", attempt, "d"))
			}
			released[attempt] = rapid.Bool().Draw(t, "released")
			if released[attempt] {
				commands = append(commands, release("k", attempt))
			}
		}
		m := grant.New()
		releasedSoFar := map[string]bool{}
		holder := ""
		for _, c := range rapid.Permutation(commands).Draw(t, "order") {
			result := apply(t, m, c)
			if c.GetRelease() != nil {
				attempt := string(c.GetRelease().GetAttempt())
				releasedSoFar[attempt] = true
				if holder == attempt {
					holder = ""
				}
			}
			if result.GetDecision() != grantpb.Decision_DECISION_GRANTED {
				continue
			}
			attempt := string(c.GetAcquire().GetAttempt())
			if releasedSoFar[attempt] || (holder != "" && holder != attempt) {
				t.Fatalf("granted to %s; released %v, held by %q", attempt, releasedSoFar, holder)
			}
			holder = attempt
		}
		if released[holder] {
			t.Fatalf("the key is held by %s, which was released", holder)
		}
		fresh := apply(t, m, acquire("k", "fresh", "d")).GetDecision()
		if (holder == "") != (fresh == grantpb.Decision_DECISION_GRANTED) {
			t.Fatalf("held by %q, a new attempt got %v", holder, fresh)
		}
	})
}
