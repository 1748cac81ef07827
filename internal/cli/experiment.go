package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/experiment"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

// experimentLogLevel hides the warnings that the faults of the scenarios cause.
const experimentLogLevel = "error"

// experimentFlags are the flags of the command experiment.
type experimentFlags struct {
	sites, scenarios, policies []string
	seeds                      []uint
	level, plot                string
	asJSON                     bool
}

func newExperiment() *cobra.Command {
	x := &experimentFlags{}
	cmd := &cobra.Command{
		Use:   "experiment FILE...",
		Short: "Measure deployments under load and faults",
		Long: `Runs each deployment that a settings file describes in this process, on
loopback, with proxies for the fabric and the delay between failure domains.
For every scenario, policy and seed, callers generate load during the events of
the scenario. Reports broken flows, imbalance, refused, unknown, doubled,
misrouted and falsely "not run" requests, and latency, as a Markdown table or
as JSON.

Policies are weighted (with the weights of the patch file), two-choices and
hash. With several files, "weighted as NAME" uses the weights of the site NAME;
it runs only in the scenario unsteady-start unless --policy names it.

Exit status: 0 when doubled, misrouted and falsely "not run" are 0 everywhere,
1 otherwise.`,
		Example: `  eelgrasswharf experiment examples/registry/experiment.ini --scenario calm
  eelgrasswharf experiment examples/*/experiment.ini --seed 1,2,3 --json
  eelgrasswharf experiment examples/registry/experiment.ini --scenario drain-cold-start \
    --policy weighted --plot drain.svg`,
		Args: minArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExperiment(cmd, args, x)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&x.sites, "site", nil, "`NAMES` of sites to run, comma-separated; of the others only the weights are used; default all")
	f.StringSliceVar(&x.scenarios, "scenario", nil, "`NAMES` of scenarios, comma-separated; default all")
	f.StringSliceVar(&x.policies, "policy", nil, "`NAMES` of policies, comma-separated; default all")
	f.UintSliceVar(&x.seeds, "seed", []uint{1}, "`SEEDS`, comma-separated; every cell runs once per seed")
	f.StringVar(&x.plot, "plot", "", "plot the last cell over time with its events, as load --plot does, into `FILE` (.svg or .png)")
	f.StringVar(&x.level, "log-level", experimentLogLevel, "lowest `LEVEL` logged: debug, info, warn or error")
	jsonFlag(cmd, &x.asJSON)
	return cmd
}

func runExperiment(cmd *cobra.Command, files []string, x *experimentFlags) error {
	if x.plot != "" {
		if err := loadgen.CheckPlotFile(x.plot); err != nil {
			return usageError(err)
		}
	}
	log, err := logging.New(&settingspb.Log{Level: x.level, Format: settingspb.LogFormat_LOG_FORMAT_CONSOLE}, cmd.ErrOrStderr())
	if err != nil {
		return usageError(err)
	}
	o := experiment.Options{
		OnlySites: x.sites, Scenarios: x.scenarios, Policies: x.policies, Log: log,
		Progress: func(c *experiment.RunResult) {
			fmt.Fprintf(cmd.ErrOrStderr(), "done: %s, %s, %s, seed %d\n", c.Site, c.Scenario, c.Policy, c.Seed)
		},
	}
	for _, seed := range x.seeds {
		o.Seeds = append(o.Seeds, uint64(seed))
	}
	for _, file := range files {
		site, err := experiment.LoadSite(file)
		if err != nil {
			return err
		}
		o.Sites = append(o.Sites, site)
	}
	return runUntilSignal(cmd.Context(), func(ctx context.Context) error {
		result, err := experiment.Run(ctx, o)
		if result == nil {
			return usageIf(err, experiment.ErrInvalidOptions)
		}
		// The cells that ran are reported even if a later one failed.
		return errors.Join(x.report(cmd.OutOrStdout(), result), err)
	})
}

// report writes the report before the plot, so that a failed plot does not lose the
// report.
func (x *experimentFlags) report(w io.Writer, r *experiment.Result) error {
	write := r.WriteMarkdown
	if x.asJSON {
		write = func(w io.Writer) error { return writeJSON(w, r) }
	}
	if err := write(w); err != nil || x.plot == "" {
		return err
	}
	return r.Plot(x.plot)
}
