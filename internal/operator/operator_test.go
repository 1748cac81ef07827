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

// fakeHandler records its calls and returns what a test sets.
type fakeHandler struct {
	submit    func(context.Context, *configpb.Patch) (*configpb.Outcome, error)
	changeErr error
	// changeErrs are returned by changes in turn, then changeErr.
	changeErrs []error
	calls      []string
}

func (f *fakeHandler) Submit(ctx context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	f.calls = append(f.calls, "submit "+p.GetId())
	return f.submit(ctx, p)
}

func (f *fakeHandler) Outcome(context.Context, string) (*configpb.Outcome, error) {
	return nil, operator.ErrNotFound
}

func (f *fakeHandler) Config(_ context.Context, version uint64) (*configpb.Configuration, bool, error) {
	return &configpb.Configuration{Version: version}, true, nil
}

func (f *fakeHandler) Evacuate(_ context.Context, o *configpb.EvacuationOrder) (*configpb.EvacuationOutcome, error) {
	f.calls = append(f.calls, fmt.Sprintf("evacuate %s %v %s", o.GetFailureDomain(), o.GetEnd(), o.GetId()))
	return &configpb.EvacuationOutcome{Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED, Version: 3}, f.change()
}

func (f *fakeHandler) Status() *operator.Status { return &operator.Status{Host: "c1"} }

func (f *fakeHandler) AddLearner(_ context.Context, address string) error {
	f.calls = append(f.calls, "add "+address)
	return f.change()
}

func (f *fakeHandler) Promote(_ context.Context, m operator.MemberRef) error {
	f.calls = append(f.calls, "promote "+m.Name)
	return f.change()
}

func (f *fakeHandler) Remove(_ context.Context, m operator.MemberRef) error {
	f.calls = append(f.calls, "remove "+m.Name)
	return f.change()
}

func (f *fakeHandler) SetRetention(_ context.Context, r operator.Retention) error {
	f.calls = append(f.calls, fmt.Sprint("retention ", r.Answered, " ", r.Held))
	return f.change()
}

func (f *fakeHandler) change() error {
	if len(f.changeErrs) == 0 {
		return f.changeErr
	}
	err := f.changeErrs[0]
	f.changeErrs = f.changeErrs[1:]
	return err
}

// deployment has the keys of a test deployment.
type deployment struct {
	t    *testing.T
	keys *unittest.KeyDir
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, keys: unittest.NewKeyDir(t)}
	return d
}

func (d *deployment) credentials(role keys.Role, name string) *keys.Credentials {
	d.t.Helper()
	return d.keys.Credentials(role, name, "")
}

func (d *deployment) serve(f *fakeHandler) *operator.Server {
	d.t.Helper()
	server, err := operator.Listen("127.0.0.1:0", d.credentials(keys.RoleControl, "c1"), f, zap.NewNop(), tally.NoopScope)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return server
}

func (d *deployment) client(addrs ...string) *operator.Client {
	c := operator.NewClient(addrs, d.credentials(keys.RoleOperator, "ada"))
	d.t.Cleanup(c.Close)
	return c
}

func submitHandler(out *configpb.Outcome, err error) *fakeHandler {
	return &fakeHandler{submit: func(context.Context, *configpb.Patch) (*configpb.Outcome, error) { return out, err }}
}

func TestSubmitOutcomes(t *testing.T) {
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
		{"not applied", nil, errors.Wrap(operator.ErrNotApplied, "no leader"), operator.ErrNotApplied},
		{"outcome unknown", nil, errors.Wrap(operator.ErrOutcomeUnknown, "timeout"), operator.ErrOutcomeUnknown},
		{"other errors mean outcome unknown", nil, errors.New("surprise"), operator.ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			c := d.client(d.serve(submitHandler(test.out, test.err)).Addr().String())
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

func TestSubmitTriesNextHost(t *testing.T) {
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
			d := newDeployment(t)
			a := d.serve(submitHandler(nil, test.first))
			b := d.serve(submitHandler(accepted, test.second))
			_, err := d.client(a.Addr().String(), b.Addr().String()).Submit(context.Background(), &configpb.Patch{Id: "p"})
			is.True(errors.Is(err, test.want) || (err == nil && test.want == nil))
		})
	}
}

