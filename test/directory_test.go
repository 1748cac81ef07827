package test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// subscribedControl returns the running control host that serves a subscriber, or nil.
func (d *deployment) subscribedControl(name string) *processtest.Control {
	for _, host := range d.controls {
		if !host.Running() {
			continue
		}
		if slices.ContainsFunc(host.Status().Subscribers, func(s operator.SubscriberStatus) bool { return s.Name == name }) {
			return host
		}
	}
	return nil
}

// TestReconnectSendsDirectoryDifferences kills the control host of an entry host that
// knows hundreds of targets. The next control host sends only the differences, not the
// whole directory.
func TestReconnectSendsDirectoryDifferences(t *testing.T) {
	is := is.New(t)
	const standIns = 300
	d := deploy(t, 3)
	d.lodgement.AnnounceFakeTargets(standIns)
	entry := d.StartEntry()
	known := func(targets int) func() bool {
		return func() bool { return entry.MetricValue("subscriber_targets", "", "") == float64(targets) }
	}
	total := standIns + len(d.all())
	received := func() float64 { return entry.CounterSum("subscriber_directory_records") }
	processtest.Eventually(t, "the directory at the entry host", known(total))

	lost := d.subscribedControl(entry.Host)
	lost.Kill()
	processtest.Eventually(t, "another control host", func() bool { return d.subscribedControl(entry.Host) != nil })
	d.lodgement.AnnounceFakeTargets(1)
	processtest.Eventually(t, "a newly announced target", known(total+1))
	processtest.Eventually(t, "its record is counted", func() bool { return received() > float64(total) })
	t.Logf("%v records received, %d targets", received(), total)
	is.True(received() < 1.25*float64(total)) // a second full directory would double it
}

// TestEntryHostLimitedToFailureDomains restricts an entry host to the failure domains
// of two targets. Established flows keep their targets through that host; new flows
// use only the targets inside.
func TestEntryHostLimitedToFailureDomains(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	type flow struct {
		service *processtest.Service
		caller  *processtest.Caller
		target  string
	}
	var flows []flow
	for _, s := range d.services() {
		reached := map[string]bool{}
		processtest.Eventually(t, "a flow to each target of "+s.Name, func() bool {
			caller := s.NewCaller()
			answer := caller.Echo("begins")
			flows = append(flows, flow{s, caller, answer.Target})
			reached[answer.Target] = true
			return len(reached) == len(d.targets[s])
		})
	}

	entry := d.entries[0]
	// Each target has a failure domain of its own name.
	inside := []*processtest.Target{d.targets[d.lodgement][0], d.targets[d.certificates][0]}
	entry.RestartWithDomains(inside[0].Name, inside[1].Name)
	processtest.Eventually(t, "the targets in the failure domains", func() bool {
		return entry.MetricValue("subscriber_targets", "", "") == float64(len(inside))
	})
	d.entries[1].RemoveFromFabric()
	for _, f := range flows {
		answer := f.caller.Echo("goes on")
		is.Equal(answer.Outcome, processtest.OutcomeAnswered)
		is.Equal(answer.Target, f.target)
	}
	for i, s := range d.services() {
		for range 10 {
			answer := s.NewCaller().Echo("new")
			is.Equal(answer.Outcome, processtest.OutcomeAnswered)
			is.True(inside[i].Served(answer))
		}
	}
}

// TestSubscribersAreRebalanced restarts all control hosts but one. Subscribers move
// back to the restarted hosts.
func TestSubscribersAreRebalanced(t *testing.T) {
	const subscribers = 24
	d := deploy(t, 3)
	d.StartSubscribers(subscribers)
	all := subscribers + len(d.entries) + len(d.all())
	kept, others := d.controls[0], d.controls[1:]
	for _, host := range others {
		host.Kill()
	}
	processtest.Eventually(t, "all subscribers at one host", func() bool { return len(kept.Status().Subscribers) == all })
	for _, host := range others {
		host.Launch()
		host.WaitReady()
	}
	// The rebalancer tolerates a quarter plus eight above the mean, see
	// membership.Rebalancer.
	share := all*5/4/len(d.controls) + 8
	processtest.Eventually(t, "a balanced number at each host", func() bool {
		sum := 0
		for _, host := range d.controls {
			n := len(host.Status().Subscribers)
			if n > share {
				return false
			}
			sum += n
		}
		return sum == all
	})
	d.WaitActive(d.Patch(d.lodgement.PutSection()), d.entryNames()...)
}
