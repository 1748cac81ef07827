package voters_test

import (
	"testing"
	"time"

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

// away is a member that has been silent for a time.
func away(m voters.Member, silent time.Duration) voters.Member {
	m.Active, m.InactiveFor = false, silent
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
			voters.Change{Reason: voters.ReasonNoChange}},
		{"fourth host", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"lagging learner", []voters.Member{voter("a", 1), lagging(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"silent learner", []voters.Member{voter("a", 1), silent(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"lost disk, and a new leader that takes all for active", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("a", 2)},
			voters.Change{Reason: voters.ReasonPreviousIncarnationVotes}},
		{"the same beside another learner", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("a", 2), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"log in memory", []voters.Member{voter("a", 1), transient(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"silent voter keeps its vote", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"lost disk", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1)), lagging(learner("c", 2))},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "c", Incarnation: 1}, Reason: voters.ReasonReplaced}},
		{"neither answers", []voters.Member{voter("a", 1), voter("b", 1), silent(voter("c", 1)), silent(learner("c", 2))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"gone, and enough are left", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), away(voter("d", 1), 15*time.Second)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"two gone, and enough are left", []voters.Member{away(voter("a", 1), 20*time.Second), voter("b", 1), away(voter("c", 1), 16*time.Second), voter("d", 1), voter("e", 1)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "a", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"away for a while", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), away(voter("d", 1), 14*time.Second)},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"gone, but too few are left", []voters.Member{voter("a", 1), voter("b", 1), away(voter("c", 1), time.Hour)},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"learners do not stand in", []voters.Member{voter("a", 1), voter("b", 1), away(voter("c", 1), time.Hour), lagging(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"the newcomer votes first", []voters.Member{voter("a", 1), voter("b", 1), away(voter("c", 1), time.Hour), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"gone learner", []voters.Member{voter("a", 1), voter("b", 1), away(learner("c", 1), time.Hour)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "c", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"as many as may be", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), voter("d", 1), voter("e", 1), learner("f", 1)},
			voters.Change{Reason: voters.ReasonMaxVoters}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(voters.NextChange(tt.members, voters.Limits{VoterLimit: 5, MinActiveVoters: 3, RemoveAfter: 15 * time.Second}), tt.want)
		})
	}
}
