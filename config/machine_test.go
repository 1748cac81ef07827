package config_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

var must = unittest.Must

func service(name string, addresses ...string) *configpb.Service {
	return &configpb.Service{Name: name, Addresses: addresses, Slots: 4}
}

func put(s *configpb.Service) *configpb.Operation {
	return &configpb.Operation{Body: &configpb.Operation_PutService{PutService: s}}
}

func remove(name string) *configpb.Operation {
	return &configpb.Operation{Body: &configpb.Operation_RemoveService{RemoveService: name}}
}

func patch(id string, base uint64, ops ...*configpb.Operation) *configpb.Patch {
	return &configpb.Patch{Id: id, BaseVersion: base, Operations: ops}
}

func apply(t *testing.T, m *config.Machine, c *configpb.Command) *configpb.Result {
	t.Helper()
	data, err := proto.Marshal(c)
	must(t, err)
	var result configpb.Result
	must(t, proto.Unmarshal(m.Apply(1, data), &result))
	return &result
}

func submit(t *testing.T, m *config.Machine, p *configpb.Patch) *configpb.Outcome {
	t.Helper()
	return apply(t, m, &configpb.Command{Body: &configpb.Command_Patch{Patch: p}}).GetOutcome()
}

func register(t *testing.T, m *config.Machine, service, target, process string) *configpb.Registration {
	t.Helper()
	r := &configpb.RegisterTarget{Service: service, Target: target, Process: []byte(process)}
	return apply(t, m, &configpb.Command{Body: &configpb.Command_Register{Register: r}}).GetRegistration()
}

func numberOf(m *config.Machine, name string) uint32 {
	for _, s := range m.Current().GetServices() {
		if s.GetName() == name {
			return s.GetNumber()
		}
	}
	return 0
}

func TestPatchBecomesNextVersion(t *testing.T) {
	is := is.New(t)
	m := config.New()
	out := submit(t, m, patch("p1", 0, put(service("lodgement", "192.0.2.1:443"))))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED)
	is.Equal(out.GetVersion(), uint64(1))
	is.Equal(out.GetVersionPatch(), "p1")
	is.Equal(m.Current().GetVersion(), uint64(1))
	is.Equal(numberOf(m, "lodgement"), uint32(1))
}

func TestResentPatchGetsFirstOutcome(t *testing.T) {
	is := is.New(t)
	m := config.New()
	p := patch("p1", 0, put(service("a", "192.0.2.1:443")))
	first := submit(t, m, p)
	submit(t, m, patch("p2", 1, remove("a")))
	p.Places = []string{"moved.ini:9"}
	again := submit(t, m, p)
	is.True(proto.Equal(first, again))
	is.Equal(m.Current().GetVersion(), uint64(2)) // the resend was not applied

	late := submit(t, m, patch("p3", 0, put(service("b", "192.0.2.2:443"))))
	is.Equal(late.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.True(proto.Equal(late, submit(t, m, patch("p3", 0, put(service("b", "192.0.2.2:443"))))))
}

func TestReusedIDIsRefused(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	out := submit(t, m, patch("p1", 1, remove("a")))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_ID)
	is.Equal(out.GetVersion(), uint64(1))
	is.Equal(m.Outcome("p1").GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED) // the first one is kept
}

func TestBaseConflictNamesAcceptedPatch(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("ada", 0, put(service("a", "192.0.2.1:443"))))
	submit(t, m, patch("bo", 1, put(service("b", "192.0.2.2:443"))))
	out := submit(t, m, patch("chi", 0, remove("a")))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.Equal(out.GetVersion(), uint64(2))
	is.Equal(out.GetVersionPatch(), "bo")
	is.True(strings.Contains(out.GetFindings()[0].GetText(), `"ada" turned version 0 into version 1`))

	ahead := submit(t, m, patch("dayo", 9, remove("a")))
	is.Equal(ahead.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.True(strings.Contains(ahead.GetFindings()[0].GetText(), "no version 9 yet"))
}

