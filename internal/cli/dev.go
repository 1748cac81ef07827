package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/dev"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

const (
	devStartTimeout = time.Minute
	devLogLevel     = "warn"
)

func newDev() *cobra.Command {
	l := &loadFlags{}
	var level string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole deployment in this process",
		Long: `Runs a control host, two entry hosts and two services with two targets each in
this process, on free ports of loopback, with built-in backend servers. Keys and
state are kept in a temporary directory.

With --duration it generates load against the first service for that long, reports
and exits. Without, it runs until SIGTERM or SIGINT.`,
		Example: `  eelgrasswharf dev
  eelgrasswharf dev --duration 10s --rate 500 --json`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := l.validate(); err != nil {
				return err
			}
			return runUntilSignal(cmd.Context(), func(ctx context.Context) error {
				return runDev(ctx, cmd, l, level)
			})
		},
	}
	l.add(cmd, 0)
	cmd.Flags().StringVar(&level, "log-level", devLogLevel, "lowest `LEVEL` logged: debug, info, warn or error")
	return cmd
}

func runDev(ctx context.Context, cmd *cobra.Command, l *loadFlags, level string) error {
	log, err := logging.New(&settingspb.Log{Level: level, Format: settingspb.LogFormat_LOG_FORMAT_CONSOLE}, cmd.ErrOrStderr())
	if err != nil {
		return usageError(err)
	}
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	d, err := dev.Start(startCtx, dev.Options{Log: log})
	if err != nil {
		return err
	}
	defer d.Close()
	// Standard output is reserved for the report.
	writeInstructions(cmd.ErrOrStderr(), d)
	if l.opts.Duration == 0 {
		return waitForExit(ctx, d)
	}
	service := dev.DefaultServices()[0].Name
	r, err := d.Load(ctx, service, l.opts)
	if err != nil {
		return usageIf(err, loadgen.ErrInvalidOptions)
	}
	if err := d.Err(); err != nil {
		return err
	}
	return l.report(cmd.OutOrStdout(), r)
}

// waitForExit waits until a signal arrives or a daemon fails.
func waitForExit(ctx context.Context, d *dev.Deployment) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.Failed():
		return d.Err()
	}
}

func writeInstructions(w io.Writer, d *dev.Deployment) {
	for _, service := range d.Services() {
		fmt.Fprintf(w, "service %s at %s\n", service, strings.Join(d.Addresses(service), ", "))
	}
	self := invocation()
	first := d.Services()[0]
	fmt.Fprintf(w, "\nCall it:\n  %s load --service %s --address %s --authority %s\n",
		self, first, strings.Join(d.Addresses(first), ","), quote(d.AuthorityFile()))
	fmt.Fprintf(w, "Operate it:\n  %s status %s\n  %s config show %s\n",
		self, d.OperatorArgs(), self, d.OperatorArgs())
	// Under "go run" the signal must go to the built binary.
	fmt.Fprintf(w, "Stop it:\n  kill %d\n\n", os.Getpid())
}
