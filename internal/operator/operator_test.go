package operator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

// fake answers what a test wants.
type fake struct {
	submit  func(context.Context, *configpb.Patch) (*configpb.Outcome, error)
	members error
	// answers are given to changes of members in turn, before members.
	answers []error
	asked   []string
}

func (f *fake) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	f.asked = append(f.asked, "submit "+p.GetId())
	return f.submit(ctx, p)
}

func (f *fake) Outcome(context.Context, string) (*configpb.Outcome, error) {
	return nil, operator.ErrNotFound
}

func (f *fake) Config(_ context.Context, version uint64) (*configpb.Configuration, bool, error) {
	return &configpb.Configuration{Version: version}, true, nil
}

func (f *fake) Evacuate(_ context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	f.asked = append(f.asked, fmt.Sprintf("evacuate %s %v %s", o.GetFailureDomain(), o.GetEnd(), o.GetId()))
	return &configpb.EvacuationOutcome{Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED, Version: 3}, f.change()
}

func (f *fake) Status() *operator.Status { return &operator.Status{Host: "c1"} }

func (f *fake) AddLearner(_ context.Context, address string) error {
	f.asked = append(f.asked, "add "+address)
	return f.change()
}

func (f *fake) Promote(_ context.Context, m operator.MemberRef) error {
	f.asked = append(f.asked, "promote "+m.Name)
	return f.change()
}

func (f *fake) Remove(_ context.Context, m operator.MemberRef) error {
	f.asked = append(f.asked, "remove "+m.Name)
	return f.change()
}

func (f *fake) SetRetention(_ context.Context, r operator.Retention) error {
	f.asked = append(f.asked, fmt.Sprint("retention ", r.Answered, " ", r.Held))
	return f.change()
}

func (f *fake) change() error {
	if len(f.answers) == 0 {
		return f.members
	}
	err := f.answers[0]
	f.answers = f.answers[1:]
	return err
}

// site has the keys of a test deployment.
type site struct {
	t    *testing.T
	keys *unittest.KeyFolder
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, keys: unittest.NewKeyFolder(t)}
	return s
}

func (s *site) credentials(role keys.Role, name string) *keys.Credentials {
	s.t.Helper()
	return s.keys.Credentials(role, name, "")
}

func (s *site) serve(f *fake) *operator.Server {
	s.t.Helper()
	server, err := operator.Listen("127.0.0.1:0", s.credentials(keys.RoleControl, "c1"), f, zap.NewNop(), tally.NoopScope)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return server
}

func (s *site) client(addrs ...string) *operator.Client {
	c := operator.NewClient(addrs, s.credentials(keys.RoleOperator, "ada"))
	s.t.Cleanup(c.Close)
	return c
}

func answering(out *configpb.Outcome, err error) *fake {
	return &fake{submit: func(context.Context, *configpb.Patch) (*configpb.Outcome, error) { return out, err }}
}

func TestOutcomesAreToldApart(t *testing.T) {
	accepted := &configpb.Outcome{Id: "p", Verdict: configpb.Verdict_VERDICT_ACCEPTED, Version: 7, Digest: []byte{1, 2}}
	refused := &configpb.Outcome{Id: "p", Verdict: configpb.Verdict_VERDICT_REFUSED_FINDINGS,
		Findings: []*configpb.Finding{{Place: "a.ini:3", Text: "slots"}}}
	tests := []struct {
		name string
		out  *configpb.Outcome
		err  error
		want error
	}{
		{"accepted", accepted, nil, nil},
		{"refused", refused, nil, nil},
		{"not done", nil, errors.Wrap(operator.ErrNotApplied, "no leader"), operator.ErrNotApplied},
		{"not known", nil, errors.Wrap(operator.ErrOutcomeUnknown, "timeout"), operator.ErrOutcomeUnknown},
		{"another error is not known", nil, errors.New("surprise"), operator.ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			c := s.client(s.serve(answering(test.out, test.err)).Addr().String())
			out, err := c.Submit(context.Background(), &configpb.Patch{Id: "p"})
			if test.want != nil {
				is.True(errors.Is(err, test.want))
				return
			}
			is.NoErr(err)
			is.True(proto.Equal(out, test.out))
		})
	}
}

