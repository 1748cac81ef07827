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

// ErrViolations tells that a seed has shown a broken promise.
var ErrViolations = errors.New("promises were broken")

// Command returns the command that plays seeds.
func Command() *cobra.Command {
	p := player{}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Play faults on a deployment on loopback and check its promises",
		Long: `Plays seeds one after the other: each runs the platform's programs as processes of
their own on loopback, injects faults drawn from the seed, and checks what callers,
targets and operators see. The folder of a seed that broke a promise is kept.`,
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
	cmd.Flags().DurationVar(&p.patience, "patience", 0, "`time` added to each bound, for busy machines")
	cmd.Flags().StringVar(&p.binary, "binary", "", "program to play, by default this one")
	cmd.Flags().StringVar(&p.folder, "folder", "", "folder for settings, disks and logs, by default a new one")
	cmd.Flags().BoolVar(&p.verbose, "faults", false, "print each fault")
	return cmd
}

// player plays seeds.
type player struct {
	seed             uint64
	seeds            int
	length, patience time.Duration
	binary, folder   string
	verbose          bool
	out              io.Writer
}

func (p *player) run(ctx context.Context) error {
	if p.seeds < 1 || p.length <= 0 {
		return errors.New("--seeds and --length have to be positive")
	}
	if err := p.defaults(); err != nil {
		return err
	}
	broken := 0
	for i := range p.seeds {
		seed := p.seed + uint64(i)
		result, err := p.play(ctx, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if len(result.Violations) > 0 {
			broken++
		}
		p.tell(seed, result)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "stopped")
		}
	}
	if broken > 0 {
		return errors.Wrapf(ErrViolations, "%d of %d seeds, folder %s", broken, p.seeds, p.folder)
	}
	return nil
}

func (p *player) defaults() error {
	var err error
	if p.binary == "" {
		if p.binary, err = os.Executable(); err != nil {
			return errors.Wrap(err, "own program")
		}
	}
	if p.folder == "" {
		if p.folder, err = os.MkdirTemp("", "eelgrasswharf-soak-"); err != nil {
			return errors.Wrap(err, "folder")
		}
	}
	return nil
}

// play plays one seed. Its folder goes with it, unless it broke a promise.
func (p *player) play(ctx context.Context, seed uint64) (*Result, error) {
	folder := filepath.Join(p.folder, "seed-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	ips, err := standin.FreeIPs(RequiredIPs)
	if err != nil {
		return nil, err
	}
	o := Options{Binary: p.binary, Dir: folder, IPs: ips, Seed: seed, Length: p.length, TimeoutMargin: p.patience}
	if p.verbose {
		o.Out = p.out
	}
	result, err := Run(ctx, o)
	if err == nil && len(result.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return result, err
}

func (p *player) tell(seed uint64, r *Result) {
	verdict := "held"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(p.out, "seed %d: %s; %d faults, %d flows, %d requests served, %d silent, %d resets, %d changes, %d reads\n",
		seed, verdict, r.Faults, r.Opened, r.Served, r.TimedOut, r.Resets, r.Changes, r.Reads)
	for _, v := range r.Violations {
		fmt.Fprintf(p.out, "  %s\n", v)
	}
}
