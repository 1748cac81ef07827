package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// deployment is the usual test setup: two services with two targets each behind two
// entry hosts.
type deployment struct {
	*processtest.Cluster
	controls                []*processtest.Control
	entries                 []*processtest.Entry
	lodgement, certificates *processtest.Service
	targets                 map[*processtest.Service][]*processtest.Target

	// inFlight is the number of requests started by startRequests, used in their keys.
	inFlight int
}

func deploy(t *testing.T, controls int) *deployment {
	t.Helper()
	return deployWith(t, controls, processtest.TargetOptions{})
}

// deployWith is deploy with options for all targets.
func deployWith(t *testing.T, controls int, options processtest.TargetOptions) *deployment {
	t.Helper()
	return deployOn(t, options, func(c *processtest.Cluster) []*processtest.Control { return c.StartControls(controls) })
}

// deployOn is deployWith on the control hosts that start returns.
func deployOn(t *testing.T, options processtest.TargetOptions, start func(*processtest.Cluster) []*processtest.Control) *deployment {
	t.Helper()
	t.Parallel() // each deployment has its own addresses
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = start(d.Cluster)
	d.lodgement = d.NewService("lodgement")
	d.certificates = d.NewService("certificates")
	d.Patch(d.lodgement.PutSection(), d.certificates.PutSection())
	d.entries = append(d.entries, d.StartEntry(), d.StartEntry())
	d.targets = make(map[*processtest.Service][]*processtest.Target)
	for _, s := range d.services() {
		for _, name := range []string{"a", "b"} {
			d.targets[s] = append(d.targets[s], s.StartTargetWith(name, options))
		}
	}
	return d
}

func (d *deployment) services() []*processtest.Service {
	return []*processtest.Service{d.lodgement, d.certificates}
}

// all returns the targets of both services.
func (d *deployment) all() []*processtest.Target {
	return append(d.targets[d.lodgement], d.targets[d.certificates]...)
}

// checkEchoes opens a flow to each service and expects complete responses of that
// service.
func (d *deployment) checkEchoes(t *testing.T, label string, requests int) {
	t.Helper()
	for _, s := range d.services() {
		caller := s.NewCaller()
		for i := range requests {
			text := strings.Repeat(fmt.Sprintf("%s %s %d;", s.Name, label, i), 100)
			checkEcho(t, s, caller, text)
		}
	}
}

func checkEcho(t *testing.T, s *processtest.Service, caller *processtest.Caller, text string) {
	t.Helper()
	is := is.New(t)
	answer := caller.Echo(text)
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(answer.Outcome, processtest.OutcomeAnswered)
	is.Equal(string(answer.Body), text)
	is.True(strings.HasPrefix(answer.Target, s.Name+"-")) // the right service
}

// processes returns every process of the deployment.
func (d *deployment) processes() []*processtest.Process {
	var all []*processtest.Process
	for _, host := range d.controls {
		all = append(all, host.Process)
	}
	for _, e := range d.entries {
		all = append(all, e.Process)
	}
	for _, target := range d.all() {
		all = append(all, target.Backend, target.Agent)
	}
	return all
}

// load is traffic on both services plus an open watch.
type load struct {
	t       *testing.T
	watch   *processtest.Watch
	traffic []*processtest.Traffic
}

func (d *deployment) startLoad(t *testing.T) *load {
	t.Helper()
	l := &load{t: t, watch: d.lodgement.NewCaller().Watch()}
	for _, s := range d.services() {
		l.traffic = append(l.traffic, s.StartTraffic(3))
	}
	l.progress()
	return l
}

// progress waits until the watch and both services have made progress.
func (l *load) progress() {
	l.t.Helper()
	l.watch.WaitEvents()
	for _, traffic := range l.traffic {
		traffic.WaitProgress()
	}
}

// stop expects that no request failed and that the watch goes on.
func (l *load) stop() {
	l.t.Helper()
	l.watch.WaitEvents()
	for _, traffic := range l.traffic {
		report := traffic.Stop()
		l.t.Logf("answered %d, refused %d", report.Answered, report.Refused)
		if len(report.Failures) > 0 {
			l.t.Errorf("%d of %d requests failed, the first: %s",
				len(report.Failures), len(report.Failures)+report.Answered+report.Refused, report.Failures[0])
		}
	}
}

// entryNames returns the names of the entry hosts.
func (d *deployment) entryNames() []string {
	var names []string
	for _, e := range d.entries {
		names = append(names, e.Host)
	}
	return names
}
