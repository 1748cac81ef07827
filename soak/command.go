package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

// ErrViolations is returned if a seed shows violations.
var ErrViolations = errors.New("rules were violated")

// Command returns the command that runs seeds.
func Command() *cobra.Command {
	p := runner{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Inject faults into a deployment on loopback and check its guarantees",
		Long: `Runs seeds one after the other. Each runs the platform's roles as processes on
loopback, injects pseudo-random faults generated from the seed, and checks what
callers, targets and operators observe. The directory of a seed with violations is
kept.`,
		Example: "  eelgrasswharf platform soak --seed 1 --seeds 50 --length 20s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p.out = cmd.OutOrStdout()
			return p.run(cmd.Context())
		},
	}
	cmd.Flags().Uint64Var(&p.seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&p.seeds, "seeds", 1, "`number` of seeds")
	cmd.Flags().DurationVar(&p.length, "length", 20*time.Second, "`time` for which faults are injected, for each seed")
	cmd.Flags().DurationVar(&p.timeoutMargin, "patience", 0, "`time` added to each timeout, for busy machines")
	cmd.Flags().StringVar(&p.binary, "binary", "", "program to run, by default this one")
	cmd.Flags().StringVar(&p.dir, "folder", "", "directory for settings, disks and logs, by default a new one")
	cmd.Flags().BoolVar(&p.verbose, "faults", false, "print each fault")
	return cmd
}

// runner runs seeds.
type runner struct {
	seed                  uint64
	seeds                 int
	length, timeoutMargin time.Duration
	binary, dir           string
	verbose               bool
	out                   io.Writer
}

func (p *runner) run(ctx context.Context) error {
	if p.seeds < 1 || p.length <= 0 {
		return errors.New("--seeds and --length must be positive")
	}
	if err := p.defaults(); err != nil {
		return err
	}
	broken := 0
	for i := range p.seeds {
		seed := p.seed + uint64(i)
		result, err := p.runSeed(ctx, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if len(result.Violations) > 0 {
			broken++
		}
		p.printResult(seed, result)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "stopped")
		}
	}
	if broken > 0 {
		return errors.Wrapf(ErrViolations, "%d of %d seeds, directory %s", broken, p.seeds, p.dir)
	}
	return nil
}

func (p *runner) defaults() error {
	var err error
	if p.binary == "" {
		if p.binary, err = os.Executable(); err != nil {
			return errors.Wrap(err, "path of the executable")
		}
	}
	if p.dir == "" {
		if p.dir, err = os.MkdirTemp("", "eelgrasswharf-soak-"); err != nil {
			return errors.Wrap(err, "create directory")
		}
	}
	return nil
}

// runSeed runs one seed and removes its directory unless there were violations.
func (p *runner) runSeed(ctx context.Context, seed uint64) (*Result, error) {
	dir := filepath.Join(p.dir, "seed-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	ips, err := standin.FreeIPs(RequiredIPs)
	if err != nil {
		return nil, err
	}
	o := Options{Binary: p.binary, Dir: dir, IPs: ips, Seed: seed, Length: p.length, TimeoutMargin: p.timeoutMargin}
	if p.verbose {
		o.Out = p.out
	}
	result, err := Run(ctx, o)
	if err == nil && len(result.Violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return result, err
}

func (p *runner) printResult(seed uint64, r *Result) {
	verdict := "held"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(p.out, "seed %d: %s; %d faults, %d flows, %d requests served, %d timed out, %d resets, %d changes, %d reads\n",
		seed, verdict, r.Faults, r.Opened, r.Served, r.TimedOut, r.Resets, r.Changes, r.Reads)
	fmt.Fprintf(p.out, "  recovered after %v; longest stop %v, start %v, leaving of a target %v\n",
		r.Recovery.Round(time.Millisecond), r.Stop.Round(time.Millisecond), r.Start.Round(time.Millisecond), r.Drain.Round(time.Millisecond))
	for _, v := range r.Violations {
		fmt.Fprintf(p.out, "  %s\n", v)
	}
	for _, missing := range r.Missing() {
		fmt.Fprintf(p.out, "  %s\n", missing)
	}
}