func TestEveryFindingIsListed(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("held", "192.0.2.9:443"))))
	invalid := service("Bad_Name", "nonsense", "192.0.2.3:0", "192.0.2.4:443", "192.0.2.4:443")
	invalid.Slots = 0
	invalid.Policy = &configpb.Policy{
		Strategy: 77, BrokenFlowWeight: -1, ImbalanceWeight: math.NaN(),
		PanicPercent: 101, RetryPercent: 200, RampMs: config.MaxRampMS + 1,
	}
	p := patch("p2", 1,
		put(invalid),
		remove("missing"),
		put(service("conflicting", "[::ffff:192.0.2.9]:443")),
		put(service("conflicting", "192.0.2.10:443")),
		&configpb.Operation{},
		put(service("bare")),
	)
	p.Places = []string{"a.ini:1", "a.ini:9"}
	out := submit(t, m, p)
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_FINDINGS)
	is.Equal(m.Current().GetVersion(), uint64(1))
	want := []string{
		`a.ini:1, service "Bad_Name", name: the name has bytes`,
		`a.ini:1, service "Bad_Name", addresses: "nonsense"`,
		`addresses: "192.0.2.3:0": port 0`,
		`addresses: "192.0.2.4:443": the address is named twice`,
		`slots: a target needs`,
		`policy.strategy: there is no strategy 77`,
		`policy.broken_flow_weight: a weight`,
		`policy.imbalance_weight: a weight`,
		`policy.panic_percent: a percentage`,
		`policy.retry_percent: a percentage`,
		`policy.ramp_ms: the ramp`,
		`a.ini:9, service "missing": there is no service`,
		`operation 4, service "conflicting": the service is put a second time, first by operation 3`,
		`operation 5: the operation is empty`,
		`operation 6, service "bare", addresses: the service has no public address`,
		`operation 3, service "conflicting", addresses: "[::ffff:192.0.2.9]:443": the address belongs to service "held"`,
	}
	is.Equal(len(out.GetFindings()), len(want))
	all := ""
	for _, f := range out.GetFindings() {
		all += f.GetPlace() + ": " + f.GetText() + "\n"
	}
	for _, w := range want {
		if !strings.Contains(all, w) {
			t.Errorf("no finding %q in\n%s", w, all)
		}
	}
}

func TestEmptyPatchAndID(t *testing.T) {
	is := is.New(t)
	m := config.New()
	out := submit(t, m, patch("", 0))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_FINDINGS)
	is.Equal(len(out.GetFindings()), 2)
	is.Equal(len(config.ValidatePatch(m.Current(), patch(strings.Repeat("x", config.MaxIDLength+1), 0, put(service("a", "192.0.2.1:1"))))), 1)
}

func TestFindingsAreBounded(t *testing.T) {
	is := is.New(t)
	ops := make([]*configpb.Operation, config.MaxFindings+7)
	for i := range ops {
		ops[i] = remove(fmt.Sprintf("s%d", i))
	}
	found := config.ValidatePatch(config.New().Current(), patch("p", 0, ops...))
	is.Equal(len(found), config.MaxFindings+1)
	is.Equal(found[config.MaxFindings].GetText(), "7 further findings")
}

func TestServiceNumbers(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	first := numberOf(m, "a")
	submit(t, m, patch("p2", 1, remove("a"), put(service("b", "192.0.2.1:443"))))
	is.True(numberOf(m, "b") != first)
	submit(t, m, patch("p3", 2, remove("b"), put(service("a", "192.0.2.1:443"))))
	is.True(numberOf(m, "a") != first)

	// A service that is removed and put in the same patch gets a new number.
	third := numberOf(m, "a")
	submit(t, m, patch("p4", 3, remove("a"), put(service("a", "192.0.2.1:443"))))
	is.True(numberOf(m, "a") != third)

	// A replaced service keeps its number.
	fourth := numberOf(m, "a")
	submit(t, m, patch("p5", 4, put(service("a", "192.0.2.7:443"))))
	is.Equal(numberOf(m, "a"), fourth)
}

func TestRegistration(t *testing.T) {
	is := is.New(t)
	m := config.New()
	is.Equal(register(t, m, "a", "t1", "x").GetRefusal(), config.RefusalUnknownService)
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	one := register(t, m, "a", "t1", "x")
	is.Equal(one.GetRefusal(), "")
	is.True(proto.Equal(one, register(t, m, "a", "t1", "x"))) // idempotent for one process
	next := register(t, m, "a", "t1", "y")
	is.Equal(next.GetTargetNumber(), one.GetTargetNumber())
	is.Equal(next.GetIncarnation(), one.GetIncarnation()+1)
	other := register(t, m, "a", "t2", "x")
	is.True(other.GetTargetNumber() != one.GetTargetNumber())
	is.Equal(register(t, m, "a", "t3", "").GetRefusal(), config.RefusalProcess)
	is.True(register(t, m, "a", "T3", "x").GetRefusal() != "")

	// The service gets another number when it is put again, and so do its targets.
	submit(t, m, patch("p2", 1, remove("a")))
	submit(t, m, patch("p3", 2, put(service("a", "192.0.2.1:443"))))
	again := register(t, m, "a", "t1", "x")
	is.True(again.GetTargetNumber() > other.GetTargetNumber())
	is.True(again.GetServiceNumber() != one.GetServiceNumber())
}

