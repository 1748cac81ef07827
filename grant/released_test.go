package grant_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

func TestLateAcquireDoesNotHoldTheKey(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	is.Equal(run(t, m, release("k", "one")).GetTaken(), false) // overtook its Acquire
	is.Equal(run(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.Equal(run(t, m, acquire("k", "two", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(run(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.True(run(t, m, complete("k", "two", &grantpb.Answer{Status: 200})).GetTaken())
}

func TestReleasedAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	run(t, m, release("k", "first"))
	for i := range grant.MaxReleased {
		run(t, m, release("k", fmt.Sprint(i)))
	}
	is.Equal(run(t, m, acquire("k", "0", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.Equal(run(t, m, acquire("k", "first", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED) // forgotten
	run(t, m, release("k", "first"))
	pass(t, m, uint64(grant.ReleasedRetention.Milliseconds()))
	is.Equal(run(t, m, acquire("k", "first", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(run(t, m, release("", "one")).GetTaken(), false)
}

// TestReleasedAttemptNeverHolds delivers the commands of several attempts in
// any order, some of them twice: once an attempt was released it is not granted
// the key, and the key can be had by a fresh attempt unless one that was not
// released has it.
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
		seen := map[string]bool{}
		holder := ""
		for _, c := range rapid.Permutation(commands).Draw(t, "order") {
			result := run(t, m, c)
			if c.GetRelease() != nil {
				attempt := string(c.GetRelease().GetAttempt())
				seen[attempt] = true
				if holder == attempt {
					holder = ""
				}
			}
			if result.GetDecision() != grantpb.Decision_DECISION_GRANTED {
				continue
			}
			attempt := string(c.GetAcquire().GetAttempt())
			if seen[attempt] || (holder != "" && holder != attempt) {
				t.Fatalf("granted to %s; released %v, held by %q", attempt, seen, holder)
			}
			holder = attempt
		}
		if released[holder] {
			t.Fatalf("the key is left with %s, which was released", holder)
		}
		fresh := run(t, m, acquire("k", "fresh", "d")).GetDecision()
		if (holder == "") != (fresh == grantpb.Decision_DECISION_GRANTED) {
			t.Fatalf("held by %q, a fresh attempt got %v", holder, fresh)
		}
	})
}
