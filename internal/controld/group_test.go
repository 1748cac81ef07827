package controld_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// status returns the status reported by one host.
func (d *deployment) status(name string) *operator.Status {
	d.t.Helper()
	client := d.operator(name)
	defer client.Close()
	var status *operator.Status
	eventually(d.t, "a status of "+name, func() bool {
		status = client.Status(testContext(d.t))[0].Status
		return status != nil
	})
	return status
}

// leader waits for a leader of the configuration group and returns its name.
func (d *deployment) leader() string {
	d.t.Helper()
	name := ""
	eventually(d.t, "a leader", func() bool {
		for host := range d.hosts {
			if d.status(host).Groups[0].State == "leads" {
				name = host
				return true
			}
		}
		return false
	})
	return name
}

func newGroup(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t, "c1", "c2", "c3")
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	// Before the others know a group, it has a single member; after its loss they may
	// bootstrap the group again.
	for _, name := range []string{"c1", "c2", "c3"} {
		eventually(t, "all groups on "+name, func() bool {
			return !slices.ContainsFunc(d.status(name).Groups, func(g operator.GroupStatus) bool {
				return g.State != "leads" && g.State != "follows"
			})
		})
	}
	return d
}

// otherHosts returns the names of the other hosts in order.
func otherHosts(except string) []string {
	var out []string
	for _, name := range []string{"c1", "c2", "c3"} {
		if name != except {
			out = append(out, name)
		}
	}
	return out
}

func TestEveryHostAcceptsPatches(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	var watchers []*recorder
	for _, name := range []string{"c1", "c2", "c3"} {
		c := d.link(keys.RoleEntry, "e-"+name, "", name)
		watchers = append(watchers, d.subscribe(c, &controlpb.Subscribe{}))
	}
	for i, name := range []string{"c1", "c2", "c3"} {
		p := patch(fmt.Sprintf("via-%s", name), uint64(i+1), put("certificates", fmt.Sprintf("192.0.2.%d:443", 10+i)))
		first := d.accept(d.operator(name), p)
		for _, other := range otherHosts(name) {
			again, err := d.operator(other).Submit(testContext(t), p)
			is.NoErr(err)
			is.True(proto.Equal(first, again)) // a resend to another host gets the first outcome
		}
	}
	for _, w := range watchers {
		w.awaitVersion(4)
	}
}

