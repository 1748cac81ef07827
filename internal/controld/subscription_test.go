package controld_test

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// wideServices is the number of distinct address sets of wideService.
const wideServices = 3

// wideService is a service with large updates. The address sets repeat, since unused
// addresses stay in the configuration.
func wideService(set int) *configpb.Operation {
	s := &configpb.Service{Name: "wide", Slots: 4}
	for i := range config.MaxAddresses {
		s.Addresses = append(s.Addresses, fmt.Sprintf("10.%d.%d.%d:443", set, i/250, i%250+1))
	}
	return &configpb.Operation{Body: &configpb.Operation_PutService{PutService: s}}
}

func TestSlowSubscriberGetsCoalescedUpdates(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{})
	w.awaitVersion(0)
	const (
		versions = 120 // each about 20 KB, more in total than the stream buffers
		// Versions per update read; a subscriber that reads nothing is disconnected.
		readEvery = 10
	)
	updates, last := 0, uint64(0)
	var current *configpb.Configuration
	follow := func(u *controlpb.SubscribeUpdate) bool {
		c := u.GetConfig()
		if c == nil {
			return false
		}
		updates++
		next, err := config.Merge(current, c)
		is.NoErr(err)
		is.True(next.GetVersion() > last)
		current, last = next, next.GetVersion()
		return true
	}
	for i := range versions {
		d.accept(ops, patch(fmt.Sprintf("p%d", i), uint64(i), wideService(i%wideServices)))
		if i%readEvery == 0 {
			w.await("an update", follow)
		}
	}
	w.await("the last version", func(u *controlpb.SubscribeUpdate) bool { return follow(u) && last == versions })
	is.True(updates < versions)
	is.Equal(current.GetServices()[0].GetAddresses()[0], "10.2.0.1:443")
}

func TestSubscriberResumesWithDelta(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	for i := range config.MaxHistory + 20 {
		d.accept(ops, patch(fmt.Sprintf("p%d", i), uint64(i), put("lodgement", "192.0.2.1:443")))
	}
	newest := uint64(config.MaxHistory + 20)
	c := d.link(keys.RoleEntry, "e1", "", "c1")
	tests := []struct {
		name    string
		version uint64
		delta   bool
	}{
		{"nothing", 0, false},
		{"older than history", 5, false},
		{"oldest in history", newest - config.MaxHistory + 1, true},
		{"one behind", newest - 1, true},
		{"the newest", newest, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := d.subscribe(c, &controlpb.Subscribe{Version: test.version}).awaitVersion(newest)
			is.Equal(u.GetSnapshot() == nil, test.delta)
			is.True(u.GetConfirmed())
			if test.delta {
				is.Equal(u.GetBaseVersion(), test.version)
			}
		})
	}
	d.restart("c1")
	u := d.subscribe(d.link(keys.RoleEntry, "e2", "", "c1"), &controlpb.Subscribe{Version: newest - 1}).awaitVersion(newest)
	is.True(u.GetConfirmed())
}

// Guards against a delta for a subscriber whose version, from a control host of an earlier release,
// lists fewer former services of routes: it would take what it has for complete.
func TestSubscriberWithoutHistoryGetsSnapshot(t *testing.T) {
	is := is.New(t)
	d, _ := newSingleHost(t)
	for revision := uint64(1); revision <= 2; revision++ {
		service := fmt.Sprint("s", revision)
		_, err := d.hosts["c1"].daemon.ReplaceRouteTable(t.Context(), &configpb.Replacement{
			Services: []string{service},
			Table: &configpb.RouteTable{Revision: revision, Routes: []*configpb.Route{{
				Address: "198.18.0.1:443", TimeoutMs: 1, Services: []*configpb.WeightedService{{Service: service, Weight: 1}},
			}}},
		})
		is.NoErr(err)
	}
	c := d.link(keys.RoleEntry, "e1", "", "c1")
	for _, test := range []struct {
		name    string
		history *configpb.RouteHistory
		delta   bool
	}{
		{"the same", configpb.RouteHistory_ROUTE_HISTORY_COMPLETE.Enum(), true},
		{"less", configpb.RouteHistory_ROUTE_HISTORY_UNKNOWN.Enum(), false},
		{"a subscriber of an earlier release", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := d.subscribe(c, &controlpb.Subscribe{Version: 1, TableRevision: 1, TableHistory: test.history}).awaitVersion(2)
			is.Equal(u.GetSnapshot() == nil, test.delta)
			if test.delta {
				is.Equal(u.GetTable().GetHistory(), configpb.RouteHistory_ROUTE_HISTORY_COMPLETE)
				is.Equal(u.GetTable().GetPut()[0].GetFormerServices(), []uint32{1})
			}
		})
	}
}

// restart restarts a host on its data directory.
func (d *deployment) restart(name string) *host {
	d.t.Helper()
	return d.start(name, d.stop(name).data, false)
}

