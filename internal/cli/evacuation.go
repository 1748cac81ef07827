package cli

import (
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// errEvacuationRefused tells that an order to evacuate has findings.
var errEvacuationRefused = errors.New("the order was refused")

func newEvacuation() *cobra.Command {
	return group("evacuation", "Keep new flows away from a failure domain",
		`While a failure domain is evacuated, no target in it gets new flows; flows that are
open stay where they are. Where all targets of a service stand in evacuated failure
domains, its callers are refused at once.

The order is state like the configuration: it is acknowledged once a quorum has it, it
makes a version, and it stays until it is taken back.`,
		"  eelgrasswharf evacuation begin dugbe "+operatorExample,
		newEvacuationOrder("begin", "Give the targets of a failure domain no new flows", false),
		newEvacuationOrder("end", "Give the targets of a failure domain new flows again", true),
		newEvacuationList(),
	)
}

func newEvacuationOrder(verb, short string, end bool) *cobra.Command {
	var id string
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   verb + " DOMAIN",
		Short: short,
		Long: short + `.

The order has an identifier, drawn unless --id names one. The same order under the same
identifier is never carried out twice: sent again, it tells the first outcome, also when
another order has followed.

Exit status: 0 it is as ordered; 3 the order was refused; 4 it is not known whether it
was taken: give it again under its identifier; 1 nothing was done.`,
		Example: "  eelgrasswharf evacuation " + verb + " dugbe --id works-of-tuesday " + operatorExample,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			order := &configpb.EvacuationOrder{Id: id, FailureDomain: args[0], End: end}
			if id == "" {
				order.Id = rand.Text()
			}
			return o.call(cmd, func(c *operator.Client) error {
				out, err := c.Evacuate(cmd.Context(), order)
				if err != nil {
					return errors.Wrapf(err, "order %s", order.GetId())
				}
				return reportEvacuation(cmd.OutOrStdout(), order, out, asJSON)
			})
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "`IDENTIFIER` of the order, unique for ever; drawn by default")
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// evacuationReport is the JSON form of an outcome.
type evacuationReport struct {
	Order    string    `json:"order"`
	Verdict  string    `json:"verdict"`
	Version  uint64    `json:"version"`
	Findings []finding `json:"findings"`
}

// evacuationVerdicts are what users read.
var evacuationVerdicts = map[configpb.EvacuationVerdict]string{
	configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED:   "applied",
	configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED: "unchanged",
	configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID:   "refused",
}

func reportEvacuation(w io.Writer, o *configpb.EvacuationOrder, out *configpb.EvacuationOutcome, asJSON bool) error {
	name, known := evacuationVerdicts[out.GetVerdict()]
	if !known {
		return errors.Wrapf(operator.ErrOutcomeUnknown, "verdict %s", out.GetVerdict())
	}
	report := evacuationReport{
		Order:    o.GetId(),
		Verdict:  name,
		Version:  out.GetVersion(),
		Findings: findingsOf(out.GetFindings()),
	}
	if asJSON {
		if err := writeJSON(w, report); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(w, "%s, version %d, order %s\n", report.Verdict, report.Version, report.Order)
		for _, f := range report.Findings {
			fmt.Fprintf(w, "%s: %s\n", f.Place, f.Text)
		}
	}
	if len(report.Findings) > 0 {
		return exitWith(ExitRefused, errEvacuationRefused)
	}
	return nil
}

func newEvacuationList() *cobra.Command {
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the failure domains that are evacuated",
		Long: `Lists what is evacuated in the newest version that a quorum confirms: since when, by
the clock of the control host that took the order, and by which order.

Exit status: 0 the list is confirmed; 1 it is not.`,
		Example: "  eelgrasswharf evacuation list " + operatorExample,
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				version, confirmed, err := c.Config(cmd.Context(), 0)
				if err != nil {
					return err
				}
				if !confirmed {
					return errors.New("no quorum confirms the list")
				}
				return reportEvacuations(cmd.OutOrStdout(), version.GetEvacuations(), asJSON)
			})
		},
	}
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

func reportEvacuations(w io.Writer, list []*configpb.Evacuation, asJSON bool) error {
	out := []operator.EvacuationStatus{}
	for _, e := range list {
		out = append(out, operator.NewEvacuationStatus(e))
	}
	if asJSON {
		return writeJSON(w, out)
	}
	writeEvacuations(w, out)
	if len(out) == 0 {
		fmt.Fprintln(w, "no failure domain is evacuated")
	}
	return nil
}

// writeEvacuations shows which failure domains get no new flows.
func writeEvacuations(w io.Writer, list []operator.EvacuationStatus) {
	for _, e := range list {
		fmt.Fprintf(w, "  evacuated: %s since %s, version %d, by order %q\n",
			e.FailureDomain, e.Since.Format(time.RFC3339), e.SinceVersion, e.Order)
	}
}
