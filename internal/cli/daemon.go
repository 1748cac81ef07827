package cli

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/agentd"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/entryd"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
	"eelgrasswharf.example/eelgrasswharf/internal/metrics"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// readyMessage is the log message that scripts wait for before they use a daemon.
const readyMessage = "ready"

// daemon is implemented by the daemons of all roles.
type daemon interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
}

// commonSettings are the settings sections that every role has.
type commonSettings interface {
	proto.Message
	GetHost() *settingspb.Host
	GetLog() *settingspb.Log
	GetMetrics() *settingspb.Metrics
}

// role describes the command of a daemon D with settings S.
type role[S commonSettings, D daemon] struct {
	name      settings.Role
	short     string
	long      string
	message   S
	newDaemon func(S, *zap.Logger, tally.Scope) (D, error)
	// boundAddrs returns the listen addresses of a ready daemon as log fields.
	boundAddrs func(D) []zap.Field
}

func newControl() *cobra.Command {
	return daemonCommand(role[*settingspb.ControlSettings, *controld.Daemon]{
		name:  settings.RoleControl,
		short: "Run a control host",
		long: `Runs a control host in the foreground: a replica of the configuration and of the
grants for requests that must not be repeated.`,
		message:   &settingspb.ControlSettings{},
		newDaemon: controld.New,
		boundAddrs: func(d *controld.Daemon) []zap.Field {
			return []zap.Field{zap.String("link", d.LinkAddr()), zap.String("operator", d.OperatorAddr())}
		},
	})
}

func newEntry() *cobra.Command {
	return daemonCommand(role[*settingspb.EntrySettings, *entryd.Daemon]{
		name:  settings.RoleEntry,
		short: "Run an entry host",
		long: `Runs an entry host in the foreground: it forwards the packets of callers to
the agents of targets and keeps no per-flow state.`,
		message:   &settingspb.EntrySettings{},
		newDaemon: entryd.New,
		boundAddrs: func(d *entryd.Daemon) []zap.Field {
			return []zap.Field{zap.String("frames", d.FrameAddr()), zap.Any("public", d.PublicAddrs())}
		},
	})
}

func newAgent() *cobra.Command {
	return daemonCommand(role[*settingspb.AgentSettings, *agentd.Daemon]{
		name:  settings.RoleAgent,
		short: "Run the agent beside a backend server",
		long: `Runs the agent of one backend server in the foreground: it terminates the callers'
connections and forwards their requests to the backend server.

On shutdown an agent accepts no new flows and exits once its last session has
ended, without a time limit.`,
		message:   &settingspb.AgentSettings{},
		newDaemon: agentd.New,
		boundAddrs: func(d *agentd.Daemon) []zap.Field {
			return []zap.Field{zap.String("frames", d.FrameAddr()), zap.String("announce", d.AnnounceAddr())}
		},
	})
}

func daemonCommand[S commonSettings, D daemon](r role[S, D]) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   string(r.name) + " -c FILE",
		Short: r.short,
		Long: r.long + `

SIGTERM or SIGINT starts a graceful shutdown, which ends with exit status 0.
A second signal ends the process immediately, with exit status 1.

The log goes to standard error. The line with the message "` + readyMessage + `" lists the
addresses that the process listens on.`,
		Example: fmt.Sprintf(`  eelgrasswharf config example %[1]s > %[1]s.ini
  eelgrasswharf config check %[1]s.ini
  eelgrasswharf %[1]s -c %[1]s.ini`, r.name),
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Signals are handled from the start, so that one during startup is
			// graceful too.
			return runUntilSignal(cmd.Context(), func(ctx context.Context) error {
				return r.serve(ctx, cmd, path)
			})
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "c", "", "settings `FILE` (INI)")
	requireFlags(cmd, "settings")
	return cmd
}

// serve runs the daemon until ctx ends.
func (r role[S, D]) serve(ctx context.Context, cmd *cobra.Command, path string) error {
	s := proto.Clone(r.message).(S)
	if err := settings.Load(filepath.Clean(path), s); err != nil {
		return err
	}
	log, err := logging.New(s.GetLog(), cmd.ErrOrStderr())
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	scope, closer, metricsAddr, err := metrics.New(s.GetMetrics(), func(err error) {
		log.Error("metric not registered", zap.Error(err))
	})
	if err != nil {
		return err
	}
	defer closer.Close()
	d, err := r.newDaemon(s, log, scope)
	if err != nil {
		return err
	}
	log = log.With(zap.String("role", string(r.name)), zap.String("name", s.GetHost().GetName()))
	log.Info("start", zap.String("settings", path), zap.String("failure_domain", s.GetHost().GetFailureDomain()))
	err = runDaemon(ctx, d, func() {
		log.Info(readyMessage, append(r.boundAddrs(d), metricsField(metricsAddr))...)
	})
	log.Info("stop", zap.Error(err))
	return err
}

// runDaemon runs d and calls ready once d is ready.
func runDaemon(ctx context.Context, d daemon, ready func()) error {
	exited := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		select {
		case <-d.Ready():
			ready()
		case <-exited:
		}
	})
	err := d.Run(ctx)
	close(exited)
	wg.Wait()
	return err
}

func metricsField(addr netip.AddrPort) zap.Field {
	if !addr.IsValid() {
		return zap.Skip()
	}
	return zap.Stringer("metrics", addr)
}