// TestScopedSubscriberReceivesEveryVersion changes one service for a subscriber of another:
// it gets each version number, but not the service.
func TestScopedSubscriberReceivesEveryVersion(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	d.accept(ops, patch("p1", 0, put("lodgement", "192.0.2.1:443"), put("certificates", "192.0.2.2:443")))
	c := d.link(keys.RoleAgent, "a1", "certificates", "c1")
	req := &controlpb.Subscribe{Services: []uint32{2}, ScopedConfig: true}
	w := d.subscribe(c, req)
	first := w.awaitVersion(1)
	is.Equal(len(first.GetSnapshot().GetServices()), 1)
	is.Equal(first.GetSnapshot().GetServices()[0].GetName(), "certificates")

	d.accept(ops, patch("p2", 1, put("lodgement", "192.0.2.3:443")))
	u := w.awaitVersion(2)
	is.Equal(u.GetBaseVersion(), uint64(1))
	is.Equal(len(u.GetPut())+len(u.GetRetired()), 0)
	// A subscriber that reports nothing is disconnected.
	report := func(version uint64) { is.NoErr(w.stream.Send(&controlpb.Heartbeat{Version: version})) }
	report(2)
	eventually(t, "the active version in the status", func() bool {
		s := d.status("c1")
		return len(s.LaggingSubscribers) == 0 && s.Subscribers[0].Version == 2
	})
	d.accept(ops, patch("p3", 2, put("certificates", "192.0.2.4:443")))
	is.Equal(len(w.awaitVersion(3).GetPut()), 1)
	report(3)
	d.accept(ops, patch("p4", 3, &configpb.Operation{Body: &configpb.Operation_RemoveService{RemoveService: "certificates"}}))
	is.Equal(w.awaitVersion(4).GetRemoved(), []string{"certificates"})
}

func TestRestartedHostRemovesNoTargets(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	announce := func(target string) {
		is.Equal(call(t, agent, announceRequest(registerTarget(t, agent, target))).GetAnnounce().GetRefusal(), "")
	}
	announce("t1")
	announce("t2")
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{})
	before := w.await("a list", func(u *controlpb.SubscribeUpdate) bool { return len(u.GetDirectory().GetPut()) == 2 })

	d.restart("c1")
	w = d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{
		Version: 1, DirectoryEpoch: before.GetDirectory().GetEpoch(), DirectorySequence: before.GetDirectory().GetSequence(),
	})
	u := w.await("a directory", func(u *controlpb.SubscribeUpdate) bool { return u.GetDirectory() != nil })
	is.True(u.GetDirectory().GetEpoch() != before.GetDirectory().GetEpoch())
	is.Equal(u.GetDirectory().GetFull(), false)
	is.Equal(len(u.GetDirectory().GetRemoved()), 0)
}

func TestStateSurvivesRestart(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	reg := call(t, agent, registerRequest("lodgement", "t1", "x")).GetRegistration()
	is.True(call(t, agent, acquireRequest(1, "k", "one")).GetGrant().GetDecision() != 0)

	d.restart("c1")
	first := d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443"))) // the resend
	is.Equal(first.GetVersion(), uint64(1))
	agent = d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	again := call(t, agent, registerRequest("lodgement", "t1", "y")).GetRegistration()
	is.Equal(again.GetTargetNumber(), reg.GetTargetNumber())
	is.Equal(again.GetIncarnation(), reg.GetIncarnation()+1)
	var reply *controlpb.Response
	eventually(t, "a decision", func() bool {
		reply = call(t, agent, acquireRequest(1, "k", "two"))
		return reply.GetGrant() != nil
	})
	is.Equal(reply.GetGrant().GetDecision().String(), "DECISION_HELD") // the holder is gone, so its outcome is unknown
}

func TestOperatorAddsHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2")
	seeds := d.voters[:1] // c1 bootstraps alone
	d.voters = seeds
	d.start("c1", "", false)
	ops := d.operator("c1")
	d.accept(ops, patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.voters = nil // without seed hosts it waits for the operator
	d.start("c2", "", true)
	_, err := ops.AddLearner(testContext(t), d.address["c2"])
	is.NoErr(err)
	_, err = ops.AddLearner(testContext(t), d.address["c2"]) // safe to repeat
	is.NoErr(err)
	eventually(t, "promotion", func() bool {
		s, err := ops.Promote(testContext(t), memberRef("c2"))
		return err == nil && len(s.Groups[0].Members) == 2
	})
	eventually(t, "the version on c2", func() bool { return d.status("c2").Version == 1 })
	d.accept(d.operator("c2"), patch("p2", 1, put("certificates", "192.0.2.2:443")))
	_, err = ops.Remove(testContext(t), memberRef("c9"))
	is.True(errors.Is(err, operator.ErrNotFound))
	_, err = ops.AddLearner(testContext(t), "nowhere")
	is.True(err != nil)
}

func TestHostJoinsAsLearner(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2")
	d.voters = d.voters[:1]
	d.start("c1", "", false)
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	d.start("c2", "", true)
	eventually(t, "the version on c2", func() bool { return d.status("c2").Version == 1 })
	for _, g := range d.status("c1").Groups {
		is.Equal(len(g.Members), 2)
		is.True(g.Members[0].Learner || g.Members[1].Learner) // operators promote
	}
}
