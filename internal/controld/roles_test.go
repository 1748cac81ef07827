package controld_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

// counter returns a counter of a host, for one reason if it is not empty.
func (h *host) counter(name, reason string) int64 {
	return unittest.Counter(h.scope, name, reason)
}

// refusals returns the counter of one refusal reason on a host.
func (h *host) refusals(reason string) int64 { return h.counter("control.refusals", reason) }

// notMemberCount returns how often a host found a group that it is no member of.
func (h *host) notMemberCount() int64 { return h.counter("control.stranger_to_its_group", "") }

func call(t *testing.T, c *link.Client, req *controlpb.Request) *controlpb.Response {
	t.Helper()
	res, err := c.Call(testContext(t), req)
	must(t, err)
	return res
}

func registerRequest(service, target, process string) *controlpb.Request {
	return &controlpb.Request{Body: &controlpb.Request_Register{Register: &configpb.RegisterTarget{
		Service: service, Target: target, Process: []byte(process),
	}}}
}

// servingRecord returns the record that the agent of a registered target announces.
func servingRecord(reg *configpb.Registration, name string) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service: reg.GetServiceNumber(), Number: reg.GetTargetNumber(), Incarnation: reg.GetIncarnation(),
		Name: name, Address: "127.0.0.1:7000", Slots: 4, Sequence: 1, State: controlpb.TargetState_TARGET_STATE_SERVING,
	}
}

// registerTarget registers a target once there is a leader and returns its record.
func registerTarget(t *testing.T, agent *link.Client, target string) *controlpb.TargetRecord {
	t.Helper()
	var r *controlpb.TargetRecord
	eventually(t, "the registration of "+target, func() bool {
		r = servingRecord(call(t, agent, registerRequest("lodgement", target, "x")).GetRegistration(), target)
		return r.GetNumber() != 0
	})
	return r
}

func announceRequest(r *controlpb.TargetRecord) *controlpb.Request {
	return &controlpb.Request{Body: &controlpb.Request_Announce{Announce: &controlpb.Announce{Record: r}}}
}

// renewEvery is the interval of lease renewals by announceTarget.
const renewEvery = 100 * time.Millisecond

// announceTarget announces a target and renews its lease until the test ends.
func announceTarget(t *testing.T, agent *link.Client, r *controlpb.TargetRecord) {
	t.Helper()
	if why := call(t, agent, announceRequest(r)).GetAnnounce().GetRefusal(); why != "" {
		t.Fatalf("announcement refused: %s", why)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var worker conc.WaitGroup
	worker.Go(func() {
		tick := time.NewTicker(renewEvery)
		defer tick.Stop()
		for ctx.Err() == nil {
			_, _ = agent.Call(ctx, announceRequest(r)) // a failure is covered by the next renewal
			<-tick.C
		}
	})
	t.Cleanup(func() {
		cancel()
		worker.Wait()
	})
}

func acquireRequest(service uint32, key, attempt string) *controlpb.Request {
	return grantRequest(&grantpb.Command{Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
		Service: service, Key: key, Attempt: []byte(attempt), Digest: []byte("digest"),
	}}})
}

func grantRequest(c *grantpb.Command) *controlpb.Request {
	return &controlpb.Request{Body: &controlpb.Request_Grant{Grant: c}}
}

