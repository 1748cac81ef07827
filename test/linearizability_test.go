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

// deployRelayed is control hosts behind relays with two entry hosts that
// follow the configuration.
func deployRelayed(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartRelayedControls(3)
	d.lodgement = d.NewService("lodgement")
	is.New(t).Equal(d.Patch(d.lodgement.Put()), uint64(1)) // named patch-1
	d.entries = append(d.entries, d.StartEntry(), d.StartEntry())
	return d
}

// withAgent adds an agent, which follows the configuration too.
func (d *deployment) withAgent() *deployment {
	target := d.lodgement.StartTarget("a")
	d.targets = map[*processtest.Service][]*processtest.Target{d.lodgement: {target}}
	return d
}

// checkSubscribers expects that the newest version comes into force on all entry
// hosts and agents, and that none of them has gone back on the way.
func (d *deployment) checkSubscribers(t *testing.T, newest uint64) {
	t.Helper()
	names := d.entryNames()
	var followers []*processtest.Process
	for _, e := range d.entries {
		followers = append(followers, e.Process)
	}
	for _, target := range d.targets[d.lodgement] {
		names = append(names, target.Name)
		followers = append(followers, target.Agent)
	}
	d.InForce(newest, names...)
	for _, p := range followers {
		checkMonotonic(t, p.ActedOn(), newest)
	}
}

// controlFault is something that befalls control hosts. It returns what undoes it.
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

func cutPeerLinks(host *processtest.Control, ways ...faultproxy.Direction) func() {
	for _, way := range ways {
		host.Peers.SetFaults(way, faultproxy.Faults{Cut: true})
	}
	return host.Peers.Heal
}

var controlFaults = []controlFault{
	{"leader killed", func(d *deployment, _ *rand.Rand) func() { return killHost(d.Leader()) }},
	{"host killed", func(d *deployment, r *rand.Rand) func() { return killHost(d.anyControl(r)) }},
	{"leader frozen", func(d *deployment, _ *rand.Rand) func() { return freezeHost(d.Leader()) }},
	{"leader hears nothing", func(d *deployment, _ *rand.Rand) func() {
		return cutPeerLinks(d.Leader(), faultproxy.ToHost)
	}},
	{"answers of a host are lost", func(d *deployment, r *rand.Rand) func() {
		return cutPeerLinks(d.anyControl(r), faultproxy.ToCaller)
	}},
	{"leader cut off", func(d *deployment, _ *rand.Rand) func() {
		return cutPeerLinks(d.Leader(), faultproxy.ToHost, faultproxy.ToCaller)
	}},
}

// TestHistoryIsLinearizable lets six operators submit, resend, show and read at
// all control hosts while hosts are killed, frozen and cut off one way or both,
// in each round at a moment drawn from the seed. Most patches also meet a fault
// on the operator's own path: the answer is cut after the patch took effect, the
// request is lost, delayed or doubled. One order of all calls has to explain
// every answer, a resend has to be told the first outcome, and no entry host's
// or agent's version may go back.
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

// runRound lets the operators work, brings trouble after a number of calls
// drawn by chance and undoes it after they have ended.
func (d *deployment) runRound(t *testing.T, history *recorder, operators []*testOperator, what controlFault, random *rand.Rand) {
	t.Helper()
	const calls = 20
	before := history.finishedCalls()
	start := before + random.IntN(calls*len(operators)/3)
	var work conc.WaitGroup
	for _, o := range operators {
		work.Go(func() { o.work(calls) })
	}
	processtest.Eventually(t, "operators work", func() bool { return history.finishedCalls() >= start })
	undo := what.inject(d, random)
	t.Logf("%s after %d calls", what.name, history.finishedCalls()-before)
	work.Wait()
	undo()
}

// checkMonotonic expects rising versions that end with the newest one.
func checkMonotonic(t *testing.T, versions []uint64, newest uint64) {
	t.Helper()
	is := is.New(t)
	is.True(slices.IsSorted(versions))
	is.True(len(versions) > 0)
	is.Equal(versions[len(versions)-1], newest)
}
