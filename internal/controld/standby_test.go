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
)

// standing is a deployment of hosts that keep their log, d1 and on, and of hosts that do
// not and stand by, s1 and on. seeds names the hosts that all of them are given.
func standing(t *testing.T, keeping, without int, seeds ...string) *deployment {
	t.Helper()
	return standingWith(t, 0, keeping, without, seeds...)
}

func standingWith(t *testing.T, maxLinks uint32, keeping, without int, seeds ...string) *deployment {
	t.Helper()
	var names []string
	transient := map[string]bool{}
	for i := range keeping {
		names = append(names, fmt.Sprintf("d%d", i+1))
	}
	for i := range without {
		name := fmt.Sprintf("s%d", i+1)
		names = append(names, name)
		transient[name] = true
	}
	d := newDeployment(t, names...)
	d.goneAfterMs = 30_000
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
			var standsBy *controld.StandbyError
			_, _, err := d.hosts[name].daemon.RouteTableDocument(testContext(d.t))
			return errors.As(err, &standsBy) && standsBy.ServingAddress != ""
		})
	}
}

// Hosts that keep no log stand by, whichever hosts are the seeds: the group has the
// others as members, and a host that stands by names one that serves.
func TestHostsWithoutALogStandBy(t *testing.T) {
	for name, seeds := range map[string][]string{
		"seeds keep their log":      {"d1", "d2", "d3"},
		"one seed keeps its log":    {"d2", "s1", "s2"},
		"no seed keeps its log":     {"s1", "s2", "s3"},
		"one seed, and it has none": {"s2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := standing(t, 3, 3, seeds...)
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

// A host that stands by has one link, to a host that serves, however many hosts there are.
func TestStandbyKeepsOneLink(t *testing.T) {
	is := is.New(t)
	const without = 12
	d := standing(t, 3, without, "s1", "d1", "d2")
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
	eventually(t, "links to settle", func() bool { return serving() <= mesh+without })
	is.True(serving() >= without)
	for _, name := range standbys[1:] {
		is.Equal(d.hosts[name].daemon.Links(), 0) // none was a seed
	}
}

// A subscriber that knows hosts that stand by alone gets its version all the same, and
// learns which hosts serve.
func TestStandbySendsSubscribersToHostsThatServe(t *testing.T) {
	is := is.New(t)
	d := standing(t, 3, 2, "d1", "d2", "d3")
	d.awaitVoters("d1", 3, "d3", true)
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.awaitStandby("s1", "s2")
	c := d.link(keys.RoleEntry, "e1", "", "s1", "s2")
	var hosts []string
	eventually(t, "a move", func() bool {
		w := d.subscribe(c, &controlpb.Subscribe{})
		u := w.await("hosts that serve", func(u *controlpb.SubscribeUpdate) bool { return u.GetHosts() != nil })
		hosts = u.GetHosts().GetAddresses()
		return u.GetMove() != nil
	})
	is.Equal(len(hosts), 3)
	c.SetLearnedAddresses(hosts)
	c.Move(hosts[0])
	eventually(t, "the link to a host that serves", func() bool { return c.Address() == hosts[0] })
	d.subscribe(c, &controlpb.Subscribe{}).awaitVersion(1)
}

// Requests of agents are refused: nothing was done, and their link goes to a host that
// serves them.
func TestStandbySendsAgentsToHostsThatServe(t *testing.T) {
	is := is.New(t)
	d := standing(t, 1, 1, "d1")
	d.awaitStandby("s1")
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "s1")
	fault := link.ResponseError(call(t, agent, registerRequest("lodgement", "t1", "x")))
	is.True(fault != nil)
	is.Equal(d.hosts["s1"].refusals("stands_by"), int64(1))
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	registered(t, agent, "t1") // the link has gone to the host that serves
}

// Once the members have more subscribers than they are to serve, a host that stands by
// becomes one of them, one at a time.
func TestStandbyStepsIn(t *testing.T) {
	const (
		maxLinks = 4
		// Two subscribers a host, for three hosts, and one more.
		subscribers = 7
	)
	d := standingWith(t, maxLinks, 3, 2, "d1", "d2", "d3")
	d.awaitVoters("d1", 3, "d3", true)
	d.accept(d.operator("d1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.awaitStandby("s1", "s2")
	c := d.link(keys.RoleEntry, "e1", "", d.leader())
	for range subscribers {
		d.subscribe(c, &controlpb.Subscribe{})
	}
	eventually(t, "one of them to serve", func() bool {
		return d.status("s1").Version == 1 || d.status("s2").Version == 1
	})
	eventually(t, "one more member", func() bool { return len(d.status("d1").Groups[0].Members) == 4 })
}

// A host that keeps its log has to vote, so that it may not be told to stand by.
func TestOnlyHostsWithoutALogMayStandBy(t *testing.T) {
	for name, r := range map[string]*settingspb.Replica{
		"keeps its log":       {StandBy: true, AutomaticMembers: true},
		"members by operator": {StandBy: true, Transient: true},
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
