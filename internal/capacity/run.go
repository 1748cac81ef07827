package capacity

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/sleep"
)

// ErrUnknownMeasurement reports a name that no measurement has.
var ErrUnknownMeasurement = errors.New("no such measurement")

// Options configure a run.
type Options struct {
	// Binary is the path of the eelgrasswharf binary that runs the daemons.
	Binary string
	// Only names the measurements to make; empty means all.
	Only []string
	Log  *zap.Logger
}

// measurement measures a set of related slopes.
type measurement struct {
	name string
	run  func(context.Context, *testbed, *Report) error
}

var measurements = []measurement{
	{"machines", measureStateMachines},
	{"entry", measureEntry},
	{"agent", measureAgent},
	{"subscribers", measureSubscribers},
	{"directory", measureDirectory},
	{"grants", measureGrants},
	{"groups", measureGrantGroups},
	{"force", measureActivation},
	{"restart", measureRestart},
	{"group", measureGroup},
	{"members", measureGroupMembership},
	{"pace", measureChangeRates},
}

// Names returns the names of all measurements.
func Names() []string {
	names := make([]string, len(measurements))
	for i, m := range measurements {
		names[i] = m.name
	}
	return names
}

// Run runs the measurements one at a time. Errors: ErrUnknownMeasurement, or the
// first failure together with the report of the measurements before it.
func Run(ctx context.Context, o Options) (*Report, error) {
	for _, name := range o.Only {
		if !slices.Contains(Names(), name) {
			return nil, errors.Wrapf(ErrUnknownMeasurement, "%q, have %s", name, strings.Join(Names(), ", "))
		}
	}
	r := &Report{}
	for _, m := range measurements {
		if len(o.Only) > 0 && !slices.Contains(o.Only, m.name) {
			continue
		}
		start := time.Now()
		if err := runMeasurement(ctx, o, m, r); err != nil {
			return r, errors.Wrap(err, m.name)
		}
		o.Log.Info("measured", zap.String("name", m.name), zap.Duration("took", time.Since(start)))
	}
	return r, nil
}

func runMeasurement(ctx context.Context, o Options, m measurement, r *Report) error {
	return withTestbed(o.Binary, o.Log, func(tb *testbed) error { return m.run(ctx, tb, r) })
}

// withTestbed calls f with a new testbed and closes it afterwards.
func withTestbed(binary string, log *zap.Logger, f func(*testbed) error) error {
	dir, err := os.MkdirTemp("", "eelgrasswharf-measure-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tb := &testbed{binary: binary, dir: dir, log: log}
	defer tb.close()
	return f(tb)
}

// testbed holds the directory and the processes of one measurement.
type testbed struct {
	binary    string
	dir       string
	log       *zap.Logger
	processes []*process
	// cleanups close the clients and servers of this process. They run in reverse
	// order.
	cleanups []func()
}

func (tb *testbed) onClose(f func()) { tb.cleanups = append(tb.cleanups, f) }

func (tb *testbed) close() {
	for _, f := range slices.Backward(tb.cleanups) {
		f()
	}
	tb.cleanups = nil
	for _, p := range tb.processes {
		p.kill()
	}
}

const (
	pollInterval = 10 * time.Millisecond
	awaitTimeout = time.Minute
)

// errTimeout reports a condition that did not hold within awaitTimeout.
var errTimeout = errors.New("timeout")

// await polls until the condition holds.
func await(ctx context.Context, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !condition() {
		if sleep.For(ctx, pollInterval) != nil {
			return errors.Wrap(errTimeout, description)
		}
	}
	return nil
}
