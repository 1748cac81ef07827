package cli

import (
	"context"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/capacity"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

func newMeasure() *cobra.Command {
	var only []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure the resource usage figures of docs/CAPACITY-SLOPES.md",
		Long: `Runs daemons of this binary on loopback, simulates subscribers, announcing agents,
callers and a backend server, and reports the growth of memory, CPU time, messages
and disk usage with the number of each: the least-squares fit over at least four
sizes with its standard error, and its value at the design size. A full run takes
about nine minutes, 2 GB of memory and at most fifteen daemons at a time.

Measurements: ` + strings.Join(capacity.Names(), ", ") + `.`,
		Example: `  eelgrasswharf measure
  eelgrasswharf measure --only force,grants --json`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runUntilSignal(cmd.Context(), func(ctx context.Context) error {
				return runMeasure(ctx, cmd, only, asJSON)
			})
		},
	}
	cmd.Flags().StringSliceVar(&only, "only", nil, "`NAMES` of the measurements to run, comma-separated; default all")
	jsonFlag(cmd, &asJSON)
	return cmd
}

func runMeasure(ctx context.Context, cmd *cobra.Command, only []string, asJSON bool) error {
	log, err := logging.New(&settingspb.Log{Format: settingspb.LogFormat_LOG_FORMAT_CONSOLE}, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "own binary")
	}
	report, err := capacity.Run(ctx, capacity.Options{Binary: binary, Only: only, Log: log})
	if errors.Is(err, capacity.ErrUnknownMeasurement) {
		return usageError(err)
	}
	if writeErr := writeReport(cmd, report, asJSON); writeErr != nil && err == nil {
		err = writeErr
	}
	return err
}

func writeReport(cmd *cobra.Command, r *capacity.Report, asJSON bool) error {
	if asJSON {
		return writeJSON(cmd.OutOrStdout(), r)
	}
	return r.WriteText(cmd.OutOrStdout())
}
