package config_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

func drawService(t *rapid.T) *configpb.Service {
	return &configpb.Service{
		Name:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"),
		Addresses: []string{fmt.Sprintf("192.0.2.%d:443", rapid.IntRange(1, 5).Draw(t, "address"))},
		Slots:     rapid.Uint32Range(0, 4).Draw(t, "slots"),
	}
}

func drawPatch(t *rapid.T, version uint64) *configpb.Patch {
	p := &configpb.Patch{
		Id:          fmt.Sprintf("p%d", rapid.IntRange(0, 40).Draw(t, "id")),
		BaseVersion: version,
	}
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 && version > 0 {
		p.BaseVersion = version - 1
	}
	for range rapid.IntRange(0, 3).Draw(t, "operations") {
		if rapid.Bool().Draw(t, "removes") {
			p.Operations = append(p.Operations, remove(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "removed")))
			continue
		}
		p.Operations = append(p.Operations, put(drawService(t)))
	}
	return p
}

func drawCommand(t *rapid.T, version uint64) *configpb.Command {
	if rapid.IntRange(0, 2).Draw(t, "registers") == 0 {
		return &configpb.Command{Body: &configpb.Command_Register{Register: &configpb.RegisterTarget{
			Service: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"),
			Target:  rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target"),
			Process: []byte(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "process")),
		}}}
	}
	return &configpb.Command{Body: &configpb.Command_Patch{Patch: drawPatch(t, version)}}
}

// invariants checks a run of commands as an onlooker would.
type invariants struct {
	// winner is the digest of the patch that was accepted from a base.
	winner map[uint64]string
	// first is the first outcome by identifier and digest.
	first map[string]*configpb.Outcome
	// service is the name that had a service number.
	service map[uint32]string
	// retired has the service numbers that are out of use.
	retired map[uint32]bool
	// target is the service and target that had a target number.
	target map[uint32]string
}

func newInvariants() *invariants {
	return &invariants{
		winner:  map[uint64]string{},
		first:   map[string]*configpb.Outcome{},
		service: map[uint32]string{},
		retired: map[uint32]bool{},
		target:  map[uint32]string{},
	}
}

func (v *invariants) outcome(t *rapid.T, p *configpb.Patch, out *configpb.Outcome) {
	key := p.GetId() + string(config.Digest(p))
	if first, known := v.first[key]; known {
		if !proto.Equal(first, out) {
			t.Fatalf("a resend of %s got another outcome", p.GetId())
		}
		return
	}
	v.first[key] = out
	if out.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return
	}
	if _, taken := v.winner[p.GetBaseVersion()]; taken {
		t.Fatalf("two versions from base %d", p.GetBaseVersion())
	}
	v.winner[p.GetBaseVersion()] = key
	if out.GetVersion() != p.GetBaseVersion()+1 {
		t.Fatalf("version %d from base %d", out.GetVersion(), p.GetBaseVersion())
	}
}

func (v *invariants) configuration(t *rapid.T, c *configpb.Configuration) {
	owner := map[string]string{}
	now := map[uint32]bool{}
	for _, s := range c.GetServices() {
		now[s.GetNumber()] = true
		if v.retired[s.GetNumber()] {
			t.Fatalf("service number %d used again", s.GetNumber())
		}
		if name, known := v.service[s.GetNumber()]; known && name != s.GetName() {
			t.Fatalf("service number %d passed from %s to %s", s.GetNumber(), name, s.GetName())
		}
		v.service[s.GetNumber()] = s.GetName()
		for _, a := range s.GetAddresses() {
			if owner[a] != "" {
				t.Fatalf("address %s of both %s and %s", a, owner[a], s.GetName())
			}
			owner[a] = s.GetName()
		}
	}
	for number := range v.service {
		v.retired[number] = !now[number]
	}
}

func (v *invariants) registration(t *rapid.T, r *configpb.RegisterTarget, reg *configpb.Registration) {
	if reg.GetRefusal() != "" {
		return
	}
	who := fmt.Sprintf("%d/%s", reg.GetServiceNumber(), r.GetTarget())
	if held, known := v.target[reg.GetTargetNumber()]; known && held != who {
		t.Fatalf("target number %d passed from %s to %s", reg.GetTargetNumber(), held, who)
	}
	v.target[reg.GetTargetNumber()] = who
}

func decodeResult(t *rapid.T, data []byte) *configpb.Result {
	var result configpb.Result
	must(t, proto.Unmarshal(data, &result))
	return &result
}

func snapshot(t *rapid.T, m *config.Machine) []byte {
	data, err := m.Snapshot()
	must(t, err)
	return data
}

func restored(t *rapid.T, data []byte) *config.Machine {
	m := config.New()
	must(t, m.Restore(data))
	return m
}

func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := config.New()
		twin := config.New()
		v := newInvariants()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, m.Current().GetVersion())
			data, err := proto.Marshal(c)
			must(t, err)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				twin = restored(t, snapshot(t, twin))
			}
			answer := m.Apply(uint64(i), data)
			if string(answer) != string(twin.Apply(uint64(i), data)) {
				t.Fatal("the restored replica answered otherwise")
			}
			result := decodeResult(t, answer)
			if p := c.GetPatch(); p != nil {
				v.outcome(t, p, result.GetOutcome())
			}
			if r := c.GetRegister(); r != nil {
				v.registration(t, r, result.GetRegistration())
			}
			v.configuration(t, m.Current())
		}
		if string(snapshot(t, m)) != string(snapshot(t, twin)) {
			t.Fatal("snapshot and replay differ")
		}
	})
}

func TestDeltasLeadWhereVersionsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := config.New()
		for i := range rapid.IntRange(2, 30).Draw(t, "patches") {
			p := drawPatch(t, m.Current().GetVersion())
			p.Id = fmt.Sprint(i)
			data, _ := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{Patch: p}})
			m.Apply(uint64(i), data)
		}
		to := m.Current()
		from := m.Version(rapid.Uint64Range(0, to.GetVersion()).Draw(t, "from"))
		got, err := config.Merge(from, config.Diff(from, to))
		must(t, err)
		if !proto.Equal(got, to) {
			t.Fatalf("the delta leads to %v, not to %v", got, to)
		}
	})
}
