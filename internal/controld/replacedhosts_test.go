package controld_test

import (
	"testing"

	"github.com/matryer/is"
)

// votersSeenBy returns the voters of the configuration group as seen by a host, and whether
// it knows a leader.
func (d *deployment) votersSeenBy(name string) (names map[string]bool, hasLeader bool) {
	names = map[string]bool{}
	group := d.status(name).Groups[0]
	for _, m := range group.Members {
		if !m.Learner {
			names[m.Name] = true
		}
	}
	return names, group.State == "follows" || group.State == "leads"
}

func (d *deployment) awaitVoters(of string, count int, name string, votes bool) {
	d.t.Helper()
	eventually(d.t, "the voters as "+of+" sees them", func() bool {
		names, hasLeader := d.votersSeenBy(of)
		return hasLeader && len(names) == count && names[name] == votes
	})
}

// TestLostHostsAreReplaced loses three of four control hosts, each after the last one was
// replaced. The configuration must survive.
func TestLostHostsAreReplaced(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2", "c3", "c4", "c5", "c6", "c7")
	d.removeAfterMs = 500
	d.voters = d.voters[:4]
	d.startAll("c1", "c2", "c3", "c4")
	d.awaitVoters("c1", 4, "c4", true)
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	for _, s := range []struct{ lost, replacement, observer string }{{"c4", "c5", "c1"}, {"c3", "c6", "c1"}, {"c2", "c7", "c1"}} {
		d.stop(s.lost)
		d.start(s.replacement, "", true)
		d.awaitVoters(s.observer, 4, s.lost, false)
	}
	d.accept(d.operator("c1"), patch("p2", 1, put("certificates", "192.0.2.2:443")))
	d.stop("c1")
	eventually(t, "the last change to be read", func() bool {
		c, confirmed, err := d.operator("c6").Config(testContext(t), 0)
		return err == nil && confirmed && c.GetVersion() == 2
	})
	is.Equal(len(d.hosts), 3)
}

// TestRemovedHostRejoins restarts a host on its data directory after it was removed from
// the group.
func TestRemovedHostRejoins(t *testing.T) {
	d := newDeployment(t, "c1", "c2", "c3", "c4")
	d.removeAfterMs = 500
	d.startAll("c1", "c2", "c3", "c4")
	d.awaitVoters("c1", 4, "c4", true)
	data := d.stop("c4").data
	d.awaitVoters("c1", 3, "c4", false)
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.start("c4", data, false)
	d.awaitVoters("c4", 4, "c4", true)
	eventually(t, "the version on the host", func() bool { return d.status("c4").Version == 1 })
}
