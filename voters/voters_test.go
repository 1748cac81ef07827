package voters_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

func voter(name string, incarnation uint64) voters.Member {
	return voters.Member{Replica: voters.Replica{Name: name, Incarnation: incarnation}, Active: true, CaughtUp: true}
}

func learner(name string, incarnation uint64) voters.Member {
	m := voter(name, incarnation)
	m.Learner = true
	return m
}

func silent(m voters.Member) voters.Member {
	m.Active = false
	return m
}

func lagging(m voters.Member) voters.Member {
	m.CaughtUp = false
	return m
}

func transient(m voters.Member) voters.Member {
	m.Transient = true
	return m
}

func TestNext(t *testing.T) {
	for _, tt := range []struct {
		name    string
		members []voters.Member
		want    voters.Change
	}{
		{"all there", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1)},
			voters.Change{Reason: voters.ReasonSettled}},
		{"fourth host", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"lagging learner", []voters.Member{voter("a", 1), lagging(learner("d", 1))},
			voters.Change{Reason: voters.ReasonSettled}},
		{"silent learner", []voters.Member{voter("a", 1), silent(learner("d", 1))},
			voters.Change{Reason: voters.ReasonSettled}},
		{"log in memory", []voters.Member{voter("a", 1), transient(learner("d", 1))},
			voters.Change{Reason: voters.ReasonSettled}},
		{"silent voter keeps its vote", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1))},
			voters.Change{Reason: voters.ReasonSettled}},
		{"lost disk", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1)), lagging(learner("c", 2))},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "c", Incarnation: 1}, Reason: voters.ReasonReplaced}},
		{"neither answers", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1)), silent(learner("c", 2))},
			voters.Change{Reason: voters.ReasonSettled}},
		{"as many as may be", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), voter("d", 1), voter("e", 1), learner("f", 1)},
			voters.Change{Reason: voters.ReasonFull}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(voters.Next(tt.members, 5), tt.want)
		})
	}
}
