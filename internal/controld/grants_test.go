package controld_test

import (
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// TestNoGrantBeforeSlotTable guards against grants before a quorum has agreed on the slot
// table.
func TestNoGrantBeforeSlotTable(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	d.grantGroups = 3
	d.start("c1", "", false)
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	acquire := func() grantpb.Decision { return call(t, agent, acquireRequest(1, "k", "one")).GetGrant().GetDecision() }
	is.Equal(acquire(), grantpb.Decision_DECISION_UNSPECIFIED)
	is.Equal(d.hosts["c1"].refusals("slot_table"), int64(1))
	d.startAll("c2", "c3")
	eventually(t, "a grant", func() bool { return acquire() == grantpb.Decision_DECISION_GRANTED })
}

// TestRetentionIsSetInEachGroup sets the retention through one host. Every host reports it
// for each group, also after a restart.
func TestRetentionIsSetInEachGroup(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	d.grantGroups = 3
	d.startAll("c1", "c2", "c3")
	want := operator.Retention{Answered: 1800, Held: 2 * 86_400}
	_, err := d.operator("c1").SetRetention(testContext(t), operator.Retention{Answered: 60, Held: 86_400})
	is.True(isError(err, operator.ErrNotApplied)) // below the minimum
	eventually(t, "the retention to be set", func() bool {
		_, err := d.operator("c1", "c2", "c3").SetRetention(testContext(t), want)
		return err == nil
	})
	hasRetention := func(name string) func() bool {
		return func() bool {
			groups := d.status(name).Groups[1:]
			for _, g := range groups {
				if g.Grants.Retention != want {
					return false
				}
			}
			return len(groups) == 3
		}
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		eventually(t, name+" knows the retention", hasRetention(name))
	}
	stopped := d.stop("c2")
	d.start("c2", stopped.data, false)
	eventually(t, "c2 knows the retention again", hasRetention("c2"))
}