// Only a process that was not registered before may be told that its registration is a new one:
// its agent concludes that the target holds no flows.
func TestRegistrationIsCreatedOnce(t *testing.T) {
	is := is.New(t)
	m := config.New()
	created := func(target, process string) bool {
		command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Register{Register: &configpb.RegisterTarget{
			Service: "a", Target: target, Process: []byte(process),
		}}})
		is.NoErr(err)
		result := new(configpb.Result)
		is.NoErr(proto.Unmarshal(m.Apply(0, command), result))
		return result.GetCreated()
	}
	is.True(!created("t1", "x")) // no such service
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	is.True(created("t1", "x"))
	is.True(!created("t1", "x")) // a restarted agent
	is.True(created("t1", "y"))
	is.True(created("t2", "x"))
	is.True(!created("t3", "")) // refused
}

// A target is recorded as leaving until another incarnation registers. A late record of an
// earlier incarnation must not mark the next one, which may hold flows while it is missing.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	m := config.New()
	leave := func(r *configpb.Registration) {
		apply(t, m, &configpb.Command{Body: &configpb.Command_Leave{
			Leave: &configpb.LeaveTarget{Number: r.GetTargetNumber(), Incarnation: r.GetIncarnation()},
		}})
	}
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	one := register(t, m, "a", "t1", "x")
	before, version := m.Target(one.GetTargetNumber()), m.Current().GetVersion()
	is.True(!before.GetLeaving())
	leave(one)
	is.True(m.Target(one.GetTargetNumber()).GetLeaving())
	is.True(!before.GetLeaving())                             // identities are shared
	is.Equal(m.Current().GetVersion(), version)               // it is no version of its own
	is.True(proto.Equal(one, register(t, m, "a", "t1", "x"))) // the same process
	is.True(m.Target(one.GetTargetNumber()).GetLeaving())     // is still leaving
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := config.New()
	is.NoErr(restored.Restore(data))
	is.True(restored.Target(one.GetTargetNumber()).GetLeaving())
	next := register(t, m, "a", "t1", "y")
	is.True(!m.Target(next.GetTargetNumber()).GetLeaving())
	leave(one)
	is.True(!m.Target(next.GetTargetNumber()).GetLeaving())
	leave(&configpb.Registration{TargetNumber: 99, Incarnation: 1}) // an unknown target
}

// A target drains while its backend server is silent, and serves again later under the same
// registration. With the mark it would count as ended once it is missing, and lose its flows.
func TestTargetThatServesAgainIsNotLeaving(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	r := register(t, m, "a", "t1", "x")
	record := func(incarnation uint32, returned bool) bool {
		apply(t, m, &configpb.Command{Body: &configpb.Command_Leave{
			Leave: &configpb.LeaveTarget{Number: r.GetTargetNumber(), Incarnation: incarnation, Returned: returned},
		}})
		return m.Target(r.GetTargetNumber()).GetLeaving()
	}
	is.True(!record(r.GetIncarnation(), true)) // was not marked
	is.True(record(r.GetIncarnation(), false))
	is.True(record(r.GetIncarnation()+1, true)) // another incarnation
	marked := m.Target(r.GetTargetNumber())
	is.True(!record(r.GetIncarnation(), true))
	is.True(marked.GetLeaving()) // identities are shared
	is.True(record(r.GetIncarnation(), false))
}

func TestNumbersStayWithin24Bits(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("a", "192.0.2.1:443"))))
	state := &configpb.State{
		Configuration:     m.Current(),
		LastServiceNumber: 1,
		LastTargetNumber:  config.MaxTargetNumber - 1,
		Targets: []*configpb.TargetIdentity{{
			Service: "a", ServiceNumber: 1, Target: "t1", Number: 5,
			Incarnation: config.MaxTargetNumber, Process: []byte("x"),
		}},
	}
	data, err := proto.Marshal(state)
	is.NoErr(err)
	is.NoErr(m.Restore(data))
	moved := register(t, m, "a", "t1", "y")
	is.Equal(moved.GetTargetNumber(), uint32(config.MaxTargetNumber)) // a new number starts with incarnation 1
	is.Equal(moved.GetIncarnation(), uint32(1))
	is.Equal(register(t, m, "a", "t2", "z").GetRefusal(), config.RefusalNumbers)
}