func TestOneConcurrentPatchIsAccepted(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	for round := range uint64(5) {
		var accepted, refused atomic.Int32
		var wg conc.WaitGroup
		for _, name := range []string{"c1", "c2", "c3"} {
			c := d.operator(name)
			id := fmt.Sprintf("%s-%d", name, round)
			p := patch(id, round+1, put("lodgement", "192.0.2.1:443"))
			wg.Go(func() {
				// A host without a link to the leader refuses. It is safe to resend the
				// same patch.
				ctx := testContext(t)
				var out *configpb.Outcome
				ok := poll(func() bool {
					var err error
					out, err = c.Submit(ctx, p)
					return err == nil
				})
				if !ok {
					t.Error("no outcome of", id)
					return
				}
				if out.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED {
					accepted.Add(1)
				}
				if out.GetVerdict() == configpb.Verdict_VERDICT_REFUSED_BASE && out.GetVersion() == round+2 {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal(accepted.Load(), int32(1))
		is.Equal(refused.Load(), int32(2))
	}
}

func TestMinorityRefusesWrites(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	eventually(t, "version 1 everywhere", func() bool {
		return d.status("c1").Version == 1 && d.status("c2").Version == 1 && d.status("c3").Version == 1
	})
	c1 := d.stop("c1")
	d.stop("c2")
	ops := d.operator("c3")
	p := patch("p2", 1, put("certificates", "192.0.2.2:443"))
	_, err := ops.Submit(testContext(t), p)
	// The host may not have detected the loss of the leader yet.
	is.True(isError(err, operator.ErrNotApplied) || isError(err, operator.ErrOutcomeUnknown))
	eventually(t, "loss of the leader", func() bool { return d.status("c3").Groups[0].State == "no leader" })
	_, err = ops.Submit(testContext(t), patch("p3", 1, put("certificates", "192.0.2.2:443")))
	is.True(isError(err, operator.ErrNotApplied))
	_, err = ops.Outcome(testContext(t), "p1")
	is.True(isError(err, operator.ErrNotApplied))
	cfg, confirmed, err := ops.Config(testContext(t), 0)
	is.NoErr(err)
	is.Equal(cfg.GetVersion(), uint64(1))
	is.Equal(confirmed, false)

	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c3"), &controlpb.Subscribe{})
	u := w.awaitVersion(1)
	is.Equal(u.GetConfirmed(), false)
	ahead := d.subscribe(d.link(keys.RoleEntry, "e2", "", "c3"), &controlpb.Subscribe{Version: 9})
	update := ahead.await("a heartbeat", func(u *controlpb.SubscribeUpdate) bool { return u.GetHeartbeat() != nil || u.GetConfig() != nil })
	is.Equal(update.GetConfig(), nil) // never an older version
	is.Equal(update.GetHeartbeat().GetVersion(), uint64(1))

	d.start("c1", c1.data, false)
	d.accept(ops, p)
	// The first attempt may have left the patch in the log, so the confirmation may come
	// with version 1 or 2.
	w.await("a confirmed version 2", func(u *controlpb.SubscribeUpdate) bool {
		return u.GetConfig().GetVersion() == 2 && u.GetConfig().GetConfirmed()
	})
}

func TestGroupSurvivesLossOfLeader(t *testing.T) {
	d := newGroup(t)
	leader := d.leader()
	remaining := otherHosts(leader)
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", remaining[0]), &controlpb.Subscribe{})
	w.awaitVersion(1)
	stopped := d.stop(leader)
	d.accept(d.operator(remaining...), patch("p2", 1, put("certificates", "192.0.2.2:443")))
	w.awaitVersion(2)

	for i := range uint64(40) {
		d.accept(d.operator(remaining...), patch(fmt.Sprintf("q%d", i), i+2, put("certificates", "192.0.2.2:443")))
	}
	d.start(leader, stopped.data, false)
	restarted := d.subscribe(d.link(keys.RoleEntry, "e2", "", leader), &controlpb.Subscribe{Version: 2})
	restarted.await("a confirmed newest version", func(u *controlpb.SubscribeUpdate) bool {
		return u.GetConfig().GetVersion() == 42 && u.GetConfig().GetConfirmed()
	})
}

func TestHostWithLostDiskRejoinsAsLearner(t *testing.T) {
	// c1 bootstrapped the group.
	for _, lost := range []string{"c1", "c3"} {
		t.Run(lost, func(t *testing.T) { testLostDisk(t, lost) })
	}
}

func testLostDisk(t *testing.T, lost string) {
	is := is.New(t)
	d := newGroup(t)
	remaining := otherHosts(lost)
	d.stop(lost)
	d.start(lost, "", false) // the same settings, an empty data directory
	ops := d.operator(remaining...)
	for i := range uint64(5) {
		d.accept(ops, patch(fmt.Sprintf("q%d", i), i+1, put("lodgement", "192.0.2.1:443")))
	}
	eventually(t, "the host to detect that it is no member", func() bool { return d.hosts[lost].notMemberCount() > 0 })
	for _, g := range d.status(lost).Groups {
		is.Equal(g.State, "not founded") // it must not act under its old replica ID
	}
	eventually(t, "removal of the lost replica", func() bool {
		_, err := ops.Remove(testContext(t), operator.MemberRef{Name: lost})
		groups := d.status(remaining[0]).Groups
		return err == nil || len(groups[0].Members)+len(groups[1].Members) == 4
	})
	eventually(t, "addition of the learner", func() bool {
		_, err := ops.AddLearner(testContext(t), d.address[lost])
		return err == nil
	})
	eventually(t, "the learner to catch up", func() bool { return d.status(lost).Version == 6 })
	eventually(t, "promotion", func() bool {
		_, err := ops.Promote(testContext(t), operator.MemberRef{Name: lost})
		return err == nil
	})
	d.stop(remaining[0]) // a second loss soon after the replacement
	d.accept(d.operator(remaining[1], lost), patch("last", 6, put("certificates", "192.0.2.2:443")))
	eventually(t, "the last version", func() bool { return d.status(lost).Version == 7 })
}

func TestAnnouncementReachesOtherHosts(t *testing.T) {
	d := newGroup(t)
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	announceTarget(t, agent, registerTarget(t, agent, "t1"))
	for _, name := range []string{"c2", "c3"} {
		w := d.subscribe(d.link(keys.RoleEntry, "e-"+name, "", name), &controlpb.Subscribe{})
		w.await("the target on "+name, func(u *controlpb.SubscribeUpdate) bool {
			return len(u.GetDirectory().GetPut()) == 1
		})
	}
}

// TestStoppingHostSyncsDirectory stops a host right after an agent announced to it.
func TestStoppingHostSyncsDirectory(t *testing.T) {
	d := newGroup(t)
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	announceTarget(t, agent, registerTarget(t, agent, "t1"))
	d.stop("c1")
	for _, name := range []string{"c2", "c3"} {
		if n := d.status(name).Targets; n != 1 {
			t.Errorf("%s knows %d targets", name, n)
		}
	}
}

// TestRestartedHostReceivesDirectory restarts a host that the agent does not announce to.
func TestRestartedHostReceivesDirectory(t *testing.T) {
	d := newGroup(t)
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	announceTarget(t, agent, registerTarget(t, agent, "t1"))
	eventually(t, "the target on c2", func() bool { return d.status("c2").Targets == 1 })
	d.restart("c2")
	eventually(t, "the target on c2 again", func() bool { return d.status("c2").Targets == 1 })
}

func TestKeyIsGrantedOnce(t *testing.T) {
	d := newGroup(t)
	var wg conc.WaitGroup
	var granted [20]atomic.Int32
	for _, name := range []string{"c1", "c2", "c3"} {
		agent := d.link(keys.RoleAgent, "a-"+name, "lodgement", name)
		wg.Go(func() {
			for key := range granted {
				req := acquireRequest(1, fmt.Sprint(key), "attempt-"+name)
				ctx := testContext(t)
				decided := poll(func() bool {
					res, err := agent.Call(ctx, req)
					if err != nil || res.GetGrant() == nil {
						return false // safe to retry with the same attempt
					}
					if res.GetGrant().GetDecision() == grantpb.Decision_DECISION_GRANTED {
						granted[key].Add(1)
					}
					return true
				})
				if !decided {
					t.Error("no decision on key", key)
				}
			}
		})
	}
	wg.Wait()
	for key := range granted {
		if got := granted[key].Load(); got != 1 {
			t.Errorf("key %d was granted to %d attempts", key, got)
		}
	}
}

func memberRef(name string) operator.MemberRef { return operator.MemberRef{Name: name} }

func TestOnlyLeaderAdvancesClock(t *testing.T) {
	is := is.New(t)
	d := newGroup(t)
	advanceAll := func() {
		for _, h := range d.hosts {
			h.daemon.Advance(time.Second)
		}
	}
	times := func() [3]uint64 {
		return [3]uint64{
			d.hosts["c1"].daemon.GrantTime(), d.hosts["c2"].daemon.GrantTime(), d.hosts["c3"].daemon.GrantTime(),
		}
	}
	eventually(t, "a leader of the grants", func() bool { return d.status("c1").Groups[1].Leader != "" })
	advanceAll()
	is.Equal(times(), [3]uint64{}) // nothing to expire, so no command is proposed
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	eventually(t, "a grant", func() bool {
		return call(t, agent, acquireRequest(1, "k", "one")).GetGrant().GetDecision() == grantpb.Decision_DECISION_GRANTED
	})
	eventually(t, "the record everywhere", func() bool {
		return d.status("c1").GrantsHeld == 1 && d.status("c2").GrantsHeld == 1 && d.status("c3").GrantsHeld == 1
	})
	for stepped := false; !stepped; {
		term, before := d.status("c1").Groups[1].Term, times()[0]
		advanceAll()
		eventually(t, "the same time everywhere", func() bool {
			now := times()
			return now[0] > before && now[0] == now[1] && now[1] == now[2]
		})
		if d.status("c1").Groups[1].Term != term {
			continue // the leader changed, and both may have advanced the clock
		}
		is.Equal(times()[0], before+1000)
		stepped = true
	}
}

// TestManyForwardedCommands forwards more concurrent commands to the leader than a
// connection has streams. The acknowledgements that they wait for must still get through.
func TestManyForwardedCommands(t *testing.T) {
	d := newGroup(t)
	var leader string
	eventually(t, "a leader of the grants", func() bool {
		leader = d.status("c1").Groups[1].Leader
		return leader != ""
	})
	follower := otherHosts(leader)[0]
	const links, each = 5, 60
	d.stop(otherHosts(leader)[1]) // so that each commit needs the follower
	ctx := testContext(t)
	var undecided atomic.Int32
	var wg conc.WaitGroup
	for l := range links {
		agent := d.link(keys.RoleAgent, fmt.Sprintf("a%d", l), "lodgement", follower)
		for i := range each {
			wg.Go(func() {
				req := acquireRequest(1, fmt.Sprintf("%d/%d", l, i), "one")
				first := true
				decided := poll(func() bool {
					res, err := agent.Call(ctx, req)
					if err == nil && res.GetGrant() != nil {
						return true
					}
					if first {
						undecided.Add(1)
						first = false
					}
					return false
				})
				if !decided {
					t.Error("no decision on", l, i)
				}
			})
		}
	}
	wg.Wait()
	if undecided.Load() > links*each/2 {
		t.Errorf("%d of %d commands needed another attempt", undecided.Load(), links*each)
	}
}
