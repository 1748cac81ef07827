package controld_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// foundingSettings lets the hosts found their groups without an operator and keep lost members for
// long.
func foundingSettings(d *deployment) { d.removeAfterMs = 30_000 }

// Guards against a deployment that never gets a group since one initial voter is lost for good at
// the first start, at whichever moment. It comes back later with its disk: there is one group.
func TestGroupIsFoundedWithoutLostVoter(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	for _, lost := range []string{"c1", "c2", "c3"} {
		for range 3 {
			after := time.Duration(random.IntN(500)) * time.Millisecond
			t.Run(fmt.Sprintf("%s after %s", lost, after), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := newDeployment(t, "c1", "c2", "c3")
				foundingSettings(d)
				d.startAll("c1", "c2", "c3")
				time.Sleep(after)
				data := d.stop(lost).data
				var rest []string
				for _, name := range []string{"c1", "c2", "c3"} {
					if name != lost {
						rest = append(rest, name)
					}
				}
				d.accept(d.operator(rest...), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
				d.start(lost, data, false)
				for _, name := range []string{"c1", "c2", "c3"} {
					d.awaitVoters(name, 3, lost, true)
					eventually(t, "the version on the host", func() bool { return d.status(name).Version == 1 })
				}
				names, _ := d.votersSeenBy(lost)
				is.Equal(names, map[string]bool{"c1": true, "c2": true, "c3": true})
			})
		}
	}
}

// Guards against a group of a minority: one of three initial voters founds nothing, and says so in
// its log. With a second one the group is founded.
func TestMinorityFoundsNothing(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	foundingSettings(d)
	d.start("c2", "", false)
	time.Sleep(4 * time.Second) // longer than the others are waited for
	names, hasLeader := d.votersSeenBy("c2")
	is.Equal(len(names), 0)
	is.True(!hasLeader)
	d.start("c3", "", false)
	d.accept(d.operator("c2", "c3"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.start("c1", "", false)
	d.awaitVoters("c1", 3, "c1", true)
}
