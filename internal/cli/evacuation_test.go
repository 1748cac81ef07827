package cli_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/cli"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

func TestEvacuationExitStatuses(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome *configpb.EvacuationOutcome
		err     error
		status  int
		text    string
	}{
		{
			name:    "applied",
			outcome: &configpb.EvacuationOutcome{Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED, Version: 8},
			status:  cli.ExitOK, text: "applied, version 8, order works",
		},
		{
			name:    "unchanged",
			outcome: &configpb.EvacuationOutcome{Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED, Version: 8},
			status:  cli.ExitOK, text: "unchanged, version 8",
		},
		{
			name: "unknown failure domain",
			outcome: &configpb.EvacuationOutcome{
				Verdict:  configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
				Findings: []*configpb.Finding{{Place: "failure domain", Text: `"dugbe" is unknown`}},
			},
			status: cli.ExitRefused, text: `failure domain: "dugbe" is unknown`,
		},
		{name: "outcome unknown", err: operator.ErrOutcomeUnknown, status: cli.ExitUnknown},
		{name: "not applied", err: operator.ErrNotApplied, status: cli.ExitFailure},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeControl{evacuationOutcome: tt.outcome, err: tt.err}
			got := expectOperator(t, tt.status, f.serve(t), "evacuation", "begin", "dugbe", "--id", "works")
			is.True(strings.Contains(got.stdout, tt.text))
			is.Equal(f.order.GetFailureDomain(), "dugbe")
			is.Equal(f.order.GetId(), "works")
			is.True(!f.order.GetEnd())
		})
	}
}

func TestEvacuationEndGeneratesID(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{evacuationOutcome: &configpb.EvacuationOutcome{Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED}}
	flags := f.serve(t)
	expectOperator(t, cli.ExitOK, flags, "evacuation", "end", "dugbe")
	is.True(f.order.GetEnd())
	first := f.order.GetId()
	is.True(first != "")
	expectOperator(t, cli.ExitOK, flags, "evacuation", "end", "dugbe")
	is.True(f.order.GetId() != first)
}

func TestStatusShowsEvacuations(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	got := expectOperator(t, cli.ExitOK, f.serve(t), "status")
	is.True(strings.Contains(got.stdout, `evacuated: dugbe since 2027-01-15T08:00:00Z, version 5, by order "works"`))
}
