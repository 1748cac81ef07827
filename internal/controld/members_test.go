package controld_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

// TestRemoveMember removes a member by one call although the groups may have different
// leaders. An unknown member is reported only if a quorum confirms it.
func TestRemoveMember(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	d.stop("c3")
	ops := d.operator("c1", "c2")
	eventually(t, "removal", func() bool {
		s, err := ops.Remove(testContext(t), memberRef("c3"))
		// A removal that took effect must not be reported as an unknown member.
		is.True(!errors.Is(err, operator.ErrNotFound))
		return err == nil && len(s.Groups) == 2
	})
	for _, g := range d.status(d.leader()).Groups {
		is.Equal(len(g.Members), 2)
	}
	_, err := ops.Remove(testContext(t), memberRef("c3"))
	is.True(errors.Is(err, operator.ErrNotFound)) // confirmed by a quorum
	d.stop("c2")
	_, err = d.operator("c1").Remove(testContext(t), memberRef("c3"))
	is.True(errors.Is(err, operator.ErrNotApplied)) // no quorum
	is.True(!errors.Is(err, operator.ErrNotFound))
}

// newGroupWithLearner is newGroup with a fourth host as a learner.
func newGroupWithLearner(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, "c1", "c2", "c3", "c4")
	d.voters = d.voters[:3]
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.start("c4", "", true)
	d.awaitLearner("c4")
	return d
}

// awaitLearner waits until a host is a learner with a leader in all groups.
func (d *deployment) awaitLearner(name string) {
	d.t.Helper()
	eventually(d.t, name+" to follow as a learner", func() bool {
		for _, g := range d.status(name).Groups {
			learns := false
			for _, m := range g.Members {
				learns = learns || m.Name == name && m.Learner
			}
			if !learns || g.State != "follows" {
				return false
			}
		}
		return true
	})
}

// TestLearnerServes uses each function of a control host on a learner, also after its
// restart and after the loss of the leader.
func TestLearnerServes(t *testing.T) {
	d := newGroupWithLearner(t)
	checkServes(t, d, "c4", 1)
	d.start("c4", d.stop("c4").data, true)
	d.awaitLearner("c4")
	checkServes(t, d, "c4", 2)
	d.stop(d.leader())
	checkServes(t, d, "c4", 3)
	for _, g := range d.status("c4").Groups {
		is.New(t).Equal(len(g.Members), 4)
	}
}

// checkServes uses each function of one host, with the given version as the newest.
func checkServes(t *testing.T, d *deployment, name string, version uint64) {
	t.Helper()
	is := is.New(t)
	round := fmt.Sprintf("round-%d", version)
	ops := d.operator(name)
	w := d.subscribe(d.link(keys.RoleEntry, "e-"+round, "", name), &controlpb.Subscribe{})
	w.await("the confirmed version", func(u *controlpb.SubscribeUpdate) bool {
		return u.GetConfig().GetVersion() == version && u.GetConfig().GetConfirmed()
	})
	is.NoErr(w.stream.Send(&controlpb.Heartbeat{Version: version}))
	out := d.accept(ops, patch(round, version, put("lodgement", "192.0.2.1:443")))
	is.Equal(out.GetVersion(), version+1)
	w.awaitVersion(version + 1)
	outcome, err := ops.Outcome(testContext(t), round)
	is.NoErr(err)
	is.Equal(outcome.GetVersion(), version+1)
	_, confirmed, err := ops.Config(testContext(t), 0)
	is.NoErr(err)
	is.True(confirmed)

	agent := d.link(keys.RoleAgent, "a-"+round, "lodgement", name)
	record := registerTarget(t, agent, round)
	announceTarget(t, agent, record)
	w.await("the target", func(u *controlpb.SubscribeUpdate) bool {
		for _, put := range u.GetDirectory().GetPut() {
			if put.GetNumber() == record.GetNumber() {
				return true
			}
		}
		return false
	})
	eventually(t, "a grant", func() bool {
		return call(t, agent, acquireRequest(1, round, "one")).GetGrant().GetDecision() == grantpb.Decision_DECISION_GRANTED
	})
	is.Equal(call(t, agent, acquireRequest(1, round, "two")).GetGrant().GetDecision(), grantpb.Decision_DECISION_HELD)
}

