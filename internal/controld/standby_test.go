package controld_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// newStandbyDeployment starts durable hosts d1, d2 and so on, and transient hosts s1, s2
// and so on in standby mode. seeds are the initial voters of all hosts.
func newStandbyDeployment(t *testing.T, durable, transient int, seeds ...string) *deployment {
	t.Helper()
	return newStandbyDeploymentWithLinks(t, 0, durable, transient, seeds...)
}

func newStandbyDeploymentWithLinks(t *testing.T, maxLinks uint32, durable, transientCount int, seeds ...string) *deployment {
	t.Helper()
	var names []string
	transient := map[string]bool{}
	for i := range durable {
		names = append(names, fmt.Sprintf("d%d", i+1))
	}
	for i := range transientCount {
		name := fmt.Sprintf("s%d", i+1)
		names = append(names, name)
		transient[name] = true
	}
	d := newDeployment(t, names...)
	d.removeAfterMs = 30_000
	d.maxLinks = maxLinks
	d.transient, d.standBy = transient, true
	d.voters = nil
	for _, seed := range seeds {
		d.voters = append(d.voters, seed+"="+d.address[seed])
	}
	for _, name := range names {
		d.start(name, "", !slices.Contains(seeds, name))
	}
	return d
}

func (d *deployment) awaitStandby(names ...string) {
	d.t.Helper()
	for _, name := range names {
		eventually(d.t, name+" to stand by", func() bool {
			var standbyErr *controld.StandbyError
			_, _, err := d.hosts[name].daemon.RouteTableDocument(testContext(d.t))
			return errors.As(err, &standbyErr) && standbyErr.ServingAddress != ""
		})
	}
}

// For any choice of seeds only durable hosts are members, and each transient host is a
// standby that names a serving host.
func TestTransientHostsStandBy(t *testing.T) {
	for name, seeds := range map[string][]string{
		"durable seeds":      {"d1", "d2", "d3"},
		"one durable seed":   {"d2", "s1", "s2"},
		"transient seeds":    {"s1", "s2", "s3"},
		"one transient seed": {"s2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newStandbyDeployment(t, 3, 3, seeds...)
			d.awaitVoters("d1", 3, "d1", true)
			d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
			d.awaitStandby("s1", "s2", "s3")
			members := d.status("d1").Groups[0].Members
			is.Equal(len(members), 3)
			for _, m := range members {
				is.True(!d.transient[m.Name])
			}
			is.Equal(d.status("s2").Groups[0].State, "stands by")
		})
	}
}

// A standby has a single link, to a serving host, in a deployment of any size.
func TestStandbyKeepsOneLink(t *testing.T) {
	is := is.New(t)
	const without = 12
	d := newStandbyDeployment(t, 3, without, "s1", "d1", "d2")
	var standbys []string
	for i := range without {
		standbys = append(standbys, fmt.Sprintf("s%d", i+1))
	}
	d.awaitVoters("d1", 3, "d3", true)
	d.awaitStandby(standbys...)
	serving := func() int64 {
		var all int64
		for _, name := range []string{"d1", "d2", "d3"} {
			all += int64(d.hosts[name].daemon.Links())
		}
		return all
	}
	// Each member has two links to each of the two others.
	const mesh = 3 * 2 * 2
	eventually(t, "the number of links to settle", func() bool { return serving() <= mesh+without })
	is.True(serving() >= without)
	for _, name := range standbys[1:] {
		is.Equal(d.hosts[name].daemon.Links(), 0) // none was a seed
	}
}

// A host that is not needed must not become a learner where the groups have different leaders: a
// leader of grants that does not know whether it is needed would send it the log for good.
func TestStandbyJoinsNoGroupOfAnotherLeader(t *testing.T) {
	is := is.New(t)
	durable := []string{"d1", "d2", "d3"}
	d := newDeployment(t, append(slices.Clone(durable), "s1")...)
	d.removeAfterMs = 30_000
	d.grantGroups = 3
	d.transient, d.standBy = map[string]bool{}, true
	d.voters = d.voters[:len(durable)]
	d.startAll(durable...)
	eventually(t, "a group of grants led by each host", func() bool {
		return !slices.ContainsFunc(durable, func(name string) bool {
			return !slices.ContainsFunc(d.status(name).Groups[1:], func(g operator.GroupStatus) bool { return g.State == "leads" })
		})
	})
	const standby = "s1"
	d.transient[standby] = true
	d.start(standby, "", true)
	d.awaitStandby(standby)
	join := &controlpb.Request{Body: &controlpb.Request_Join{Join: &controlpb.Join{
		Address: d.address[standby], Transient: true, StandBy: true,
	}}}
	for _, name := range durable {
		hosts := call(t, d.link(keys.RoleControl, standby, "", name), join).GetStandBy().GetAddresses()
		is.Equal(len(hosts), len(durable)) // it is told who serves
	}
	for _, name := range durable {
		for _, g := range d.status(name).Groups {
			is.Equal(len(g.Members), len(durable)) // the standby is no member
		}
	}
	is.Equal(d.hosts[standby].daemon.Links(), 0) // no member has dialled it
}

