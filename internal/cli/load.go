package cli

import (
	"crypto/x509"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

var (
	errNoCertificates    = errors.New("no certificate in the file")
	errEventsWithoutPlot = errors.New("--events needs --plot")
)

// loadFlags are the flags shared by the commands that generate load.
type loadFlags struct {
	opts   loadgen.Options
	asJSON bool
	plot   string
	events string
}

func (l *loadFlags) add(cmd *cobra.Command, duration time.Duration) {
	f := cmd.Flags()
	o := &l.opts
	f.Float64Var(&o.Rate, "rate", 100, "requests per second")
	f.IntVar(&o.Connections, "connections", loadgen.DefaultConnections, "number of concurrent flows that carry requests")
	f.IntVar(&o.RequestsPerFlow, "requests-per-flow", loadgen.DefaultRequestsPerFlow, "requests before a flow is replaced")
	f.IntVar(&o.Sessions, "sessions", 10, "watch streams held open")
	f.DurationVar(&o.WatchPeriod, "watch-period", loadgen.DefaultWatchPeriod, "time between two events of a watch stream")
	f.DurationVar(&o.Duration, "duration", duration, "length of the run")
	f.Float64Var(&o.NonRepeatable, "non-repeatable", 0.2, "share of requests that must not be repeated, 0 to 1")
	f.DurationVar(&o.Work, "work", 5*time.Millisecond, "processing time of a request on its target")
	f.DurationVar(&o.Deadline, "deadline", loadgen.DefaultDeadline, "deadline of a request over all attempts")
	f.IntVar(&o.MaxAttempts, "attempts", loadgen.DefaultMaxAttempts, "maximum number of attempts of a request")
	f.IntVar(&o.RetryPercent, "retry-percent", loadgen.DefaultRetryPercent, "retries allowed per hundred requests")
	f.DurationVar(&o.Window, "window", loadgen.DefaultWindow, "time window for imbalance and plot")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of schedule, kinds and jitter")
	f.StringVar(&l.plot, "plot", "", "plot answers of each target, latency, broken flows and imbalance over time into `FILE` (.svg or .png)")
	jsonFlag(cmd, &l.asJSON)
}

// validate rejects plot options that would fail only after the run.
func (l *loadFlags) validate() error {
	if l.plot == "" {
		if l.events != "" {
			return usageError(errEventsWithoutPlot)
		}
		return nil
	}
	if err := loadgen.CheckPlotFile(l.plot); err != nil {
		return usageError(err)
	}
	return nil
}

// report writes the report before the plot, so that a failed plot does not lose the
// report.
func (l *loadFlags) report(w io.Writer, r *loadgen.Report) error {
	write := r.WriteText
	if l.asJSON {
		write = func(w io.Writer) error { return writeJSON(w, r) }
	}
	if err := write(w); err != nil {
		return err
	}
	if l.plot == "" {
		return nil
	}
	marks, err := readEvents(l.events, r.Start)
	if err != nil {
		return err
	}
	return r.Chart(l.opts.Window, marks).Save(l.plot)
}

// readEvents reads a file of events, each line a time and a text. Empty lines are
// ignored; an empty path means no events.
func readEvents(path string, start time.Time) ([]loadgen.Mark, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "events")
	}
	var marks []loadgen.Mark
	for n, line := range strings.Split(string(text), "\n") {
		when, what, _ := strings.Cut(strings.TrimSpace(line), " ")
		if when == "" {
			continue
		}
		// RFC 3339 parsing also accepts the decimal comma of "date -Ins".
		at, err := time.Parse(time.RFC3339, when)
		if err != nil {
			return nil, errors.Wrapf(err, "events: %s:%d", path, n+1)
		}
		marks = append(marks, loadgen.Mark{Seconds: at.Sub(start).Seconds(), Text: strings.TrimSpace(what)})
	}
	return marks, nil
}

func newLoad() *cobra.Command {
	l := &loadFlags{}
	var authority string
	cmd := &cobra.Command{
		Use:   "load --service NAME --address ADDRESSES --authority FILE",
		Short: "Generate load against a service and report",
		Long: `Simulates callers of a service whose targets are built-in backend servers and
reports latency, outcomes by reason, broken flows and imbalance over targets.

Requests start on a schedule fixed by --rate and --seed, independent of the
outcome of earlier ones. Callers honour Retry-After and never repeat a request
that must not be repeated and whose outcome is unknown.

Doubled runs are reported only when --runs-url names every backend server.

--plot draws the run over time. Events of the deployment can be recorded in a file,
one a line, as a time of "date -Ins" and a text. The file that --events names is
read at the end of the run, and each event within the run is marked.`,
		Example: `  eelgrasswharf load --service lodgement --address 192.0.2.80:443 \
    --authority keys/authority.pem --rate 500 --sessions 200 --duration 60s --json
  echo "$(date -Ins) drain lodgement-1" >> events.txt
  eelgrasswharf load --service lodgement --address 192.0.2.80:443 \
    --authority keys/authority.pem --duration 60s --plot run.svg --events events.txt`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := l.validate(); err != nil {
				return err
			}
			roots, err := readRoots(authority)
			if err != nil {
				return err
			}
			l.opts.Roots = roots
			r, err := loadgen.Run(cmd.Context(), l.opts)
			if errors.Is(err, loadgen.ErrInvalidOptions) {
				return usageError(err)
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
	f.StringVar(&l.events, "events", "", "mark the events of `FILE` in the plot")
	f.StringSliceVar(&l.opts.RunURLs, "runs-url", nil, "base `URLS` of all backend servers, comma-separated")
	l.add(cmd, 10*time.Second)
	requireFlags(cmd, "service", "address", "authority")
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
