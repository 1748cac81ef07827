package cli

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/backend"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

func newBackend() *cobra.Command {
	o := backend.Options{}
	var health, load, runLog string
	cmd := &cobra.Command{
		Use:   "backend --service NAME --target NAME --announce ADDRESS",
		Short: "Run the built-in backend server, for development and tests",
		Long: `Runs a small backend server that announces itself to the agent of its host and
serves /echo, /run, /watch and /runs. The --fault flags make it misbehave.

SIGTERM or SIGINT drains it: it announces that it is draining and waits for its
requests and watch streams, without a time limit. A second signal ends it
immediately, with exit status 1.`,
		Example: `  eelgrasswharf backend --service lodgement --target lodgement-1 --announce 127.0.0.1:7301
  eelgrasswharf backend --service lodgement --target lodgement-2 --announce 127.0.0.1:7301 \
    --fault-health well --fault-broken`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Faults.Health = backend.HealthMode(health)
			o.Faults.Load = backend.LoadMode(load)
			if runLog != "" {
				runs, err := backend.OpenRunLog(runLog)
				if err != nil {
					return err
				}
				o.RunLog = runs
			}
			return runBackend(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Service, "service", "", "`NAME` of the service")
	f.StringVar(&o.Target, "target", "", "`NAME` of the target")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "`ADDRESS` (ip:port) for requests")
	f.StringVar(&o.Announce, "announce", "", "`ADDRESS` (ip:port) where the agent receives announcements")
	f.Uint32Var(&o.Slots, "slots", backend.DefaultSlots, "number of requests run concurrently")
	f.DurationVar(&o.AnnouncePeriod, "announce-period", backend.DefaultAnnouncePeriod, "time between two announcements")
	f.StringVar(&health, "fault-health", string(backend.HealthHonest), "health endpoint: honest, well, ill or frozen")
	f.StringVar(&load, "fault-load", string(backend.LoadHonest), "load endpoint: honest, idle, full or stale")
	f.DurationVar(&o.Faults.Age, "fault-age", 0, "report an uptime of at least this long")
	f.BoolVar(&o.Faults.Broken, "fault-broken", false, "respond with status 500 to every request")
	f.StringVar(&runLog, "run-log", "", "store the idempotency keys of all runs in `FILE`, so that /runs includes previous processes")
	f.Uint64Var(&o.Faults.LateEvery, "fault-late-every", 0, "delay every `N`th response")
	f.DurationVar(&o.Faults.LateBy, "fault-late-by", 0, "delay of late responses")
	f.Uint64Var(&o.Faults.TruncateEvery, "fault-truncate-every", 0, "truncate every `N`th response")
	f.Uint64Var(&o.Faults.CrossEvery, "fault-cross-every", 0, "send an unrelated response after every `N`th one")
	requireFlags(cmd, "service", "target")
	return cmd
}

func runBackend(cmd *cobra.Command, o backend.Options) error {
	log, err := logging.New(&settingspb.Log{}, cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	o.Log = log
	// Signals are handled from the start, so that one during startup is graceful too.
	return runUntilSignal(cmd.Context(), func(ctx context.Context) error {
		return serveBackend(ctx, o)
	})
}

// serveBackend runs a server until ctx ends, then drains it.
func serveBackend(ctx context.Context, o backend.Options) error {
	log := o.Log
	s, err := backend.Start(o)
	if errors.Is(err, backend.ErrFault) {
		return usageError(err)
	}
	if err != nil {
		return err
	}
	log.Info(readyMessage, zap.String("role", "backend"), zap.String("name", o.Target), zap.String("url", s.URL()))
	<-ctx.Done()
	log.Info("draining", zap.Int("running", s.Running()), zap.Int("watching", s.Watching()))
	return s.Drain(context.WithoutCancel(ctx))
}