func TestRolesAreChecked(t *testing.T) {
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"), put("certificates", "192.0.2.2:443"))
	entry := d.link(keys.RoleEntry, "e1", "", "c1")
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	control := d.link(keys.RoleControl, "c9", "", "c1")

	raft := &controlpb.Request{Body: &controlpb.Request_Raft{Raft: &controlpb.RaftBatch{}}}
	foreignRaft := &controlpb.Request{Body: &controlpb.Request_Raft{Raft: &controlpb.RaftBatch{
		Messages: []*raftpb.Message{{From: &raftpb.ReplicaID{Name: "c1"}}},
	}}}
	propose := &controlpb.Request{Body: &controlpb.Request_Propose{Propose: &controlpb.Propose{}}}
	sync := &controlpb.Request{Body: &controlpb.Request_DirectorySync{DirectorySync: &controlpb.DirectorySync{}}}
	replicas := &controlpb.Request{Body: &controlpb.Request_Replicas{Replicas: &controlpb.ReplicaQuery{}}}
	advance := grantRequest(&grantpb.Command{Body: &grantpb.Command_Advance{Advance: &grantpb.Advance{ElapsedMs: 1}}})
	tests := []struct {
		name   string
		client *link.Client
		req    *controlpb.Request
		reason string
	}{
		{"entry raft", entry, raft, "role"},
		{"agent raft", agent, raft, "role"},
		{"agent propose", agent, propose, "role"},
		{"entry directory sync", entry, sync, "role"},
		{"agent replicas", agent, replicas, "role"},
		{"agent join", agent, &controlpb.Request{Body: &controlpb.Request_Join{Join: &controlpb.Join{}}}, "role"},
		{"entry register", entry, registerRequest("lodgement", "t1", "x"), "role"},
		{"entry announce", entry, announceRequest(&controlpb.TargetRecord{}), "role"},
		{"entry grant", entry, acquireRequest(1, "k", "one"), "role"},
		{"control register", control, registerRequest("lodgement", "t1", "x"), "role"},
		{"control sends for another host", control, foreignRaft, "sender"},
		{"agent of another service registers", agent, registerRequest("certificates", "t1", "x"), "service"},
		{"agent of another service acquires", agent, acquireRequest(2, "k", "one"), "service"},
		{"agent advances the logical clock", agent, advance, "request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			before := d.hosts["c1"].refusals(test.reason)
			res := call(t, test.client, test.req)
			is.Equal(res.GetFault().GetKind(), controlpb.FaultKind_FAULT_FORBIDDEN)
			is.Equal(d.hosts["c1"].refusals(test.reason), before+1)
		})
	}
	t.Run("control may not subscribe", func(t *testing.T) {
		is := is.New(t)
		stream, err := control.Subscribe(testContext(t), &controlpb.Subscribe{})
		is.NoErr(err)
		defer stream.Close()
		_, err = stream.Receive()
		fault, ok := err.(*link.FaultError)
		is.True(ok)
		is.Equal(fault.Kind, controlpb.FaultKind_FAULT_FORBIDDEN)
	})
}

func TestTargetReachesSubscriber(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"), put("certificates", "192.0.2.2:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	reg := call(t, agent, registerRequest("lodgement", "t1", "x")).GetRegistration()
	is.Equal(reg.GetRefusal(), "")
	is.True(proto.Equal(reg, call(t, agent, registerRequest("lodgement", "t1", "x")).GetRegistration()))

	r := servingRecord(reg, "t1")
	reply := call(t, agent, announceRequest(r)).GetAnnounce()
	is.Equal(reply.GetRefusal(), "")
	is.True(reply.GetLeaseMs() > 0)

	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{})
	has := func(state controlpb.TargetState) func(*controlpb.SubscribeUpdate) bool {
		return func(u *controlpb.SubscribeUpdate) bool {
			put := u.GetDirectory().GetPut()
			return len(put) == 1 && put[0].GetNumber() == reg.GetTargetNumber() && put[0].GetState() == state
		}
	}
	w.await("the target", has(controlpb.TargetState_TARGET_STATE_SERVING))
	other := d.subscribe(d.link(keys.RoleEntry, "e2", "", "c1"), &controlpb.Subscribe{Services: []uint32{reg.GetServiceNumber() + 1}})
	update := other.await("an empty list", func(u *controlpb.SubscribeUpdate) bool { return u.GetDirectory() != nil })
	is.Equal(len(update.GetDirectory().GetPut()), 0) // out of its scope

	draining := proto.CloneOf(r)
	draining.State = controlpb.TargetState_TARGET_STATE_DRAINING
	draining.Sequence = 2
	is.Equal(call(t, agent, announceRequest(draining)).GetAnnounce().GetRefusal(), "")
	w.await("the draining target", has(controlpb.TargetState_TARGET_STATE_DRAINING))

	refused := map[string]func(*controlpb.TargetRecord){
		controld.RefusalIdentity:   func(r *controlpb.TargetRecord) { r.Service++ },
		controld.RefusalInvalid:    func(r *controlpb.TargetRecord) { r.Address = "nowhere" },
		controld.RefusalSuperseded: func(r *controlpb.TargetRecord) { r.Incarnation = 1 },
	}
	next := proto.CloneOf(r)
	next.Incarnation++
	is.Equal(call(t, agent, announceRequest(next)).GetAnnounce().GetRefusal(), "")
	for want, corrupt := range refused {
		invalid := proto.CloneOf(next)
		corrupt(invalid)
		is.Equal(call(t, agent, announceRequest(invalid)).GetAnnounce().GetRefusal(), want)
	}
	draining.Sequence++ // the older process is draining, so there is nothing to refuse
	is.Equal(call(t, agent, announceRequest(draining)).GetAnnounce().GetRefusal(), "")
}

