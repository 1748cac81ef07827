package test

import (
	"crypto/x509"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// lossy are path faults under which every flow still makes progress.
var lossy = faultproxy.Faults{
	Drop:         0.02,
	Duplicate:    0.05,
	Delay:        2 * time.Millisecond,
	Reorder:      0.05,
	ReorderDelay: 10 * time.Millisecond,
}

func TestFlowsOverLossyPaths(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	for i := range 5 {
		d.checkEchoes(t, fmt.Sprint("no faults ", i), 3)
	}
	for _, s := range d.services() {
		s.Fabric.SetFaults(faultproxy.ToHost, lossy)
		s.Fabric.SetFaults(faultproxy.ToCaller, lossy)
	}
	for i := range 5 {
		d.checkEchoes(t, fmt.Sprint("lossy ", i), 3)
	}
	watch.WaitEvents()
	for _, s := range d.services() {
		for _, e := range d.entries {
			is.True(s.Fabric.Counts(e.PublicAddress(s), faultproxy.ToHost).Delivered > 0)
		}
	}
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	watch := d.lodgement.NewCaller().Watch()
	for i := range 3 {
		d.SendGarbage(d.all()...)
		d.checkEchoes(t, fmt.Sprint("invalid datagrams ", i), 2)
	}
	watch.WaitEvents()
	d.Patch(d.lodgement.PutSection()) // the control host still works
	for _, e := range d.entries {
		processtest.Eventually(t, e.Host+" counts refusals", func() bool { return e.CounterSum("entry_refused") > 0 })
	}
	for _, host := range d.controls {
		for _, counter := range []string{"link_server_refused_datagrams", "operator_refused_handshakes"} {
			processtest.Eventually(t, host.Name+" counts refusals", func() bool { return host.CounterSum(counter) > 0 })
		}
	}
	for _, target := range d.all() {
		processtest.Eventually(t, target.Name+" counts refusals", func() bool {
			return target.Agent.CounterSum("frames_refused") > 0
		})
	}
	for _, p := range d.processes() {
		is.True(p.Running())
	}
}

func TestDocumentedRefusals(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)

	// A caller that expects another service fails at the certificate, before it sends
	// a request.
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
		is.Equal(target.RunCount("oversized"), 0)
	}
	checkEcho(t, d.lodgement, caller, "the connection goes on")
}
