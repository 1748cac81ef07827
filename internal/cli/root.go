package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Main runs the command line args (without the program name) and returns the
// exit status of the process. Further commands come from packages above this one.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, further ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(further...)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteContextC(ctx)
	if err != nil && !reported(err) {
		fmt.Fprintf(stderr, "%s: %v\n", cmd.CommandPath(), err)
	}
	return statusOf(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "eelgrasswharf",
		Short: "Layer-4 load balancer for long-lived flows",
		Long: `eelgrasswharf keeps every established flow on the target where it began and
tells every caller truthfully what became of its request.

Three roles make up a deployment: control hosts agree on the configuration,
entry hosts forward the packets of callers, and an agent beside each backend
server ends the callers' connections. Operators change the configuration by
patches against a numbered version.

Exit status: 0 success, 1 failure, 2 wrong usage, 3 refused, 4 outcome not
known. The page docs/OPERATIONS.md leads through a deployment step by step.`,
		Example: `  # Everything in one process, to look around
  eelgrasswharf dev

  # A settings file to start from
  eelgrasswharf config example entry > entry.ini`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	root.AddCommand(
		newControl(), newEntry(), newAgent(),
		newConfig(), newPatch(), newStatus(), newReplica(), newEvacuation(), newGrants(), newKeys(),
		newBackend(), newLoad(), newDev(), newExperiment(), newMeasure(), newExplain(),
	)
	return root
}

// exactArgs and its kin report a wrong number of arguments as wrong usage.
func exactArgs(n int) cobra.PositionalArgs { return usageArgs(cobra.ExactArgs(n)) }
func minArgs(n int) cobra.PositionalArgs   { return usageArgs(cobra.MinimumNArgs(n)) }

func noArgs(cmd *cobra.Command, args []string) error { return usageArgs(cobra.NoArgs)(cmd, args) }

func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usage(err)
		}
		// Cobra checks them later too, but as a plain failure.
		if err := cmd.ValidateRequiredFlags(); err != nil {
			return usage(err)
		}
		return nil
	}
}

// group is a command that only holds others.
func group(use, short, long, example string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long, Example: example,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// require marks flags without which the command makes no sense.
func require(cmd *cobra.Command, names ...string) {
	for _, name := range names {
		// It fails for a name that is no flag, which no test run survives.
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}
