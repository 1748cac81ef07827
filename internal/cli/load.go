package cli

import (
	"crypto/x509"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

var errNoCertificates = errors.New("no certificate in the file")

// loadFlags are shared by the commands that make load.
type loadFlags struct {
	opts   loadgen.Options
	asJSON bool
	plot   string
}

func (l *loadFlags) add(cmd *cobra.Command, duration time.Duration) {
	f := cmd.Flags()
	o := &l.opts
	f.Float64Var(&o.Rate, "rate", 100, "requests a second")
	f.IntVar(&o.Connections, "connections", loadgen.DefaultConnections, "flows that carry requests at a time")
	f.IntVar(&o.RequestsPerFlow, "requests-per-flow", loadgen.DefaultRequestsPerFlow, "requests before a flow is replaced")
	f.IntVar(&o.Sessions, "sessions", 10, "watch streams held open")
	f.DurationVar(&o.WatchPeriod, "watch-period", loadgen.DefaultWatchPeriod, "time between two events of a watch stream")
	f.DurationVar(&o.Duration, "duration", duration, "length of the run")
	f.Float64Var(&o.NonRepeatable, "non-repeatable", 0.2, "share of requests that may not be repeated, 0 to 1")
	f.DurationVar(&o.Work, "work", 5*time.Millisecond, "time that a request works on its target")
	f.DurationVar(&o.Deadline, "deadline", loadgen.DefaultDeadline, "deadline of a request over all attempts")
	f.IntVar(&o.Attempts, "attempts", loadgen.DefaultAttempts, "greatest number of attempts of a request")
	f.IntVar(&o.RetryPercent, "retry-percent", loadgen.DefaultRetryPercent, "retries allowed per hundred requests")
	f.DurationVar(&o.Window, "window", loadgen.DefaultWindow, "window of time for imbalance")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of schedule, kinds and jitter")
	f.StringVar(&l.plot, "plot", "", "write the answers of each target over time to `FILE` (.svg or .png)")
	jsonFlag(cmd, &l.asJSON)
}

// report writes the report and the plot.
func (l *loadFlags) report(w io.Writer, r *loadgen.Report) error {
	if l.plot != "" {
		if err := loadgen.Plot(r, l.opts.Window, l.plot); err != nil {
			return err
		}
	}
	if l.asJSON {
		return writeJSON(w, r)
	}
	return r.WriteText(w)
}

func newLoad() *cobra.Command {
	l := &loadFlags{}
	var authority string
	cmd := &cobra.Command{
		Use:   "load --service NAME --address ADDRESSES --authority FILE",
		Short: "Play many callers against a service and report",
		Long: `Plays callers against a service whose targets are built-in backend servers and
reports latency, outcomes by reason, broken flows and imbalance over targets.

Requests start on a schedule fixed by --rate and --seed, whatever became of
earlier ones. Callers honour Retry-After and never repeat a request that may not
be repeated and whose outcome is unknown.

Doubled runs are reported only when --runs-url names every backend server.`,
		Example: `  eelgrasswharf load --service lodgement --address 192.0.2.80:443 \
    --authority keys/authority.pem --rate 500 --sessions 200 --duration 60s --json`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			roots, err := readRoots(authority)
			if err != nil {
				return err
			}
			l.opts.Roots = roots
			r, err := loadgen.Run(cmd.Context(), l.opts)
			if errors.Is(err, loadgen.ErrOptions) {
				return usage(err)
			}
			if err != nil {
				return err
			}
			return l.report(cmd.OutOrStdout(), r)
		},
	}
	f := cmd.Flags()
	f.StringVar(&l.opts.Service, "service", "", "`NAME` of the service")
	f.StringSliceVar(&l.opts.Addresses, "address", nil, "public `ADDRESSES` (ip:port) to call, comma-separated")
	f.StringVar(&authority, "authority", "", "certificate authority `FILE` (PEM)")
	f.StringSliceVar(&l.opts.Targets, "targets", nil, "`NAMES` of all targets of the service, comma-separated")
	f.StringSliceVar(&l.opts.RunURLs, "runs-url", nil, "base `URLS` of all backend servers, comma-separated")
	l.add(cmd, 10*time.Second)
	require(cmd, "service", "address", "authority")
	return cmd
}

func readRoots(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, errors.Wrap(errNoCertificates, path)
	}
	return roots, nil
}