// TestLearnerWithoutQuorumRefuses checks that a learner without a quorum refuses and marks
// its version as unconfirmed.
func TestLearnerWithoutQuorumRefuses(t *testing.T) {
	is := is.New(t)
	d := newGroupWithLearner(t)
	for _, name := range []string{"c1", "c2", "c3"} {
		d.stop(name)
	}
	eventually(t, "loss of the leader", func() bool { return d.status("c4").Groups[0].State == "no leader" })
	ops := d.operator("c4")
	_, err := ops.Submit(testContext(t), patch("p2", 1, put("lodgement", "192.0.2.1:443")))
	is.True(errors.Is(err, operator.ErrNotApplied))
	_, err = ops.Outcome(testContext(t), "p1")
	is.True(errors.Is(err, operator.ErrNotApplied))
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c4"), &controlpb.Subscribe{})
	is.Equal(w.awaitVersion(1).GetConfirmed(), false)
}

// TestVotersAreBounded promotes one voter too many. The promotion is refused with the
// reason, and the host stays a learner.
func TestVotersAreBounded(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range raft.MaxVoters {
		names = append(names, fmt.Sprintf("c%d", i+1))
	}
	d := newDeployment(t, append(names, "learner")...)
	d.voters = d.voters[:raft.MaxVoters]
	d.startAll(names...)
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.start("learner", "", true)
	d.awaitLearner("learner")
	_, err := d.operator(names...).Promote(testContext(t), memberRef("learner"))
	is.True(errors.Is(err, operator.ErrRefused))
	is.True(strings.Contains(err.Error(), raft.ErrTooManyVoters.Error()))
	refused := int64(0)
	for _, h := range d.hosts {
		refused += h.counter("control.membership_changes_refused", "too_many_voters")
	}
	is.True(refused > 0)
	checkServes(t, d, "learner", 1)
}

// TestFullHostsRefuseSubscribers has one subscriber more than the link limits of three
// hosts allow. It is refused until another one leaves, at any host.
func TestFullHostsRefuseSubscribers(t *testing.T) {
	const limit, capacity = 4, 12
	d := newDeployment(t, "c1", "c2", "c3")
	d.maxLinks = limit
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	var clients [capacity + 1]*link.Client
	var subs [capacity + 1]*subscriber.Subscriber
	var active [capacity + 1]atomic.Uint64
	for i := range subs {
		clients[i] = d.link(keys.RoleEntry, fmt.Sprintf("e%d", i), "", "c1", "c2", "c3")
		subs[i] = subscriber.Start(subscriber.Options{
			Client: clients[i], OnView: func(v *subscriber.View) { active[i].Store(v.Config.GetVersion()) },
		})
		t.Cleanup(subs[i].Close)
	}
	// on returns the number of subscribers with the version, and one without it.
	on := func(version uint64) (count, without int) {
		for i := range active {
			if active[i].Load() == version {
				count++
				continue
			}
			without = i
		}
		return count, without
	}
	var excluded int
	eventually(t, "the version active on as many subscribers as the limits allow", func() bool {
		var count int
		count, excluded = on(1)
		return count == capacity
	})
	for name, h := range d.hosts {
		eventually(t, "a refusal counted by the full host "+name, func() bool {
			return len(d.status(name).Subscribers) == limit &&
				h.counter("control.link_server_refused_connections", "capacity") > 0
		})
	}
	closed := (excluded + 1) % len(subs)
	subs[closed].Close()
	clients[closed].Close()
	eventually(t, "the excluded subscriber to be served", func() bool { return active[excluded].Load() == 1 })
	d.accept(d.operator("c2"), patch("p2", 1, put("lodgement", "192.0.2.1:443")))
	eventually(t, "the next version active on all others", func() bool {
		count, without := on(2)
		return count == capacity && without == closed
	})
}
