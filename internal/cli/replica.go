package cli

import (
	"context"

	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

func newReplica() *cobra.Command {
	return commandGroup("replica", "Add, promote and remove control hosts",
		`Changes the members of the replicated logs, one at a time. A new control host
starts with "join = true" in its settings and asks to be added as a learner, or is
added by "replica add"; it catches up, and is promoted to a voter.

A learner may remain one: it serves entry hosts, agents and operators like a voter,
and no commit waits for it. Five voters in five regions are enough for any number of
control hosts; a promotion that would make more than seven is refused.

A change is made in all replicated logs, which may have different leaders, so name
all control hosts. Repeating it is safe.

Exit status: 0 the change is made in all logs; 1 it is not; 4 the outcome is unknown.`,
		"  eelgrasswharf replica add 192.0.2.4:7100 "+operatorExample+
			"\n  eelgrasswharf replica promote control-4 "+operatorExample+
			"\n  eelgrasswharf replica remove control-1 "+operatorExample,
		newReplicaAdd(),
		newReplicaMember("promote NAME", "Make a learner that has caught up a voter",
			"Makes the learner NAME a voter once it has caught up.", (*operator.Client).Promote),
		newReplicaMember("remove NAME", "Remove a control host from all logs",
			"Removes the control host NAME permanently. Its data directory must not be used again.\n"+
				"Fails for a name that is not a member according to a quorum.", (*operator.Client).Remove),
	)
}

func newReplicaAdd() *cobra.Command {
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:     "add ADDRESS",
		Short:   "Add a control host as a learner",
		Long:    "Adds the control host at the link address (ip:port) to all logs as a learner.",
		Example: "  eelgrasswharf replica add 192.0.2.4:7100 " + operatorExample,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				s, err := c.AddLearner(cmd.Context(), args[0])
				return reportMember(cmd, s, err, asJSON)
			})
		},
	}
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// memberCall is an operator call that changes one member.
type memberCall func(*operator.Client, context.Context, operator.MemberRef) (*operator.Status, error)

func newReplicaMember(use, short, long string, change memberCall) *cobra.Command {
	var asJSON bool
	var incarnation uint64
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Long:    long + "\n\n--incarnation selects one incarnation of a host where the name is ambiguous.",
		Example: "  eelgrasswharf replica " + use[:len(use)-len("NAME")] + "control-4 " + operatorExample,
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				ref := operator.MemberRef{Name: args[0], Incarnation: incarnation}
				s, err := change(c, cmd.Context(), ref)
				return reportMember(cmd, s, err, asJSON)
			})
		},
	}
	cmd.Flags().Uint64Var(&incarnation, "incarnation", 0, "incarnation `N` of the member")
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// reportMember writes the status that a change returned.
func reportMember(cmd *cobra.Command, s *operator.Status, err error, asJSON bool) error {
	if err != nil {
		return err
	}
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), s)
	}
	writeHost(cmd.OutOrStdout(), hostReport{Address: "done", Status: s})
	return nil
}
