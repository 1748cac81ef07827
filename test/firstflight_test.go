package test

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// TestSplitClientHelloWithDifferentTargetViews sends the datagrams of each ClientHello
// alternately to two entry hosts that know no target in common. Exactly one target
// serves each caller, and no other opens a connection for it.
func TestSplitClientHelloWithDifferentTargetViews(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const callers, delay = 60, 10 * time.Millisecond // the first flight is sent before a Retry arrives
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(1)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.PutSection())
	link := d.controls[0].Relay()
	d.entries = append(d.entries, d.StartEntry())
	isolated := d.StartEntry(link.Addr())
	var targets []*processtest.Target
	for _, name := range []string{"a", "b"} {
		targets = append(targets, d.lodgement.StartTarget(name, link.Addr()))
	}
	processtest.Eventually(t, "the targets on the second entry host", func() bool { return isolated.Candidates() == 2 })
	link.Cut()
	for _, name := range []string{"c", "d"} {
		targets = append(targets, d.lodgement.StartTarget(name))
	}
	processtest.Eventually(t, "the leases of the first two expire", func() bool { return d.controls[0].Status().Targets == 2 })
	for _, target := range targets {
		d.callerOf(t, target) // takes flows and keeps this one open
	}
	d.waitCandidates(t, 2)
	is.Equal(isolated.Candidates(), 2)

	fabric := d.lodgement.Fabric
	fabric.UseRoundRobin()
	fabric.SetFaults(faultproxy.ToHost, faultproxy.Faults{Delay: delay, Drop: 0.03, Duplicate: 0.2})
	fabric.SetFaults(faultproxy.ToCaller, faultproxy.Faults{Delay: delay, Drop: 0.05})
	before := d.openedConnections(t, targets)
	served := d.countServed(t, callers)
	for i, now := range d.openedConnections(t, targets) {
		t.Logf("%s: %v connections opened, %d callers served", targets[i].Name, now-before[i], served[targets[i].Name])
		is.Equal(int(now-before[i]), served[targets[i].Name])
	}
	is.True(served[targets[0].Name]+served[targets[1].Name] > 0) // through one entry host
	is.True(served[targets[2].Name]+served[targets[3].Name] > 0) // through the other one
}

// countServed opens flows concurrently, expects a complete response on each and
// returns the number that each target serves.
func (d *deployment) countServed(t *testing.T, callers int) map[string]int {
	t.Helper()
	is := is.New(t)
	answers, errs := make([]*processtest.Response, callers), make([]error, callers)
	all := pool.New().WithMaxGoroutines(slots) // a single target refuses more
	for i := range callers {
		caller := d.lodgement.NewCaller()
		all.Go(func() {
			path := "/echo?text=" + url.QueryEscape(echoText(i))
			answers[i], errs[i] = caller.Do(context.Background(), http.MethodGet, path, nil, nil)
		})
	}
	all.Wait()
	is.NoErr(errors.Join(errs...))
	served := make(map[string]int)
	for i, answer := range answers {
		is.Equal(answer.Reason, "") // not refused
		is.Equal(answer.Status, http.StatusOK)
		is.Equal(string(answer.Body), echoText(i))
		name, _, _ := strings.Cut(answer.Target, "/")
		served[name]++
	}
	return served
}

func echoText(i int) string { return strings.Repeat(fmt.Sprintf("caller %d;", i), 100) }

// openedConnections returns how many caller connections each target has opened, from
// metrics reported after the call. All targets have open flows whose packets are
// counted.
func (d *deployment) openedConnections(t *testing.T, targets []*processtest.Target) []float64 {
	t.Helper()
	frames := func(target *processtest.Target) float64 { return target.Agent.MetricValue("frames_received", "", "") }
	var all []float64
	for _, target := range targets {
		old := frames(target)
		processtest.Eventually(t, "new metrics of "+target.Name, func() bool { return frames(target) > old })
		all = append(all, target.Agent.MetricValue("connections_begun", "", ""))
	}
	return all
}
