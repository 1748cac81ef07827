package cli

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

func newPatch() *cobra.Command {
	return commandGroup("patch", "Change the configuration",
		`A patch is a change to one numbered version. It becomes the next version as a
whole or is refused as a whole.`,
		"  eelgrasswharf patch submit --base 7 --id add-itinerary change.ini "+operatorExample,
		newPatchSubmit(), newPatchShow())
}

func newPatchSubmit() *cobra.Command {
	var base uint64
	var id string
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "submit --base N --id ID FILE",
		Short: "Submit a patch against a version",
		Long: `Submits the patch file against version N under an identifier that you choose.
A section [service NAME] creates or replaces a service, a section [remove NAME]
removes one, and [release IP:PORT] closes a public address that an earlier version
retired, which ends the sessions that still use it. All sections take effect together.

  [service lodgement]
  addresses = 192.0.2.80:443
  slots = 4

  [release 192.0.2.79:443]

docs/SETTINGS.md describes all keys. The first patch of a deployment has the base 0.

The identifier must not be used for another patch. Submitting the same patch under the
same identifier again never applies it twice and reports the first outcome.

Exit status: 0 the patch became the next version; 3 it was refused; 4 the outcome
is unknown; 1 nothing was submitted.`,
		Example: "  eelgrasswharf config check change.ini\n" +
			"  eelgrasswharf patch submit --base 7 --id add-itinerary change.ini " + operatorExample,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			patch, err := settings.LoadPatch(args[0])
			if err != nil {
				return err
			}
			patch.Id = id
			patch.BaseVersion = base
			return o.call(cmd, func(c *operator.Client) error {
				outcome, err := c.Submit(cmd.Context(), patch)
				if errors.Is(err, operator.ErrOutcomeUnknown) {
					return reportUnknown(cmd, id, err, o, asJSON)
				}
				if err != nil {
					return err
				}
				return reportOutcome(cmd.OutOrStdout(), outcome, asJSON)
			})
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "version `N` that the patch changes")
	cmd.Flags().StringVar(&id, "id", "", "unique identifier of the patch")
	requireFlags(cmd, "base", "id")
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

func newPatchShow() *cobra.Command {
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "show ID",
		Short: "Show the outcome of a patch",
		Long: `Shows the outcome of the patch with that identifier, as confirmed by a quorum of
the control hosts.

Exit status: 0 it became a version; 3 it was refused; 4 no quorum replied;
1 no patch has that identifier.`,
		Example: "  eelgrasswharf patch show add-itinerary " + operatorExample,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				outcome, err := c.Outcome(cmd.Context(), args[0])
				// Without a quorum the outcome is unknown.
				if errors.Is(err, operator.ErrNotApplied) {
					return reportUnknown(cmd, args[0], err, o, asJSON)
				}
				if err != nil {
					return err
				}
				return reportOutcome(cmd.OutOrStdout(), outcome, asJSON)
			})
		},
	}
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// outcomeReport is the JSON form of the outcome of a patch.
type outcomeReport struct {
	ID           string    `json:"id"`
	Verdict      string    `json:"verdict"`
	Version      uint64    `json:"version,omitempty"`
	VersionPatch string    `json:"version_patch,omitempty"`
	Findings     []finding `json:"findings,omitempty"`
	// Next is the command that shows an outcome not known yet.
	Next string `json:"next,omitempty"`
}

// verdictNames are the verdicts as the command line writes them.
var verdictNames = map[configpb.Verdict]string{
	configpb.Verdict_VERDICT_ACCEPTED:         "accepted",
	configpb.Verdict_VERDICT_REFUSED_BASE:     "refused-base",
	configpb.Verdict_VERDICT_REFUSED_FINDINGS: "refused-findings",
	configpb.Verdict_VERDICT_REFUSED_ID:       "refused-id",
}

const verdictUnknown = "unknown"

func reportOutcome(w io.Writer, o *configpb.Outcome, asJSON bool) error {
	verdict, ok := verdictNames[o.GetVerdict()]
	if !ok {
		return errors.Errorf("unexpected verdict %s", o.GetVerdict())
	}
	if asJSON {
		report := outcomeReport{
			ID: o.GetId(), Verdict: verdict, Version: o.GetVersion(),
			VersionPatch: o.GetVersionPatch(), Findings: findingsOf(o.GetFindings()),
		}
		if err := writeJSON(w, report); err != nil {
			return err
		}
	} else {
		writeOutcome(w, o)
	}
	if o.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return exitWith(ExitRefused, nil)
	}
	return nil
}

func writeOutcome(w io.Writer, o *configpb.Outcome) {
	switch o.GetVerdict() {
	case configpb.Verdict_VERDICT_ACCEPTED:
		fmt.Fprintf(w, "patch %s: accepted as version %d\n", o.GetId(), o.GetVersion())
	case configpb.Verdict_VERDICT_REFUSED_BASE:
		fmt.Fprintf(w, "patch %s: refused: the current version is %d, made by patch %s\n",
			o.GetId(), o.GetVersion(), o.GetVersionPatch())
	case configpb.Verdict_VERDICT_REFUSED_ID:
		fmt.Fprintf(w, "patch %s: refused: the identifier was used for another patch\n", o.GetId())
	default:
		fmt.Fprintf(w, "patch %s: refused:\n", o.GetId())
		for _, f := range o.GetFindings() {
			fmt.Fprintf(w, "%s: %s\n", f.GetPlace(), f.GetText())
		}
	}
}

// reportUnknown writes the command that shows the outcome.
func reportUnknown(cmd *cobra.Command, id string, cause error, o *operatorFlags, asJSON bool) error {
	next := fmt.Sprintf("%s patch show %s %s", invocation(), quote(id), o.args())
	if asJSON {
		if err := writeJSON(cmd.OutOrStdout(), outcomeReport{ID: id, Verdict: verdictUnknown, Next: next}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(cmd.OutOrStdout(), "patch %s: outcome not known (%v)\nTo learn it run:\n  %s\n", id, cause, next)
	}
	return exitWith(ExitUnknown, nil)
}
