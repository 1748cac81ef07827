package test

import (
	"crypto/x509"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// lossy is a bad path on which every flow still makes progress.
var lossy = faultproxy.Faults{
	Drop:      0.02,
	Duplicate: 0.05,
	Delay:     2 * time.Millisecond,
	Reorder:   0.05,
	HoldBack:  10 * time.Millisecond,
}

// deployment is what most tests start from: two services with two targets
// each behind two entry hosts.
type deployment struct {
	*processtest.Cluster
	controls                []*processtest.Control
	entries                 []*processtest.Entry
	lodgement, certificates *processtest.Service
	targets                 map[*processtest.Service][]*processtest.Target
}

func deploy(t *testing.T, controls int) *deployment {
	t.Helper()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(controls)
	d.lodgement = d.NewService("lodgement")
	d.certificates = d.NewService("certificates")
	d.Patch(d.lodgement.Put(), d.certificates.Put())
	d.entries = append(d.entries, d.StartEntry(), d.StartEntry())
	d.targets = make(map[*processtest.Service][]*processtest.Target)
	for _, s := range d.services() {
		for _, name := range []string{"a", "b"} {
			d.targets[s] = append(d.targets[s], s.StartTarget(name))
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

// checkEchoes opens a flow to each service and expects whole answers of the
// right one.
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

func TestEveryDatagramOverAnyEntryHost(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	for i := range 5 {
		d.checkEchoes(t, fmt.Sprint("calm ", i), 3)
	}
	for _, s := range d.services() {
		s.Fabric.SetFaults(faultproxy.ToHost, lossy)
		s.Fabric.SetFaults(faultproxy.ToCaller, lossy)
	}
	for i := range 5 {
		d.checkEchoes(t, fmt.Sprint("lossy ", i), 3)
	}
	watch.Advance()
	for _, s := range d.services() {
		for _, e := range d.entries {
			is.True(s.Fabric.Counts(e.Public(s), faultproxy.ToHost).Delivered > 0)
		}
	}
}

func TestGarbageDisturbsNothing(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	for i := range 3 {
		d.Garbage(d.all()...)
		d.checkEchoes(t, fmt.Sprint("garbage ", i), 2)
	}
	watch.Advance()
	d.Patch(d.lodgement.Put()) // the control host still works
	for _, p := range d.processes() {
		is.True(p.Running())
	}
}

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

func TestRefusalsAreTheDocumentedOnes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)

	// A caller of a service that does not stand behind the address learns it
	// from the certificate, before it sends anything.
	stranger := d.lodgement.NewCallerAs("unknown")
	_, err := stranger.Do(t.Context(), http.MethodGet, "/echo?text=x", nil, nil)
	var hostname x509.HostnameError
	is.True(errors.As(err, &hostname))

	caller := d.lodgement.NewCaller()
	oversized := make([]byte, 1<<20+1)
	answer := caller.MustDo(http.MethodPost, processtest.RunPath(0), processtest.KeyHeader("oversized"), oversized)
	is.Equal(answer.Status, http.StatusRequestEntityTooLarge)
	is.Equal(answer.Outcome, processtest.OutcomeNotRun)
	is.Equal(answer.Reason, "request-too-large")
	for _, target := range d.targets[d.lodgement] {
		is.Equal(target.Runs("oversized"), 0)
	}
	checkEcho(t, d.lodgement, caller, "the connection goes on")
}