func TestRefusedPatchesDoNotEvictAcceptedOutcomes(t *testing.T) {
	is := is.New(t)
	m := config.New()
	p := patch("p1", 0, put(service("a", "192.0.2.1:443")))
	submit(t, m, p)
	for i := range config.MaxRefusedOutcomes + 5 {
		submit(t, m, patch(fmt.Sprintf("r%d", i), 0, remove("a")))
	}
	is.Equal(m.Outcome("p1").GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED)
	is.Equal(m.Outcome("r0"), nil)
	is.True(m.Outcome("r5") != nil)
	is.Equal(submit(t, m, p).GetVersion(), uint64(1))
}

func TestEvictedPatchIsNotAppliedAgain(t *testing.T) {
	is := is.New(t)
	m := config.New()
	first := patch("p0", 0, put(service("a", "192.0.2.1:443")))
	submit(t, m, first)
	for i := range config.MaxAcceptedOutcomes {
		submit(t, m, patch(fmt.Sprintf("p%d", i+1), uint64(i+1), put(service("a", "192.0.2.1:443"))))
	}
	is.Equal(m.Outcome("p0"), nil)
	before := m.Current()
	out := submit(t, m, first)
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.True(strings.Contains(out.GetFindings()[0].GetText(), "no longer kept"))
	is.Equal(m.Current(), before)
}

func TestUndecodableCommandIsIgnored(t *testing.T) {
	is := is.New(t)
	m := config.New()
	is.Equal(len(m.Apply(1, []byte{0xff, 0xff})), 0)
	is.Equal(m.Current().GetVersion(), uint64(0))
	is.True(m.Restore([]byte{0xff}) != nil)
	is.True(m.Restore(nil) != nil)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := config.New()
	for i := range config.MaxHistory + 10 {
		submit(t, m, patch(fmt.Sprintf("p%d", i), uint64(i), put(service("a", "192.0.2.1:443"))))
	}
	newest := m.Current().GetVersion()
	is.Equal(m.Version(newest), m.Current())
	is.Equal(m.Version(newest+1), nil)
	is.Equal(m.Version(newest-config.MaxHistory), nil)
	is.Equal(m.Version(newest-config.MaxHistory+1).GetVersion(), newest-config.MaxHistory+1)
}

func TestMergeErrors(t *testing.T) {
	is := is.New(t)
	base := &configpb.Configuration{Version: 5}
	_, err := config.Merge(base, config.Diff(nil, &configpb.Configuration{Version: 6}))
	is.Equal(err, config.ErrBaseMismatch)
	_, err = config.Merge(base, config.Diff(base, &configpb.Configuration{Version: 4}))
	is.Equal(err, config.ErrOlderVersion)
	update := config.Diff(nil, nil)
	update.Snapshot = &configpb.Configuration{Version: 3}
	_, err = config.Merge(base, update)
	is.Equal(err, config.ErrOlderVersion)
	same, err := config.Merge(base, config.Diff(base, base))
	is.NoErr(err)
	is.Equal(same, base)
}

func TestEffectivePolicy(t *testing.T) {
	is := is.New(t)
	p := config.EffectivePolicy(nil)
	is.Equal(p.GetBrokenFlowWeight(), 1.0)
	is.Equal(p.GetPanicPercent(), uint32(50))
	is.Equal(config.EffectivePolicy(&configpb.Policy{RampMs: 7}).GetRampMs(), uint32(7))
}

// TestPatchCostDependsOnItsServices guards against work for each unnamed service: a replica
// that restarts applies thousands of versions.
func TestPatchCostDependsOnItsServices(t *testing.T) {
	is := is.New(t)
	allocations := func(services int) float64 {
		m := config.New()
		first := patch("first", 0)
		for i := range services {
			first.Operations = append(first.Operations, put(service(fmt.Sprintf("s%d", i), fmt.Sprintf("10.0.%d.%d:443", i/250, i%250+1))))
		}
		is.Equal(submit(t, m, first).GetVerdict(), configpb.Verdict_VERDICT_ACCEPTED)
		return testing.AllocsPerRun(100, func() {
			version := m.Current().GetVersion()
			submit(t, m, patch(fmt.Sprint("p", version), version, put(service("s7", fmt.Sprintf("10.0.0.8:%d", 1000+version%2)))))
		})
	}
	small, large := allocations(10), allocations(2000)
	is.True(large < small*1.5)
}
