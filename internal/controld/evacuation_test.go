package controld_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// knownDomain is the failure domain of the hosts in these tests.
const knownDomain = "bodija"

func begin(id string) *configpb.EvacuationOrder {
	return &configpb.EvacuationOrder{Id: id, FailureDomain: knownDomain}
}

func end(id string) *configpb.EvacuationOrder {
	return &configpb.EvacuationOrder{Id: id, FailureDomain: knownDomain, End: true}
}

// order sends an order until it has an outcome, since a group may have no leader yet.
func (d *deployment) order(c *operator.Client, o *configpb.EvacuationOrder) configpb.EvacuationVerdict {
	d.t.Helper()
	var out *configpb.EvacuationOutcome
	eventually(d.t, "an outcome of "+o.GetId(), func() bool {
		var err error
		out, err = c.Evacuate(testContext(d.t), o)
		return err == nil
	})
	return out.GetVerdict()
}

// evacuated reports whether a host has confirmed that knownDomain is evacuated.
func (d *deployment) evacuated(name string) bool {
	d.t.Helper()
	c := d.operator(name)
	defer c.Close()
	var version *configpb.Configuration
	eventually(d.t, "a confirmed version of "+name, func() bool {
		var confirmed bool
		var err error
		version, confirmed, err = c.Config(testContext(d.t), 0)
		return err == nil && confirmed
	})
	return config.IsEvacuated(version, knownDomain)
}

// Orders are accepted and visible on each host, are applied once, and survive a restart of
// all hosts.
func TestEvacuationIsReplicated(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	is.Equal(d.order(d.operator("c2"), begin("o1")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED)
	for _, name := range []string{"c1", "c2", "c3"} {
		is.True(d.evacuated(name))
		is.Equal(d.order(d.operator(name), begin("o1")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED) // the first outcome
		is.Equal(d.order(d.operator(name), begin("")), configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED)
		evacuations := d.status(name).Evacuations
		is.Equal(len(evacuations), 1)
		is.Equal(evacuations[0].FailureDomain, knownDomain)
		is.Equal(evacuations[0].Order, "o1")
		is.True(!evacuations[0].Since.IsZero())
	}
	data := map[string]string{}
	for _, name := range []string{"c1", "c2", "c3"} {
		data[name] = d.stop(name).data
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		d.start(name, data[name], false)
	}
	is.True(d.evacuated("c3"))

	is.Equal(d.order(d.operator("c3"), end("o2")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED)
	is.Equal(d.order(d.operator("c1"), begin("o1")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED) // a late duplicate
	for _, name := range []string{"c1", "c2", "c3"} {
		is.True(!d.evacuated(name))
	}
}

// Guards against the loss of an acknowledged order with the leader.
func TestEvacuationSurvivesLossOfLeader(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	leader := d.leader()
	is.Equal(d.order(d.operator(leader), begin("o1")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED)
	d.stop(leader)
	for _, name := range otherHosts(leader) {
		is.True(d.evacuated(name))
	}
	is.Equal(d.order(d.operator(otherHosts(leader)...), end("o2")), configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED)
}

// Entry hosts and agents, also those scoped to one service, receive each order.
func TestSubscribersReceiveEvacuations(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	watchers := []*recorder{
		d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{}),
		d.subscribe(d.link(keys.RoleAgent, "a1", "lodgement", "c1"), &controlpb.Subscribe{Services: []uint32{1}, ScopedConfig: true}),
	}
	for _, w := range watchers {
		var current *configpb.Configuration
		step := func(evacuated bool) {
			w.await("an evacuation", func(u *controlpb.SubscribeUpdate) bool {
				if u.GetConfig() == nil {
					return false
				}
				next, err := config.Merge(current, u.GetConfig())
				is.NoErr(err)
				current = next
				return config.IsEvacuated(current, knownDomain) == evacuated
			})
		}
		step(false)
		d.order(d.operator("c1"), begin(""))
		step(true)
		d.order(d.operator("c1"), end(""))
		step(false)
	}
}

func TestEvacuationOfUnknownFailureDomain(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	for _, name := range []string{"", "elsewhere", "Bodija"} {
		out, err := d.operator("c1").Evacuate(testContext(t), &configpb.EvacuationOrder{FailureDomain: name})
		is.NoErr(err)
		is.Equal(out.GetVerdict(), configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID)
		is.Equal(out.GetFindings()[0].GetPlace(), "failure domain")
	}
	is.True(!d.evacuated("c1"))
}

// An order whose caller has canceled must not be applied: it may be outdated.
func TestEvacuationWithCanceledContext(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.hosts["c1"].daemon.Evacuate(ctx, begin(""))
	is.True(errors.Is(err, operator.ErrNotApplied))
	is.True(!d.evacuated("c1"))
}

// A standby refuses an order and names a serving host.
func TestStandbyRefusesEvacuations(t *testing.T) {
	is := is.New(t)
	d := newStandbyDeployment(t, 3, 1, "d1", "d2", "d3")
	d.awaitVoters("d1", 3, "d1", true)
	d.awaitStandby("s1")
	_, err := d.hosts["s1"].daemon.Evacuate(testContext(t), begin(""))
	var standbyErr *controld.StandbyError
	is.True(errors.As(err, &standbyErr))
	is.True(standbyErr.ServingAddress != "")
}