func TestPatchGoesToTheNextHost(t *testing.T) {
	accepted := &configpb.Outcome{Verdict: configpb.Verdict_VERDICT_ACCEPTED}
	tests := []struct {
		name          string
		first, second error
		want          error
	}{
		{"minority, then accepted", operator.ErrNotApplied, nil, nil},
		{"unknown, then accepted", operator.ErrOutcomeUnknown, nil, nil},
		{"minority twice", operator.ErrNotApplied, operator.ErrNotApplied, operator.ErrNotApplied},
		{"unknown, then minority", operator.ErrOutcomeUnknown, operator.ErrNotApplied, operator.ErrOutcomeUnknown},
		{"minority, then unknown", operator.ErrNotApplied, operator.ErrOutcomeUnknown, operator.ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			a := s.serve(answering(nil, test.first))
			b := s.serve(answering(accepted, test.second))
			_, err := s.client(a.Addr().String(), b.Addr().String()).Submit(context.Background(), &configpb.Patch{Id: "p"})
			is.True(errors.Is(err, test.want) || (err == nil && test.want == nil))
		})
	}
}

func TestMemberChangeStopsAtUnknown(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first := &fake{members: operator.ErrOutcomeUnknown}
	second := &fake{}
	c := s.client(s.serve(first).Addr().String(), s.serve(second).Addr().String())
	_, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrOutcomeUnknown))
	is.Equal(len(second.asked), 0)

	first.members = operator.ErrNotApplied
	_, err = c.Promote(context.Background(), operator.MemberRef{Name: "c3"})
	is.NoErr(err)
	is.Equal(second.asked, []string{"promote c3"})
	_, err = c.AddLearner(context.Background(), "192.0.2.1:7000")
	is.NoErr(err)
	is.Equal(second.asked[1], "add 192.0.2.1:7000")
}

// TestGroupsWithDifferentLeaders removes a member when each host leads one
// group: none of them makes the whole change, and afterwards none knows the
// member.
func TestGroupsWithDifferentLeaders(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first := &fake{answers: []error{operator.ErrPartiallyApplied}, members: operator.ErrNotFound}
	second := &fake{answers: []error{operator.ErrPartiallyApplied}, members: operator.ErrNotFound}
	c := s.client(s.serve(first).Addr().String(), s.serve(second).Addr().String(), "127.0.0.1:1")
	status, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.NoErr(err)
	is.Equal(status.Host, "c1")
	// A member that no host ever knew is an error all the same.
	_, err = c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotFound))
	_, err = c.Promote(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotFound))
}

// TestChangeThatNeverSucceeds ends after some rounds, and as not done.
func TestChangeThatNeverSucceeds(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	f := &fake{members: operator.ErrPartiallyApplied}
	c := s.client(s.serve(f).Addr().String())
	_, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	is.True(len(f.asked) > 1)
}

func TestUnreachableHostChangedNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	server := s.serve(&fake{})
	addr := server.Addr().String()
	is.NoErr(server.Shutdown(context.Background()))
	_, err := s.client(addr).Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	_, err = s.client().Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	is.True(s.client(addr).Status(context.Background())[0].Err != nil)
}

func TestShutdownWaitsForCall(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	server := s.serve(&fake{submit: func(context.Context, *configpb.Patch) (*configpb.Outcome, error) {
		close(entered)
		<-leave
		return &configpb.Outcome{Verdict: configpb.Verdict_VERDICT_ACCEPTED}, nil
	}})
	c := s.client(server.Addr().String())
	var out *configpb.Outcome
	var callErr, stopErr error
	var call, stop conc.WaitGroup
	call.Go(func() { out, callErr = c.Submit(context.Background(), &configpb.Patch{Id: "p"}) })
	<-entered
	stop.Go(func() { stopErr = server.Shutdown(context.Background()) })
	close(leave)
	call.Wait()
	stop.Wait()
	is.NoErr(callErr)
	is.NoErr(stopErr)
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED)
}

func TestCallsOnTheHostAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	var left time.Duration
	server := s.serve(&fake{submit: func(ctx context.Context, _ *configpb.Patch) (*configpb.Outcome, error) {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		return nil, operator.ErrOutcomeUnknown
	}})
	_, _ = s.client(server.Addr().String()).Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(left > 0 && left <= operator.SubmitTimeout)
}

func TestVersionIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	c := s.client(s.serve(&fake{}).Addr().String())
	cfg, confirmed, err := c.Config(context.Background(), 1<<60)
	is.NoErr(err)
	is.Equal(cfg.GetVersion(), uint64(1<<60))
	is.True(confirmed)
	_, err = c.Outcome(context.Background(), "unknown/id")
	is.True(errors.Is(err, operator.ErrNotFound))
}
