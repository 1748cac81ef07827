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

func inactive(m voters.Member) voters.Member {
	m.Active = false
	return m
}

// inactiveFor returns a member that is inactive for d.
func inactiveFor(m voters.Member, d time.Duration) voters.Member {
	m.Active, m.InactiveFor = false, d
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

func TestNextChange(t *testing.T) {
	for _, tt := range []struct {
		name    string
		members []voters.Member
		want    voters.Change
	}{
		{"all active", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1)},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"fourth host", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"lagging learner", []voters.Member{voter("a", 1), lagging(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"inactive learner", []voters.Member{voter("a", 1), inactive(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"lost disk, previous incarnation considered active", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("a", 2)},
			voters.Change{Reason: voters.ReasonPreviousIncarnationVotes}},
		{"the same with another learner", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), learner("a", 2), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"log in memory", []voters.Member{voter("a", 1), transient(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"inactive voter keeps its vote", []voters.Member{voter("a", 1), voter("b", 1), inactive(voter("c", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"lost disk", []voters.Member{voter("a", 1), voter("b", 1), inactive(voter("c", 1)), lagging(learner("c", 2))},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "c", Incarnation: 1}, Reason: voters.ReasonReplaced}},
		{"both incarnations inactive", []voters.Member{voter("a", 1), voter("b", 1), inactive(voter("c", 1)), inactive(learner("c", 2))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"unreachable voter", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), inactiveFor(voter("d", 1), 15*time.Second)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"two unreachable voters", []voters.Member{inactiveFor(voter("a", 1), 20*time.Second), voter("b", 1), inactiveFor(voter("c", 1), 16*time.Second), voter("d", 1), voter("e", 1)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "a", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"inactive for less than RemoveAfter", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), inactiveFor(voter("d", 1), 14*time.Second)},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"unreachable, but too few active voters", []voters.Member{voter("a", 1), voter("b", 1), inactiveFor(voter("c", 1), time.Hour)},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"learners are not counted as voters", []voters.Member{voter("a", 1), voter("b", 1), inactiveFor(voter("c", 1), time.Hour), lagging(learner("d", 1))},
			voters.Change{Reason: voters.ReasonNoChange}},
		{"promotion before removal", []voters.Member{voter("a", 1), voter("b", 1), inactiveFor(voter("c", 1), time.Hour), learner("d", 1)},
			voters.Change{Kind: voters.Promote, Replica: voters.Replica{Name: "d", Incarnation: 1}, Reason: voters.ReasonCaughtUp}},
		{"unreachable learner", []voters.Member{voter("a", 1), voter("b", 1), inactiveFor(learner("c", 1), time.Hour)},
			voters.Change{Kind: voters.Remove, Replica: voters.Replica{Name: "c", Incarnation: 1}, Reason: voters.ReasonUnreachable}},
		{"voter limit reached", []voters.Member{voter("a", 1), voter("b", 1), voter("c", 1), voter("d", 1), voter("e", 1), learner("f", 1)},
			voters.Change{Reason: voters.ReasonMaxVoters}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(voters.NextChange(tt.members, voters.Limits{VoterLimit: 5, MinActiveVoters: 3, RemoveAfter: 15 * time.Second}), tt.want)
		})
	}
}
