package founding_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/founding"
	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"
)

// plan returns a plan that is told apart by a name.
func plan(name string) *controlpb.FoundingPlan {
	return &controlpb.FoundingPlan{Groups: []*controlpb.FoundingGroup{{
		Membership: &raftpb.Membership{Members: []*raftpb.Member{{Address: name}}},
	}}}
}

// proposer is a host that proposes, with its requests on their way.
type proposer struct {
	name   string
	needed int
	ballot *controlpb.FoundingBallot
	// chosen is set in the second phase, granted has the replies of the phase by voter.
	chosen  *controlpb.FoundingPlan
	granted map[int]*controlpb.FoundingReply
}

// request returns the request of the present phase.
func (p *proposer) request() *controlpb.Founding {
	return &controlpb.Founding{Ballot: p.ballot, Plan: p.chosen}
}

// receive handles a reply. It returns the plan that was decided, if any.
func (p *proposer) receive(voter int, to *controlpb.Founding, r *controlpb.FoundingReply) *controlpb.FoundingPlan {
	if !proto.Equal(to, p.request()) || !r.GetGranted() {
		return nil
	}
	p.granted[voter] = r
	if len(p.granted) < p.needed {
		return nil
	}
	if p.chosen != nil {
		return p.chosen
	}
	var promises []*controlpb.FoundingReply
	for _, r := range p.granted {
		promises = append(promises, r)
	}
	p.chosen, p.granted = founding.Choose(plan(p.name), promises), map[int]*controlpb.FoundingReply{}
	return nil
}

// Guards against two groups: whatever is lost, late or repeated, whichever hosts propose and restart,
// and whether they know the others, at most one plan is decided.
func TestOnePlanIsDecided(t *testing.T) {
	decisions := 0
	rapid.Check(t, func(t *rapid.T) {
		seeds := rapid.IntRange(1, 5).Draw(t, "initial voters")
		durable := rapid.IntRange(1, seeds).Draw(t, "durable ones")
		votes := make([]*controlpb.FoundingVote, durable)
		proposers := make([]*proposer, durable)
		for i := range durable {
			votes[i] = &controlpb.FoundingVote{}
			proposers[i] = &proposer{name: fmt.Sprint("host-", i)}
		}
		var decided *controlpb.FoundingPlan
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, durable-1).Draw(t, "host")
			p := proposers[i]
			if p.ballot == nil || rapid.IntRange(0, 5).Draw(t, "start") == 0 {
				// It begins again, after a restart or because it got no majority.
				p.needed = founding.Majority(seeds)
				if rapid.Bool().Draw(t, "knows all") {
					p.needed = founding.Majority(durable)
				}
				p.ballot, p.chosen, p.granted = founding.NextBallot(p.name, votes[i]), nil, map[int]*controlpb.FoundingReply{}
				votes[i], _ = founding.Vote(votes[i], p.request())
			}
			voter := rapid.IntRange(0, durable-1).Draw(t, "voter")
			request := p.request()
			after, reply := founding.Vote(votes[voter], request)
			votes[voter] = after
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			got := p.receive(voter, request, reply)
			if got == nil {
				continue
			}
			decisions++
			if decided != nil && !proto.Equal(decided, got) {
				t.Fatalf("decided %v and %v", decided, got)
			}
			decided = got
		}
	})
	if decisions == 0 {
		t.Fatal("nothing was decided")
	}
}

func TestVote(t *testing.T) {
	is := is.New(t)
	ballot := func(round uint64, name string) *controlpb.FoundingBallot {
		return &controlpb.FoundingBallot{Round: round, Name: name}
	}
	v, reply := founding.Vote(&controlpb.FoundingVote{Voters: []string{"a"}}, &controlpb.Founding{Ballot: ballot(1, "b")})
	is.True(reply.GetGranted())
	_, reply = founding.Vote(v, &controlpb.Founding{Ballot: ballot(1, "a"), Plan: plan("a")})
	is.True(!reply.GetGranted()) // the same round of a lower name
	v, reply = founding.Vote(v, &controlpb.Founding{Ballot: ballot(1, "b"), Plan: plan("b")})
	is.True(reply.GetGranted())
	v, reply = founding.Vote(v, &controlpb.Founding{Ballot: ballot(2, "a")})
	is.True(reply.GetGranted())
	is.True(proto.Equal(reply.GetVote().GetPlan(), plan("b"))) // told to the later proposer
	is.Equal(v.GetVoters(), []string{"a"})
	is.True(proto.Equal(founding.Choose(plan("a"), []*controlpb.FoundingReply{{}, reply}), plan("b")))
	is.True(proto.Equal(founding.Choose(plan("a"), []*controlpb.FoundingReply{{}}), plan("a")))
	is.Equal(founding.NextBallot("c", v).GetRound(), uint64(3))
}
