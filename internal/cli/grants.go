package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

func newGrants() *cobra.Command {
	return commandGroup("grants", "Change how long idempotency keys are kept",
		`Changes the replicated settings of the grant groups. Each group has its own log and
leader, so name all control hosts. Repeating a change is safe.

Exit status: 0 the change is made in all groups; 1 it is not; 4 the outcome is unknown.`,
		"  eelgrasswharf grants retention --answered 30m "+operatorExample,
		newGrantsRetention(),
	)
}

func newGrantsRetention() *cobra.Command {
	var asJSON bool
	keep := grant.DefaultRetention()
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "retention",
		Short: "Set how long keys are kept",
		Long: fmt.Sprintf(`Makes every grant group keep a key for --answered after its answer, or for --held
if it has none, in the logical time of the group. A caller must not send a request
again after that time: it would run again.

Bounds: %v to %v with an answer, %v to %v without one. A flag that is left out
sets the maximum, which is the default of a deployment.`,
			grant.MinAnsweredRetention, grant.AnsweredRetention, grant.MinHeldRetention, grant.HeldRetention),
		Example: "  eelgrasswharf grants retention --answered 30m --held 24h " + operatorExample,
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				s, err := c.SetRetention(cmd.Context(), operator.Retention{
					Answered: int(keep.Answered / time.Second), Held: int(keep.Held / time.Second),
				})
				return reportMember(cmd, s, err, asJSON)
			})
		},
	}
	cmd.Flags().DurationVar(&keep.Answered, "answered", keep.Answered, "`TIME` to keep a key after its answer")
	cmd.Flags().DurationVar(&keep.Held, "held", keep.Held, "`TIME` to keep a key without an answer")
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// writeGrants writes a host's view of a grant group.
func writeGrants(w io.Writer, g *operator.GrantStatus) {
	fmt.Fprintf(w, "    %d of %d slots, %d keys held, %d answered, table %d %% full, kept for %v and %v\n",
		g.Slots, grant.Slots, g.Held, g.Answered, g.Full,
		time.Duration(g.Retention.Answered)*time.Second, time.Duration(g.Retention.Held)*time.Second)
}
