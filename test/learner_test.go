package test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// deployBehindLearner has three voters and a learner. The entry host and the
// agents know the learner only.
func deployBehindLearner(t *testing.T) (*deployment, *processtest.Control) {
	t.Helper()
	t.Parallel()
	d := &deployment{Cluster: processtest.New(t), targets: make(map[*processtest.Service][]*processtest.Target)}
	d.controls = d.StartControls(3)
	d.lodgement = d.NewService("lodgement")
	d.Patch(d.lodgement.Put())
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

// checkLearnerServes makes a version through the learner alone, which all that know
// only the learner act on, and lets a key run once.
func (d *deployment) checkLearnerServes(t *testing.T, learner *processtest.Control, base uint64) {
	t.Helper()
	is := is.New(t)
	id := fmt.Sprint("through-the-learner-", base)
	var o processtest.Outcome
	processtest.Eventually(t, id+" is accepted", func() bool {
		o = d.Submit(base, id, []string{d.lodgement.Put()}, learner.Operator)
		return o.Verdict == processtest.Accepted
	})
	is.Equal(o.Version, base+1)
	is.Equal(d.Show(id, learner.Operator).Version, base+1)
	d.waitVersion(t, learner, base+1)
	d.InForce(base+1, d.subscribers()...)
	is.Equal(len(learner.Status().Subscribers), len(d.subscribers())) // all of them here
	d.checkRunsOnce(t, d.lodgement.NewCaller(), id)
}

// TestLearnerServesSubscribers lets an entry host and agents live by a learner
// alone, through its planned restart, its loss, and the loss of all voters: then
// it says that it can't know, and what it knew goes on.
func TestLearnerServesSubscribers(t *testing.T) {
	is := is.New(t)
	d, learner := deployBehindLearner(t)
	targets := d.targets[d.lodgement]
	caller, watch := d.callerOf(t, targets[0]), d.callerOf(t, targets[1]).Watch()
	d.checkLearnerServes(t, learner, 1)
	for _, voter := range d.controls {
		is.Equal(voter.Status().Targets, 3) // what was announced to the learner
		is.Equal(len(voter.Status().Subscribers), 0)
	}
	learner.Terminate()
	learner.WaitExit()
	learner.Launch()
	d.checkLearnerServes(t, learner, 2)
	learner.Kill()
	learner.Launch()
	d.checkLearnerServes(t, learner, 3)
	watch.Advance()

	for _, voter := range d.controls {
		voter.Kill()
	}
	processtest.Eventually(t, "the learner knows that no host leads", func() bool {
		return learner.Status().Groups[0].State == "no leader"
	})
	d.checkLearnerWithoutQuorum(t, learner)
	// It goes on telling of targets: one that dies leaves when its lease ends, and
	// by then the others have renewed theirs.
	lost := targets[2]
	lost.Agent.Kill()
	d.waitCandidates(t, 2)
	is.Equal(learner.Status().Targets, 2)
	for i := range 30 {
		answer := d.lodgement.NewCaller().Echo(fmt.Sprint("new ", i))
		is.Equal(answer.Outcome, processtest.OutcomeAnswered)
		is.True(!lost.Answered(answer))
	}
	is.True(targets[0].Answered(caller.Echo("established")))
	watch.Advance()
	is.Equal(d.entries[0].ActedOn(), []uint64{1, 2, 3, 4})
}

// checkLearnerWithoutQuorum expects that the learner refuses what needs a quorum,
// each time as it has no leader: a call that waited to its end would be told so.
func (d *deployment) checkLearnerWithoutQuorum(t *testing.T, learner *processtest.Control) {
	t.Helper()
	is := is.New(t)
	const noLeader = "no leader: not done"
	patch := d.Operate(d.SubmitArgs(4, "alone", d.lodgement.Put()), learner.Operator)
	is.Equal(patch.Status, 1)
	is.True(strings.Contains(patch.Stderr, noLeader))
	outcome := d.Operate([]string{"patch", "show", "alone"}, learner.Operator)
	is.Equal(outcome.Status, 4) // not known
	is.True(strings.Contains(outcome.Stdout+outcome.Stderr, noLeader))
	held := d.Operate([]string{"config", "show"}, learner.Operator)
	is.Equal(held.Status, 0)
	is.True(strings.Contains(held.Stdout, "# version 4\n# no quorum confirmed"))
	answer, err := runKey(d.lodgement.NewCaller(), "alone")
	is.NoErr(err)
	checkUnknownWithRetryAfter(t, answer)
	is.Equal(answer.Reason, "grant-unavailable")
	is.Equal(d.runs("alone"), 0)
}

// TestFullControlHostsRedirectSubscribers has entry hosts and agents for two of three
// full control hosts. None stays without a place, also when one host is lost; then
// one more is refused by both with a counted reason, and served when the lost one
// is back.
func TestFullControlHostsRedirectSubscribers(t *testing.T) {
	const links = 3
	d := deployOn(t, processtest.TargetOptions{}, func(c *processtest.Cluster) []*processtest.Control {
		return c.StartBoundedControls(3, links)
	})
	// served waits until each has a place and acts on a new version.
	served := func(names []string) {
		t.Helper()
		version := d.Patch(d.lodgement.Put())
		d.InForce(version, names...)
		processtest.Eventually(t, "each at one host", func() bool { return d.links(t, links) == len(names) })
		d.checkEchoes(t, fmt.Sprint("version ", version), 1)
	}
	all := d.subscribers()
	is.New(t).Equal(len(all), 2*links)
	served(all)
	lost := d.controls[0]
	lost.Kill()
	served(all)
	late := d.LaunchEntry()
	for _, host := range lost.Others() {
		processtest.Eventually(t, host.Name+" refuses it", func() bool {
			return host.Reading("control_link_server_refused_connections", "reason", "capacity") > 0
		})
	}
	is.New(t).Equal(late.Logged("ready"), 0)
	served(all) // they keep their places
	lost.Launch()
	lost.WaitReady()
	late.WaitReady()
	late.Join()
	served(append(all, late.Host))
}

// links returns how many subscribers the running control hosts have, of which
// none may have more than its bound.
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
