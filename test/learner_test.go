package test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// deployBehindLearner starts three voters and a learner. The entry host and the agents
// know only the learner.
func deployBehindLearner(t *testing.T) (*deployment, *processtest.Control) {
	t.Helper()
	t.Parallel()
	d := &deployment{Cluster: processtest.New(t), targets: make(map[*processtest.Service][]*processtest.Target)}
	d.controls = d.StartControls(3)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.PutSection())
	learner := d.StartLearner()
	d.entries = append(d.entries, d.StartEntry(learner.Link))
	for _, name := range []string{"a", "b", "c"} {
		d.targets[d.lodgement] = append(d.targets[d.lodgement], d.lodgement.StartTarget(name, learner.Link))
	}
	d.waitCandidates(t, 3)
	return d, learner
}

// subscribers returns the names of all entry hosts and agents.
func (d *deployment) subscribers() []string {
	names := d.entryNames()
	for _, s := range d.services() {
		for _, target := range d.targets[s] {
			names = append(names, target.Name)
		}
	}
	return names
}

// checkLearnerServes creates a version through the learner, waits until all its
// subscribers use it, and runs a key once.
func (d *deployment) checkLearnerServes(t *testing.T, learner *processtest.Control, base uint64) {
	t.Helper()
	is := is.New(t)
	id := fmt.Sprint("through-the-learner-", base)
	var o processtest.Outcome
	processtest.Eventually(t, id+" is accepted", func() bool {
		o = d.Submit(base, id, []string{d.lodgement.PutSection()}, learner.Operator)
		return o.Verdict == processtest.Accepted
	})
	is.Equal(o.Version, base+1)
	is.Equal(d.Show(id, learner.Operator).Version, base+1)
	d.waitVersion(t, learner, base+1)
	d.WaitActive(base+1, d.subscribers()...)
	is.Equal(len(learner.Status().Subscribers), len(d.subscribers())) // all on the learner
	d.checkRunsOnce(t, d.lodgement.NewCaller(), id)
}

// TestLearnerServesSubscribers runs an entry host and agents on a learner alone,
// through its restart, its kill and the loss of all voters. Without voters the learner
// refuses what needs a quorum, and established state keeps working.
func TestLearnerServesSubscribers(t *testing.T) {
	is := is.New(t)
	d, learner := deployBehindLearner(t)
	targets := d.targets[d.lodgement]
	caller, watch := d.callerOf(t, targets[0]), d.callerOf(t, targets[1]).Watch()
	d.checkLearnerServes(t, learner, 1)
	for _, voter := range d.controls {
		is.Equal(voter.Status().Targets, 3) // announced to the learner
		is.Equal(len(voter.Status().Subscribers), 0)
	}
	learner.Terminate()
	learner.WaitCleanExit()
	learner.Launch()
	d.checkLearnerServes(t, learner, 2)
	learner.Kill()
	learner.Launch()
	d.checkLearnerServes(t, learner, 3)
	watch.WaitEvents()

	for _, voter := range d.controls {
		voter.Kill()
	}
	processtest.Eventually(t, "the learner knows that there is no leader", func() bool {
		return learner.Status().Groups[0].State == "no leader"
	})
	d.checkLearnerWithoutQuorum(t, learner)
	// It still distributes target changes: a killed target is removed when its lease
	// expires, while the others renew theirs.
	lost := targets[2]
	lost.Agent.Kill()
	d.waitCandidates(t, 2)
	is.Equal(learner.Status().Targets, 2)
	for i := range 30 {
		answer := d.lodgement.NewCaller().Echo(fmt.Sprint("new ", i))
		is.Equal(answer.Outcome, processtest.OutcomeAnswered)
		is.True(!lost.Served(answer))
	}
	is.True(targets[0].Served(caller.Echo("established")))
	watch.WaitEvents()
	is.Equal(d.entries[0].ActiveVersions(), []uint64{1, 2, 3, 4})
}

// checkLearnerWithoutQuorum expects that the learner refuses what needs a quorum with
// "no leader". A call that only timed out would report something else.
func (d *deployment) checkLearnerWithoutQuorum(t *testing.T, learner *processtest.Control) {
	t.Helper()
	is := is.New(t)
	const noLeader = "no leader: not done"
	patch := d.RunOperator(d.SubmitArgs(4, "alone", d.lodgement.PutSection()), learner.Operator)
	is.Equal(patch.Status, 1)
	is.True(strings.Contains(patch.Stderr, noLeader))
	outcome := d.RunOperator([]string{"patch", "show", "alone"}, learner.Operator)
	is.Equal(outcome.Status, 4) // not known
	is.True(strings.Contains(outcome.Stdout+outcome.Stderr, noLeader))
	held := d.RunOperator([]string{"config", "show"}, learner.Operator)
	is.Equal(held.Status, 0)
	is.True(strings.Contains(held.Stdout, "# version 4\n# no quorum confirmed"))
	answer, err := runKey(d.lodgement.NewCaller(), "alone")
	is.NoErr(err)
	checkUnknownWithRetryAfter(t, answer)
	is.Equal(answer.Reason, "grant-unavailable")
	is.Equal(d.runs("alone"), 0)
}

// TestFullControlHostsRedirectSubscribers starts as many subscribers as two of three
// control hosts hold. All stay connected when one host is lost. Another subscriber is
// refused with a counted reason and served when the host is back.
func TestFullControlHostsRedirectSubscribers(t *testing.T) {
	const links = 3
	d := deployOn(t, processtest.TargetOptions{}, func(c *processtest.Cluster) []*processtest.Control {
		return c.StartControlsWithMaxLinks(3, links)
	})
	// waitServed waits until each subscriber is connected and uses a new version.
	waitServed := func(names []string) {
		t.Helper()
		version := d.Patch(d.lodgement.PutSection())
		d.WaitActive(version, names...)
		processtest.Eventually(t, "each subscriber is connected once", func() bool { return d.links(t, links) == len(names) })
		d.checkEchoes(t, fmt.Sprint("version ", version), 1)
	}
	all := d.subscribers()
	is.New(t).Equal(len(all), 2*links)
	waitServed(all)
	lost := d.controls[0]
	lost.Kill()
	waitServed(all)
	late := d.LaunchEntry()
	for _, host := range lost.Others() {
		processtest.Eventually(t, host.Name+" refuses it", func() bool {
			return host.MetricValue("control_link_server_refused_connections", "reason", "capacity") > 0
		})
	}
	is.New(t).Equal(late.LogCount("ready"), 0)
	waitServed(all) // they stay connected
	lost.Launch()
	lost.WaitReady()
	late.WaitReady()
	late.AddToFabric()
	waitServed(append(all, late.Host))
}

// links returns the number of subscribers on the running control hosts and checks that
// none exceeds its bound.
func (d *deployment) links(t *testing.T, bound int) int {
	t.Helper()
	sum := 0
	for _, host := range d.controls {
		if !host.Running() {
			continue
		}
		n := len(host.Status().Subscribers)
		is.New(t).True(n <= bound)
		sum += n
	}
	return sum
}
