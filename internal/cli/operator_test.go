package cli_test

import (
	"context"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/cli"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// fakeControl answers operators in place of a control host.
type fakeControl struct {
	outcome *configpb.Outcome
	err     error
	patch   *configpb.Patch
	member  operator.MemberRef

	retention operator.Retention
}

func (f *fakeControl) Submit(_ context.Context, p *configpb.Patch) (*configpb.Outcome, error) {
	f.patch = p
	return f.outcome, f.err
}

func (f *fakeControl) Outcome(context.Context, string) (*configpb.Outcome, error) {
	return f.outcome, f.err
}

func (f *fakeControl) Config(_ context.Context, version uint64) (*configpb.Configuration, bool, error) {
	return &configpb.Configuration{Version: version, Services: []*configpb.Service{{
		Name: "lodgement", Addresses: []string{"192.0.2.80:443"}, Slots: 4,
	}}, Retired: []string{"192.0.2.79:443"}}, false, f.err
}

func (f *fakeControl) Status() *operator.Status {
	return &operator.Status{Host: "control-1", Version: 7, Laggards: []string{"entry-2"}}
}

func (f *fakeControl) AddLearner(context.Context, string) error { return f.err }

func (f *fakeControl) Promote(_ context.Context, m operator.MemberRef) error {
	f.member = m
	return f.err
}

func (f *fakeControl) Remove(_ context.Context, m operator.MemberRef) error {
	f.member = m
	return f.err
}

func (f *fakeControl) SetRetention(_ context.Context, r operator.Retention) error {
	f.retention = r
	return f.err
}

// serve starts the fake and returns the flags that call it.
func (f *fakeControl) serve(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "keys")
	is.Equal(run(t, "keys", "init", dir).status, cli.ExitOK)
	is.Equal(run(t, "keys", "issue", dir, "operator", "ada").status, cli.ExitOK)
	files, err := keys.Issue(dir, keys.RoleControl, "control-1", "", nil, time.Hour)
	is.NoErr(err)
	creds, err := keys.Load(files)
	is.NoErr(err)
	server, err := operator.Listen("127.0.0.1:0", creds, f, zap.NewNop(), tally.NoopScope)
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return []string{
		"--control", server.Addr().String(),
		"--authority", filepath.Join(dir, "authority.pem"),
		"--certificate", filepath.Join(dir, "ada.pem"), "--key", filepath.Join(dir, "ada.key.pem"),
	}
}

func TestPatchExitStatuses(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome *configpb.Outcome
		err     error
		status  int
		verdict string
		text    string
	}{
		{
			name: "accepted", outcome: &configpb.Outcome{Id: "p", Verdict: configpb.Verdict_VERDICT_ACCEPTED, Version: 8},
			status: cli.ExitOK, verdict: "accepted", text: "accepted as version 8",
		},
		{
			name: "base", outcome: &configpb.Outcome{
				Id: "p", Verdict: configpb.Verdict_VERDICT_REFUSED_BASE, Version: 9, VersionPatch: "other",
			},
			status: cli.ExitRefused, verdict: "refused-base", text: "current version is 9, made by patch other",
		},
		{
			name: "findings", outcome: &configpb.Outcome{
				Id: "p", Verdict: configpb.Verdict_VERDICT_REFUSED_FINDINGS,
				Findings: []*configpb.Finding{{Place: "p.ini:3", Text: "wrong"}},
			},
			status: cli.ExitRefused, verdict: "refused-findings", text: "p.ini:3: wrong",
		},
		{
			name: "identifier", outcome: &configpb.Outcome{Id: "p", Verdict: configpb.Verdict_VERDICT_REFUSED_ID},
			status: cli.ExitRefused, verdict: "refused-id", text: "used for another patch",
		},
		{name: "unknown", err: operator.ErrUnknown, status: cli.ExitUnknown, verdict: "unknown", text: "patch show p --control "},
		{name: "not done", err: operator.ErrNotDone, status: cli.ExitFailure},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeControl{outcome: tt.outcome, err: tt.err}
			args := append([]string{"patch", "submit", "--base", "7", "--id", "p", write(t, "# a\n[remove old]\n")}, f.serve(t)...)
			got := run(t, args...)
			is.Equal(got.status, tt.status)
			is.True(strings.Contains(got.stdout, tt.text))
			is.Equal(f.patch.GetId(), "p")
			is.Equal(f.patch.GetBaseVersion(), uint64(7))
			is.True(strings.HasSuffix(f.patch.GetPlaces()[0], ":2"))
			got = run(t, append(args, "--json")...)
			is.Equal(got.status, tt.status)
			if tt.verdict != "" {
				var report struct{ Verdict string }
				is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
				is.Equal(report.Verdict, tt.verdict)
			}
		})
	}
}

