package test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// deployRelayed starts control hosts behind relays and two entry hosts.
func deployRelayed(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartRelayedControls(3)
	d.lodgement = d.NewService("lodgement")
	is.New(t).Equal(d.Patch(d.lodgement.PutSection()), uint64(1)) // named patch-1
	d.entries = append(d.entries, d.StartEntry(), d.StartEntry())
	return d
}

// withAgent adds a target, whose agent subscribes too.
func (d *deployment) withAgent() *deployment {
	target := d.lodgement.StartTarget("a")
	d.targets = map[*processtest.Service][]*processtest.Target{d.lodgement: {target}}
	return d
}

// checkSubscribers expects that all entry hosts and agents activate the newest version
// and that none of them ever went back.
func (d *deployment) checkSubscribers(t *testing.T, newest uint64) {
	t.Helper()
	names := d.entryNames()
	var processes []*processtest.Process
	for _, e := range d.entries {
		processes = append(processes, e.Process)
	}
	for _, target := range d.targets[d.lodgement] {
		names = append(names, target.Name)
		processes = append(processes, target.Agent)
	}
	d.WaitActive(newest, names...)
	for _, p := range processes {
		checkMonotonic(t, p.ActiveVersions(), newest)
	}
}

// controlFault is a fault of control hosts. inject returns the function that ends it.
type controlFault struct {
	name   string
	inject func(*deployment, *rand.Rand) (undo func())
}

func (d *deployment) anyControl(random *rand.Rand) *processtest.Control {
	return d.controls[random.IntN(len(d.controls))]
}

func killHost(host *processtest.Control) func() {
	host.Kill()
	return func() {
		host.Launch()
		host.WaitReady()
	}
}

func freezeHost(host *processtest.Control) func() {
	host.Freeze()
	return host.Thaw
}

func cutPeerLinks(host *processtest.Control, directions ...faultproxy.Direction) func() {
	for _, direction := range directions {
		host.PeerRelay.SetFaults(direction, faultproxy.Faults{Cut: true})
	}
	return host.PeerRelay.Heal
}

var controlFaults = []controlFault{
	{"leader killed", func(d *deployment, _ *rand.Rand) func() { return killHost(d.Leader()) }},
	{"host killed", func(d *deployment, r *rand.Rand) func() { return killHost(d.anyControl(r)) }},
	{"leader frozen", func(d *deployment, _ *rand.Rand) func() { return freezeHost(d.Leader()) }},
	{"leader receives nothing", func(d *deployment, _ *rand.Rand) func() {
		return cutPeerLinks(d.Leader(), faultproxy.ToHost)
	}},
	{"replies of a host are lost", func(d *deployment, r *rand.Rand) func() {
		return cutPeerLinks(d.anyControl(r), faultproxy.ToCaller)
	}},
	{"leader cut off", func(d *deployment, _ *rand.Rand) func() {
		return cutPeerLinks(d.Leader(), faultproxy.ToHost, faultproxy.ToCaller)
	}},
}

// TestHistoryIsLinearizable runs concurrent operators while hosts and operator
// connections fail at seeded random moments. All replies must be linearizable, a
// resend must get the first outcome, and no subscriber's version may go back.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			d := deployRelayed(t).withAgent()
			history := &recorder{start: time.Now(), newest: 1}
			operators := d.newOperators(t, history, seed)
			random := rand.New(rand.NewPCG(seed, 0))
			order := random.Perm(len(controlFaults))
			for _, i := range order {
				d.runRound(t, history, operators, controlFaults[i], random)
			}
			history.check(t, newModel(1, "patch-1"))
			d.checkSubscribers(t, history.newestVersion())
		})
	}
}

func (d *deployment) newOperators(t *testing.T, history *recorder, seed uint64) []*testOperator {
	t.Helper()
	const count = 6
	var all []*testOperator
	for i := range count {
		all = append(all, &testOperator{
			t: t, number: i, recorder: history, paths: d.operatorPaths(), service: d.lodgement,
			random: rand.New(rand.NewPCG(seed, uint64(i+1))),
		})
	}
	return all
}

// runRound starts the operators, injects the fault after a random number of calls and
// ends it once they have finished.
func (d *deployment) runRound(t *testing.T, history *recorder, operators []*testOperator, fault controlFault, random *rand.Rand) {
	t.Helper()
	const calls = 20
	before := history.finishedCalls()
	start := before + random.IntN(calls*len(operators)/3)
	var work conc.WaitGroup
	for _, o := range operators {
		work.Go(func() { o.work(calls) })
	}
	processtest.Eventually(t, "operators work", func() bool { return history.finishedCalls() >= start })
	undo := fault.inject(d, random)
	t.Logf("%s after %d calls", fault.name, history.finishedCalls()-before)
	work.Wait()
	undo()
}

// checkMonotonic expects ascending versions that end with the newest one.
func checkMonotonic(t *testing.T, versions []uint64, newest uint64) {
	t.Helper()
	is := is.New(t)
	is.True(slices.IsSorted(versions))
	is.True(len(versions) > 0)
	is.Equal(versions[len(versions)-1], newest)
}
