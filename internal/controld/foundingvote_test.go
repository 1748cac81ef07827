package controld

import (
	"os"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Guards against a second vote after a restart, and against initial voters of later settings.
func TestFoundingVoteIsStored(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	voters := []seedHost{{"c1", "10.0.0.1:7000"}, {"c2", "10.0.0.2:7000"}}
	v, err := openFoundingVoter(folder, voters)
	is.NoErr(err)
	plan := &controlpb.FoundingPlan{Groups: []*controlpb.FoundingGroup{{}}}
	for _, r := range []*controlpb.Founding{
		{Ballot: &controlpb.FoundingBallot{Round: 3, Name: "c2"}},
		{Ballot: &controlpb.FoundingBallot{Round: 3, Name: "c2"}, Plan: plan},
	} {
		reply, err := v.handle(r)
		is.NoErr(err)
		is.True(reply.GetGranted())
	}
	again, err := openFoundingVoter(folder, voters[:1])
	is.NoErr(err)
	is.True(proto.Equal(again.current(), v.current()))
	is.Equal(again.current().GetVoters(), []string{"c1=10.0.0.1:7000", "c2=10.0.0.2:7000"})
	reply, err := again.handle(&controlpb.Founding{Ballot: &controlpb.FoundingBallot{Round: 2, Name: "c1"}, Plan: plan})
	is.NoErr(err)
	is.True(!reply.GetGranted())

	is.NoErr(os.WriteFile(again.path, []byte("no vote"), 0o600))
	_, err = openFoundingVoter(folder, voters)
	is.True(err != nil) // it must not vote anew
}
