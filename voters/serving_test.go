package voters_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

func TestLacks(t *testing.T) {
	limits := voters.ServingLimits{MinServing: 3, MaxSubscribersPerMember: 1000}
	for _, tt := range []struct {
		name   string
		supply voters.ServingLoad
		lacks  bool
		reason voters.Reason
	}{
		{"no subscriber", voters.ServingLoad{Serving: 3}, false, voters.ReasonSufficient},
		{"as many as the members are to serve", voters.ServingLoad{Serving: 7, Subscribers: 7000}, false, voters.ReasonSufficient},
		{"one more", voters.ServingLoad{Serving: 7, Subscribers: 7001}, true, voters.ReasonTooManySubscribers},
		{"the largest fleet", voters.ServingLoad{Serving: 14, Subscribers: 14_000}, false, voters.ReasonSufficient},
		{"few answer", voters.ServingLoad{Serving: 2, Subscribers: 10}, true, voters.ReasonTooFewServing},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lacks, reason := voters.NeedsServingMember(tt.supply, limits)
			is.Equal(lacks, tt.lacks)
			is.Equal(reason, tt.reason)
		})
	}
}

func TestAnswering(t *testing.T) {
	members := []voters.Member{voter("a", 1), silent(voter("b", 1)), learner("c", 1), away(learner("d", 1), time.Hour)}
	is.New(t).Equal(voters.CountActive(members), 2)
}
