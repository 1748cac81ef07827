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
	// devStartTimeout bounds the start of a deployment.
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
state live in a temporary folder.

With --duration it runs load against the first service for that long, reports
and ends. Without, it runs until SIGTERM or SIGINT.`,
		Example: `  eelgrasswharf dev
  eelgrasswharf dev --duration 10s --rate 500 --json`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := l.check(); err != nil {
				return err
			}
			return untilSignal(cmd.Context(), func(ctx context.Context) error {
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
		return usage(err)
	}
	startCtx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	d, err := dev.Start(startCtx, dev.Options{Log: log})
	if err != nil {
		return err
	}
	defer d.Close()
	// The report goes alone to standard output.
	writeHowTo(cmd.ErrOrStderr(), d)
	if l.opts.Duration == 0 {
		return awaitEnd(ctx, d)
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

// awaitEnd waits for a signal or the failure of a daemon.
func awaitEnd(ctx context.Context, d *dev.Deployment) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.Failed():
		return d.Err()
	}
}

func writeHowTo(w io.Writer, d *dev.Deployment) {
	for _, service := range d.Services() {
		fmt.Fprintf(w, "service %s at %s\n", service, strings.Join(d.Addresses(service), ", "))
	}
	self := invocation()
	first := d.Services()[0]
	fmt.Fprintf(w, "\nCall it:\n  %s load --service %s --address %s --authority %s\n",
		self, first, strings.Join(d.Addresses(first), ","), quote(d.AuthorityFile()))
	fmt.Fprintf(w, "Operate it:\n  %s status %s\n  %s config show %s\n",
		self, d.OperatorArgs(), self, d.OperatorArgs())
	// With "go run" a signal has to go to the process that it started.
	fmt.Fprintf(w, "End it:\n  kill %d\n\n", os.Getpid())
}