func TestFaultyPatchIsNotSubmitted(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	path := write(t, "[servce lodgement]\n")
	got := run(t, append([]string{"patch", "submit", "--base", "1", "--id", "p", path}, f.serve(t)...)...)
	is.Equal(got.status, cli.ExitFailure)
	is.True(strings.Contains(got.stderr, path+":1: "))
	is.Equal(f.patch, nil)
}

func TestPatchShow(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{outcome: &configpb.Outcome{Id: "p", Verdict: configpb.Verdict_VERDICT_ACCEPTED, Version: 8}}
	flags := f.serve(t)
	args := append([]string{"patch", "show", "p"}, flags...)
	is.Equal(run(t, args...).status, cli.ExitOK)
	f.err = operator.ErrNotDone // no quorum
	is.Equal(run(t, args...).status, cli.ExitUnknown)
	f.err = operator.ErrNotFound
	is.Equal(run(t, args...).status, cli.ExitFailure)
}

func TestConfigShowCanBeSubmittedAgain(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	flags := f.serve(t)
	got := run(t, append([]string{"config", "show", "--version", "5"}, flags...)...)
	is.Equal(got.status, cli.ExitOK)
	is.Equal(got.stdout, "# version 5\n# no quorum confirmed that this is the newest version\n\n"+
		"[service lodgement]\naddresses = 192.0.2.80:443\nslots = 4\n"+
		"\n# retired addresses, open for established flows until a patch releases them:\n# [release 192.0.2.79:443]\n")
	got = run(t, append([]string{"config", "show", "--json"}, flags...)...)
	var report struct {
		Confirmed     bool
		Configuration struct{ Services []struct{ Name string } }
	}
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(report.Configuration.Services[0].Name, "lodgement")
}

func TestStatus(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	flags := f.serve(t)
	got := run(t, append([]string{"status"}, flags...)...)
	is.Equal(got.status, cli.ExitOK)
	is.True(strings.Contains(got.stdout, "control-1, version 7"))
	is.True(strings.Contains(got.stdout, "not yet in force on: entry-2"))
	flags[1] += ",127.0.0.1:1"
	got = run(t, append([]string{"status", "--json"}, flags...)...)
	is.Equal(got.status, cli.ExitOK) // one of two answered
	var reports []struct{ Address, Error string }
	is.NoErr(json.Unmarshal([]byte(got.stdout), &reports))
	is.Equal(len(reports), 2)
	is.True(reports[1].Error != "")
	flags[1] = "127.0.0.1:1"
	is.Equal(run(t, append([]string{"status"}, flags...)...).status, cli.ExitFailure)
}

func TestReplica(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	flags := f.serve(t)
	is.Equal(run(t, append([]string{"replica", "add", "192.0.2.4:7100"}, flags...)...).status, cli.ExitOK)
	got := run(t, append([]string{"replica", "promote", "control-4", "--incarnation", "3", "--json"}, flags...)...)
	is.Equal(got.status, cli.ExitOK)
	is.Equal(f.member, operator.MemberRef{Name: "control-4", Incarnation: 3})
	is.Equal(run(t, append([]string{"replica", "remove", "control-4"}, flags...)...).status, cli.ExitOK)
	is.Equal(f.member, operator.MemberRef{Name: "control-4"})
	f.err = operator.ErrUnknown
	is.Equal(run(t, append([]string{"replica", "remove", "control-4"}, flags...)...).status, cli.ExitUnknown)
	f.err = operator.ErrNotDone
	is.Equal(run(t, append([]string{"replica", "add", "192.0.2.4:7100"}, flags...)...).status, cli.ExitFailure)
}

func TestGrantsRetention(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	flags := f.serve(t)
	is.Equal(run(t, append([]string{"grants", "retention", "--answered", "30m"}, flags...)...).status, cli.ExitOK)
	is.Equal(f.retention, operator.Retention{Answered: 30 * 60, Held: 7 * 24 * 60 * 60})
	f.err = operator.ErrUnknown
	is.Equal(run(t, append([]string{"grants", "retention"}, flags...)...).status, cli.ExitUnknown)
	f.err = operator.ErrNotDone
	is.Equal(run(t, append([]string{"grants", "retention", "--answered", "1m"}, flags...)...).status, cli.ExitFailure)
}

func TestControlHostOutOfReach(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	flags := f.serve(t)
	flags[1] = "127.0.0.1:1"
	got := run(t, append([]string{"patch", "submit", "--base", "1", "--id", "p", write(t, "[remove a]\n")}, flags...)...)
	is.Equal(got.status, cli.ExitFailure)
	is.Equal(run(t, append([]string{"patch", "show", "p"}, flags...)...).status, cli.ExitUnknown)
}
