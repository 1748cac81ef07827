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

// ErrUnknownMeasurement tells that no measurement has the given name.
var ErrUnknownMeasurement = errors.New("no such measurement")

// Options configure a run.
type Options struct {
	// Binary is the path of the eelgrasswharf binary that runs the daemons.
	Binary string
	// Only names the measurements to make; empty means all.
	Only []string
	Log  *zap.Logger
}

// measurement measures some slopes of one matter.
type measurement struct {
	name string
	run  func(context.Context, *lab, *Report) error
}

var measurements = []measurement{
	{"machines", measureMachines},
	{"entry", measureEntry},
	{"agent", measureAgent},
	{"subscribers", measureSubscribers},
	{"directory", measureDirectory},
	{"grants", measureGrants},
	{"groups", measureGrantGroups},
	{"force", measureForce},
	{"restart", measureRestart},
	{"group", measureGroup},
	{"members", measureMemberGroups},
	{"pace", measurePace},
}

// Names returns the names of all measurements.
func Names() []string {
	names := make([]string, len(measurements))
	for i, m := range measurements {
		names[i] = m.name
	}
	return names
}

// Run makes the measurements one after the other. Errors:
// ErrUnknownMeasurement, or the failure of the first one that failed, with
// the report of those before.
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
		began := time.Now()
		if err := runOne(ctx, o, m, r); err != nil {
			return r, errors.Wrap(err, m.name)
		}
		o.Log.Info("measured", zap.String("name", m.name), zap.Duration("took", time.Since(began)))
	}
	return r, nil
}

func runOne(ctx context.Context, o Options, m measurement, r *Report) error {
	return inLab(o.Binary, o.Log, func(l *lab) error { return m.run(ctx, l, r) })
}

// inLab calls f with a lab of its own, which ends with the call.
func inLab(binary string, log *zap.Logger, f func(*lab) error) error {
	folder, err := os.MkdirTemp("", "eelgrasswharf-measure-")
	if err != nil {
		return errors.Wrap(err, "temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	l := &lab{binary: binary, folder: folder, log: log}
	defer l.close()
	return f(l)
}

// lab is the folder and the processes of one measurement.
type lab struct {
	binary    string
	folder    string
	log       *zap.Logger
	processes []*process
	// closers end what this process plays, newest first.
	closers []func()
}

func (l *lab) onClose(f func()) { l.closers = append(l.closers, f) }

func (l *lab) close() {
	for _, f := range slices.Backward(l.closers) {
		f()
	}
	l.closers = nil
	for _, p := range l.processes {
		p.kill()
	}
}

const (
	pollPeriod = 10 * time.Millisecond
	// patience bounds every wait for what must happen.
	patience = time.Minute
)

// errImpatient tells that something did not happen within patience.
var errImpatient = errors.New("never happened")

// await polls until the condition holds.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !holds() {
		if sleep.For(ctx, pollPeriod) != nil {
			return errors.Wrap(errImpatient, what)
		}
	}
	return nil
}
