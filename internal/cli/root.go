package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Main runs the command line args (without the program name) and returns the exit
// status of the process. The extra commands belong to packages that import this one.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, extra ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(extra...)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	cmd, err := root.ExecuteContextC(ctx)
	if err != nil && !alreadyReported(err) {
		fmt.Fprintf(stderr, "%s: %v\n", cmd.CommandPath(), err)
	}
	return exitStatus(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "eelgrasswharf",
		Short: "Layer-4 load balancer for long-lived flows",
		Long: `eelgrasswharf keeps every established flow on its first target and reports the
true outcome of every request to its caller.

Three roles make up a deployment: control hosts agree on the configuration,
entry hosts forward the packets of callers, and an agent beside each backend
server terminates the callers' connections. Operators change the configuration
by patches against a numbered version.

Exit status: 0 success, 1 failure, 2 wrong usage, 3 refused, 4 outcome unknown.
The page docs/OPERATIONS.md describes a deployment step by step.`,
		Example: `  # A whole deployment in one process, to try things out
  eelgrasswharf dev

  # A settings file to start from
  eelgrasswharf config example entry > entry.ini`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		newControl(), newEntry(), newAgent(),
		newConfig(), newPatch(), newStatus(), newReplica(), newEvacuation(), newGrants(), newKeys(),
		newBackend(), newLoad(), newDev(), newExperiment(), newMeasure(), newExplain(), newActivations(),
	)
	return root
}

// exactArgs, minArgs and noArgs report a wrong number of arguments as a usage error.
func exactArgs(n int) cobra.PositionalArgs { return usageArgs(cobra.ExactArgs(n)) }
func minArgs(n int) cobra.PositionalArgs   { return usageArgs(cobra.MinimumNArgs(n)) }

func noArgs(cmd *cobra.Command, args []string) error { return usageArgs(cobra.NoArgs)(cmd, args) }

func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError(err)
		}
		// Cobra checks required flags later, but reports no usage error.
		if err := cmd.ValidateRequiredFlags(); err != nil {
			return usageError(err)
		}
		return nil
	}
}

// commandGroup returns a command that only holds subcommands.
func commandGroup(use, short, long, example string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Long: long, Example: example,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// requireFlags marks flags as required.
func requireFlags(cmd *cobra.Command, names ...string) {
	for _, name := range names {
		// Fails only for a name that is not a flag of the command.
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}