// A subscriber that knows only standbys is redirected to the serving hosts.
func TestStandbyRedirectsSubscribers(t *testing.T) {
	is := is.New(t)
	d := newStandbyDeployment(t, 3, 2, "d1", "d2", "d3")
	d.awaitVoters("d1", 3, "d3", true)
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.awaitStandby("s1", "s2")
	c := d.link(keys.RoleEntry, "e1", "", "s1", "s2")
	var hosts []string
	eventually(t, "a move", func() bool {
		w := d.subscribe(c, &controlpb.Subscribe{})
		u := w.await("the serving hosts", func(u *controlpb.SubscribeUpdate) bool { return u.GetHosts() != nil })
		hosts = u.GetHosts().GetAddresses()
		return u.GetMove() != nil
	})
	is.Equal(len(hosts), 3)
	c.SetLearnedAddresses(hosts)
	c.Move(hosts[0])
	eventually(t, "the link to a serving host", func() bool { return c.Address() == hosts[0] })
	d.subscribe(c, &controlpb.Subscribe{}).awaitVersion(1)
}

// Requests of agents are refused and their link moves to a serving host.
func TestStandbyRedirectsAgents(t *testing.T) {
	is := is.New(t)
	d := newStandbyDeployment(t, 1, 1, "d1")
	d.awaitStandby("s1")
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "s1")
	fault := link.ResponseError(call(t, agent, registerRequest("lodgement", "t1", "x")))
	is.True(fault != nil)
	is.Equal(d.hosts["s1"].refusals("stands_by"), int64(1))
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	registerTarget(t, agent, "t1") // the link has moved to the serving host
}

// Standbys become members one at a time if the members have too many subscribers.
func TestStandbyBecomesMember(t *testing.T) {
	const (
		maxLinks = 4
		// two for each of three hosts, and one more
		subscribers = 7
	)
	d := newStandbyDeploymentWithLinks(t, maxLinks, 3, 2, "d1", "d2", "d3")
	d.awaitVoters("d1", 3, "d3", true)
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.awaitStandby("s1", "s2")
	c := d.link(keys.RoleEntry, "e1", "", d.leader())
	for range subscribers {
		d.subscribe(c, &controlpb.Subscribe{})
	}
	eventually(t, "one standby to serve", func() bool {
		return d.status("s1").Version == 1 || d.status("s2").Version == 1
	})
	eventually(t, "one more member", func() bool { return len(d.status("d1").Groups[0].Members) == 4 })
}

// A durable host has to vote, so standby mode is refused.
func TestOnlyTransientHostsMayStandBy(t *testing.T) {
	for name, r := range map[string]*settingspb.Replica{
		"durable":        {StandBy: true, AutomaticMembers: true},
		"manual members": {StandBy: true, Transient: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, "c1")
			s := d.settings("c1", t.TempDir(), false)
			s.Replica.StandBy, s.Replica.Transient, s.Replica.AutomaticMembers = r.GetStandBy(), r.GetTransient(), r.GetAutomaticMembers()
			_, err := controld.New(s, zap.NewNop(), tally.NoopScope)
			is.True(errors.Is(err, controld.ErrInvalidStandby))
		})
	}
}

// Subscribers move from a host that does not lead to members that its settings do not name.
func TestSubscribersMoveToJoinedMembers(t *testing.T) {
	const subscribers = 48
	hosts := []string{"d1", "d2", "d3", "d4"}
	d := newStandbyDeployment(t, len(hosts), 0, "d1")
	d.awaitVoters("d1", 4, "d4", true)
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	from := hosts[slices.IndexFunc(hosts, func(name string) bool { return name != "d1" && name != d.leader() })]
	for i := range subscribers {
		name := fmt.Sprint("e", i)
		s := subscriber.Start(subscriber.Options{Client: d.link(keys.RoleEntry, name, "", from)})
		t.Cleanup(s.Close)
	}
	// The rebalancer tolerates a quarter plus eight above the mean.
	share := subscribers/len(hosts)*5/4 + 8
	eventually(t, "a balanced number at each host", func() bool {
		sum := 0
		for _, name := range hosts {
			n := len(d.status(name).Subscribers)
			if n > share {
				return false
			}
			sum += n
		}
		return sum == subscribers
	})
}
