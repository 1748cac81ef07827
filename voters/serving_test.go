package voters_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

func TestNeedsServingMember(t *testing.T) {
	limits := voters.ServingLimits{MinServing: 3, MaxSubscribersPerMember: 1000}
	for _, tt := range []struct {
		name   string
		load   voters.ServingLoad
		needed bool
		reason voters.Reason
	}{
		{"no subscriber", voters.ServingLoad{Serving: 3}, false, voters.ReasonSufficient},
		{"at the limit", voters.ServingLoad{Serving: 7, Subscribers: 7000}, false, voters.ReasonSufficient},
		{"above the limit", voters.ServingLoad{Serving: 7, Subscribers: 7001}, true, voters.ReasonTooManySubscribers},
		{"large group at the limit", voters.ServingLoad{Serving: 14, Subscribers: 14_000}, false, voters.ReasonSufficient},
		{"too few members", voters.ServingLoad{Serving: 2, Subscribers: 10}, true, voters.ReasonTooFewServing},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			needed, reason := voters.NeedsServingMember(tt.load, limits)
			is.Equal(needed, tt.needed)
			is.Equal(reason, tt.reason)
		})
	}
}

func TestCountActive(t *testing.T) {
	members := []voters.Member{voter("a", 1), inactive(voter("b", 1)), learner("c", 1), inactiveFor(learner("d", 1), time.Hour)}
	is.New(t).Equal(voters.CountActive(members), 2)
}