func TestMembershipChangeStopsAtUnknownOutcome(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	first := &fakeHandler{changeErr: operator.ErrOutcomeUnknown}
	second := &fakeHandler{}
	c := d.client(d.serve(first).Addr().String(), d.serve(second).Addr().String())
	_, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrOutcomeUnknown))
	is.Equal(len(second.calls), 0)

	first.changeErr = operator.ErrNotApplied
	_, err = c.Promote(context.Background(), operator.MemberRef{Name: "c3"})
	is.NoErr(err)
	is.Equal(second.calls, []string{"promote c3"})
	_, err = c.AddLearner(context.Background(), "192.0.2.1:7000")
	is.NoErr(err)
	is.Equal(second.calls[1], "add 192.0.2.1:7000")
}

// Each host leads one group and removes the member from it, so no host makes the change
// in all groups and afterwards the member is unknown to all.
func TestGroupsWithDifferentLeaders(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	first := &fakeHandler{changeErrs: []error{operator.ErrPartiallyApplied}, changeErr: operator.ErrNotFound}
	second := &fakeHandler{changeErrs: []error{operator.ErrPartiallyApplied}, changeErr: operator.ErrNotFound}
	c := d.client(d.serve(first).Addr().String(), d.serve(second).Addr().String(), "127.0.0.1:1")
	status, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.NoErr(err)
	is.Equal(status.Host, "c1")
	// A member that no host ever knew is still an error.
	_, err = c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotFound))
	_, err = c.Promote(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotFound))
}

// A change that is never fully applied returns ErrNotApplied after some retries.
func TestChangeGivesUp(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	f := &fakeHandler{changeErr: operator.ErrPartiallyApplied}
	c := d.client(d.serve(f).Addr().String())
	_, err := c.Remove(context.Background(), operator.MemberRef{Name: "c3"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	is.True(len(f.calls) > 1)
}

func TestUnreachableHostIsNotApplied(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	server := d.serve(&fakeHandler{})
	addr := server.Addr().String()
	is.NoErr(server.Shutdown(context.Background()))
	_, err := d.client(addr).Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	_, err = d.client().Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(errors.Is(err, operator.ErrNotApplied))
	is.True(d.client(addr).Status(context.Background())[0].Err != nil)
}

func TestShutdownWaitsForCall(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	server := d.serve(&fakeHandler{submit: func(context.Context, *configpb.Patch) (*configpb.Outcome, error) {
		close(entered)
		<-leave
		return &configpb.Outcome{Verdict: configpb.Verdict_VERDICT_ACCEPTED}, nil
	}})
	c := d.client(server.Addr().String())
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

func TestHandlerDeadline(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	var left time.Duration
	server := d.serve(&fakeHandler{submit: func(ctx context.Context, _ *configpb.Patch) (*configpb.Outcome, error) {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		return nil, operator.ErrOutcomeUnknown
	}})
	_, _ = d.client(server.Addr().String()).Submit(context.Background(), &configpb.Patch{Id: "p"})
	is.True(left > 0 && left <= operator.SubmitTimeout)
}

func TestConfigVersionParameter(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	c := d.client(d.serve(&fakeHandler{}).Addr().String())
	cfg, confirmed, err := c.Config(context.Background(), 1<<60)
	is.NoErr(err)
	is.Equal(cfg.GetVersion(), uint64(1<<60))
	is.True(confirmed)
	_, err = c.Outcome(context.Background(), "unknown/id")
	is.True(errors.Is(err, operator.ErrNotFound))
}