func TestGrantOverLinks(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	is.Equal(call(t, agent, acquireRequest(1, "k", "one")).GetGrant().GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(call(t, agent, acquireRequest(1, "k", "two")).GetGrant().GetDecision(), grantpb.Decision_DECISION_HELD)
	complete := grantRequest(&grantpb.Command{Body: &grantpb.Command_Complete{Complete: &grantpb.Complete{
		Service: 1, Key: "k", Attempt: []byte("one"), Answer: &grantpb.Answer{Status: 201, Body: []byte("stamped")},
	}}})
	is.True(call(t, agent, complete).GetGrant().GetTaken())
	reply := call(t, agent, acquireRequest(1, "k", "three")).GetGrant()
	is.Equal(reply.GetDecision(), grantpb.Decision_DECISION_ANSWERED)
	is.Equal(string(reply.GetAnswer().GetBody()), "stamped")
}

func TestVersionQuery(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	query := &controlpb.Request{Body: &controlpb.Request_Version{Version: &controlpb.VersionQuery{}}}
	reply := call(t, d.link(keys.RoleEntry, "e1", "", "c1"), query).GetVersion()
	is.Equal(reply.GetVersion(), uint64(1))
	is.True(reply.GetConfirmed())
}

func TestOperatorSeesOutcomes(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	ctx := testContext(t)
	p := patch("lagos/2026-12-02 #1", 0, put("lodgement", "192.0.2.1:443"))
	first := d.accept(ops, p)
	again, err := ops.Submit(ctx, p)
	is.NoErr(err)
	is.True(proto.Equal(first, again))
	outcome, err := ops.Outcome(ctx, p.GetId())
	is.NoErr(err)
	is.True(proto.Equal(first, outcome))
	_, err = ops.Outcome(ctx, "never sent")
	is.True(isError(err, operator.ErrNotFound))

	conflicting, err := ops.Submit(ctx, patch("p2", 0, put("certificates", "192.0.2.2:443")))
	is.NoErr(err)
	is.Equal(conflicting.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.Equal(conflicting.GetVersionPatch(), p.GetId())
	invalid, err := ops.Submit(ctx, patch("p3", 1, put("", "nonsense")))
	is.NoErr(err)
	is.Equal(invalid.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_FINDINGS)
	is.Equal(len(invalid.GetFindings()), 2)

	var large []*configpb.Operation
	for i := range 80 {
		large = append(large, wideService(i))
	}
	_, err = ops.Submit(ctx, patch("p4", 1, large...))
	is.True(isError(err, operator.ErrNotApplied)) // exceeds the size limit of the log

	cfg, confirmed, err := ops.Config(ctx, 0)
	is.NoErr(err)
	is.True(confirmed)
	is.Equal(cfg.GetVersion(), uint64(1))
	_, _, err = ops.Config(ctx, 7)
	is.True(isError(err, operator.ErrNotFound))
}

func TestOnlyOperatorsReachTheAPI(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	agent := operator.NewClient([]string{d.hosts["c1"].daemon.OperatorAddr()}, d.keys.Credentials(keys.RoleAgent, "a1", "lodgement"))
	defer agent.Close()
	_, err := agent.Submit(testContext(t), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	is.True(err != nil)
	_, err = ops.Outcome(testContext(t), "p1")
	is.True(isError(err, operator.ErrNotFound)) // not applied
}

func TestManySubscribersFollow(t *testing.T) {
	is := is.New(t)
	d, ops := newSingleHost(t)
	c := d.link(keys.RoleEntry, "e1", "", "c1")
	var all []*recorder
	for range 20 {
		all = append(all, d.subscribe(c, &controlpb.Subscribe{}))
	}
	for i := range 30 {
		d.accept(ops, patch(fmt.Sprintf("p%d", i), uint64(i), put("lodgement", "192.0.2.1:443")))
	}
	for _, w := range all {
		last := uint64(0)
		w.await("the last version", func(u *controlpb.SubscribeUpdate) bool {
			if u.GetConfig() != nil {
				is.True(u.GetConfig().GetVersion() >= last) // never an older one
				last = u.GetConfig().GetVersion()
			}
			return last == 30
		})
	}
}

// An agent that starts beside a new target must learn that nobody has registered it before, and
// only then: it denies unknown flows from then on.
func TestOnlyFirstCallCreatesRegistration(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	is.True(call(t, agent, registerRequest("lodgement", "t1", "x")).GetRegistrationCreated())
	is.True(!call(t, agent, registerRequest("lodgement", "t1", "x")).GetRegistrationCreated())
}
