package founding

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Compare orders ballots by round, then by the name of the proposer.
func Compare(a, b *controlpb.FoundingBallot) int {
	return cmp.Or(cmp.Compare(a.GetRound(), b.GetRound()), cmp.Compare(a.GetName(), b.GetName()))
}

// Vote answers a request. The vote that it returns has to be stored before the reply is sent. It is
// the same as before if the request is refused, since a higher ballot was promised.
func Vote(before *controlpb.FoundingVote, r *controlpb.Founding) (after *controlpb.FoundingVote, reply *controlpb.FoundingReply) {
	if Compare(r.GetBallot(), before.GetPromised()) < 0 {
		return before, &controlpb.FoundingReply{Vote: before}
	}
	after = proto.CloneOf(before)
	after.Promised = r.GetBallot()
	if r.GetPlan() != nil {
		after.Accepted, after.Plan = r.GetBallot(), r.GetPlan()
	}
	return after, &controlpb.FoundingReply{Granted: true, Vote: after}
}

// NextBallot returns a ballot of a proposer above all that it has seen, those of its own vote
// included.
func NextBallot(name string, seen ...*controlpb.FoundingVote) *controlpb.FoundingBallot {
	var highest uint64
	for _, v := range seen {
		highest = max(highest, v.GetPromised().GetRound())
	}
	return &controlpb.FoundingBallot{Round: highest + 1, Name: name}
}

// Majority returns how many of a number of voters have to grant a request.
func Majority(voters int) int { return voters/2 + 1 }

// Choose returns the plan to propose after a majority has promised: the accepted one of the highest
// ballot, which may have got through, or the own one.
func Choose(own *controlpb.FoundingPlan, promises []*controlpb.FoundingReply) *controlpb.FoundingPlan {
	plan, ballot := own, (*controlpb.FoundingBallot)(nil)
	for _, p := range promises {
		v := p.GetVote()
		if v.GetPlan() != nil && Compare(v.GetAccepted(), ballot) > 0 {
			plan, ballot = v.GetPlan(), v.GetAccepted()
		}
	}
	return plan
}
