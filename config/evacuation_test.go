package config_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

const (
	applied   = configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED
	unchanged = configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED
	invalid   = configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID
)

func begin(id, domain string) *configpb.EvacuationOrder {
	return &configpb.EvacuationOrder{Id: id, FailureDomain: domain}
}

func end(id, domain string) *configpb.EvacuationOrder {
	return &configpb.EvacuationOrder{Id: id, FailureDomain: domain, End: true}
}

func evacuationCommand(o *configpb.EvacuationOrder) *configpb.Command {
	return &configpb.Command{Body: &configpb.Command_Evacuation{Evacuation: o}}
}

func order(t *testing.T, m *config.Machine, o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	t.Helper()
	return apply(t, m, evacuationCommand(o)).GetEvacuated()
}

func evacuatedDomains(c *configpb.Configuration) string {
	var names []string
	for _, e := range c.GetEvacuations() {
		names = append(names, e.GetFailureDomain())
	}
	return strings.Join(names, " ")
}

// TestEvacuationOrders applies orders and duplicates and checks the evacuated failure
// domains after each.
func TestEvacuationOrders(t *testing.T) {
	type step struct {
		order   *configpb.EvacuationOrder
		verdict configpb.EvacuationVerdict
		active  string
	}
	for name, steps := range map[string][]step{
		"begin and end": {
			{begin("", "a"), applied, "a"},
			{end("", "a"), applied, ""},
		},
		"begin twice": {
			{begin("", "a"), applied, "a"},
			{begin("", "a"), unchanged, "a"},
			{begin("x", "a"), unchanged, "a"},
		},
		"end without begin": {
			{end("", "a"), unchanged, ""},
		},
		"two failure domains": {
			{begin("", "b"), applied, "b"},
			{begin("", "a"), applied, "a b"},
			{end("", "b"), applied, "a"},
		},
		"late duplicate of begin": {
			{begin("x", "a"), applied, "a"},
			{end("y", "a"), applied, ""},
			{begin("x", "a"), applied, ""},
		},
		"late duplicate of end": {
			{begin("x", "a"), applied, "a"},
			{end("y", "a"), applied, ""},
			{begin("z", "a"), applied, "a"},
			{end("y", "a"), applied, "a"},
		},
		"identifier of another order": {
			{begin("x", "a"), applied, "a"},
			{begin("x", "b"), invalid, "a"},
			{end("x", "a"), invalid, "a"},
		},
		"empty name":      {{begin("x", ""), invalid, ""}},
		"long name":       {{begin("x", strings.Repeat("a", 256)), invalid, ""}},
		"long identifier": {{begin(strings.Repeat("x", 129), "a"), invalid, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := config.New()
			for _, s := range steps {
				before := m.Current()
				out := order(t, m, s.order)
				is.Equal(out.GetVerdict(), s.verdict)             // step
				is.Equal(evacuatedDomains(m.Current()), s.active) // step
				is.Equal(out.GetVerdict() == invalid, len(out.GetFindings()) > 0)
				if s.active == evacuatedDomains(before) {
					is.Equal(m.Current().GetVersion(), before.GetVersion()) // nothing changed
				}
			}
		})
	}
}

func TestEvacuationRecordsItsOrder(t *testing.T) {
	is := is.New(t)
	m := config.New()
	submit(t, m, patch("p1", 0, put(service("s", "192.0.2.1:443"))))
	o := begin("x", "a")
	o.TakenUnixMs = 77
	is.Equal(order(t, m, o).GetVersion(), uint64(2))
	is.True(proto.Equal(m.Current().GetEvacuations()[0],
		&configpb.Evacuation{FailureDomain: "a", SinceVersion: 2, Order: "x", SinceUnixMs: 77}))
	is.True(config.IsEvacuated(m.Current(), "a"))
	is.True(!config.IsEvacuated(m.Current(), "b"))
	is.Equal(numberOf(m, "s"), uint32(1)) // services stay
}

// Patches and route tables do not change evacuations, and vice versa.
func TestEvacuationsSurviveOtherChanges(t *testing.T) {
	is := is.New(t)
	m := config.New()
	order(t, m, begin("", "a"))
	submit(t, m, patch("p1", 1, put(service("s", "192.0.2.1:443"))))
	is.Equal(evacuatedDomains(m.Current()), "a")
	replaced := apply(t, m, &configpb.Command{Body: &configpb.Command_Replacement{Replacement: table(7)}}).GetReplaced()
	is.Equal(replaced.GetVerdict(), configpb.ReplaceVerdict_REPLACE_VERDICT_APPLIED)
	is.Equal(evacuatedDomains(m.Current()), "a")
	order(t, m, end("", "a"))
	is.Equal(m.Current().GetTable().GetRevision(), uint64(7))
	is.Equal(numberOf(m, "s"), uint32(1))
}

// table returns a route table with one route.
func table(revision uint64) *configpb.Replacement {
	return &configpb.Replacement{Services: []string{"s"}, Table: &configpb.RouteTable{Revision: revision, Routes: []*configpb.Route{{
		Name: "r", Address: "198.18.0.1:443", TimeoutMs: 1000,
		Services: []*configpb.WeightedService{{Service: "s", Weight: 1}},
	}}}}
}

func TestPatchConflictsWithEvacuation(t *testing.T) {
	is := is.New(t)
	m := config.New()
	order(t, m, begin("", "a"))
	out := submit(t, m, patch("p1", 0, put(service("s", "192.0.2.1:443"))))
	is.Equal(out.GetVerdict(), configpb.Verdict_VERDICT_REFUSED_BASE)
	is.Equal(out.GetFindings()[0].GetText(), "an order to evacuate a failure domain turned version 0 into version 1")
}

func TestEvacuationsAreBounded(t *testing.T) {
	is := is.New(t)
	m := config.New()
	for i := range config.MaxEvacuations {
		is.Equal(order(t, m, begin("", fmt.Sprintf("d%d", i))).GetVerdict(), applied)
	}
	is.Equal(order(t, m, begin("", "one more")).GetVerdict(), invalid)
	is.Equal(order(t, m, begin("", "d0")).GetVerdict(), unchanged)
	for i := range 2 * config.MaxHandledOrders {
		order(t, m, begin(fmt.Sprintf("o%d", i), "d0"))
	}
	var state configpb.State
	data, err := m.Snapshot()
	must(t, err)
	must(t, proto.Unmarshal(data, &state))
	is.Equal(len(state.GetEvacuationOrders()), config.MaxHandledOrders)
	is.Equal(state.GetEvacuationOrders()[0].GetOrder().GetId(), fmt.Sprintf("o%d", config.MaxHandledOrders)) // the oldest are evicted
}

// TestFilteredConfigurationKeepsEvacuations guards against agents that miss an evacuation.
func TestFilteredConfigurationKeepsEvacuations(t *testing.T) {
	is := is.New(t)
	m := config.New()
	before := m.Current()
	order(t, m, begin("", "a"))
	filtered := config.FilterServices(m.Current(), map[uint32]bool{9: true})
	is.True(config.IsEvacuated(filtered, "a"))
	u := config.Diff(config.FilterServices(before, map[uint32]bool{9: true}), filtered)
	merged, err := config.Merge(config.FilterServices(before, nil), u)
	must(t, err)
	is.True(config.IsEvacuated(merged, "a"))
}

// TestEvacuationProperties applies random orders and duplicates, and compares the evacuated
// failure domains with a model, deltas with versions, and a restored replica.
func TestEvacuationProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := config.New()
		want := map[string]bool{}
		handled := map[string]*configpb.EvacuationOrder{}
		versions := []*configpb.Configuration{m.Current()}
		for range rapid.IntRange(1, 40).Draw(t, "orders") {
			o := &configpb.EvacuationOrder{
				Id:            rapid.SampledFrom([]string{"", "", "1", "2", "3", "4", "5", "6"}).Draw(t, "id"),
				FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				End:           rapid.Bool().Draw(t, "end"),
			}
			if handled[o.GetId()] == nil {
				want[o.GetFailureDomain()] = !o.GetEnd()
			}
			if o.GetId() != "" && handled[o.GetId()] == nil {
				handled[o.GetId()] = o
			}
			data, err := proto.Marshal(evacuationCommand(o))
			must(t, err)
			replica := restored(t, snapshot(t, m))
			result := m.Apply(1, data)
			if !slices.Equal(result, replica.Apply(1, data)) {
				t.Fatalf("a restored replica returns another result for %v", o)
			}
			if !proto.Equal(m.Current(), replica.Current()) {
				t.Fatalf("a restored replica has another configuration after %v", o)
			}
			newest := versions[len(versions)-1]
			switch m.Current().GetVersion() {
			case newest.GetVersion():
			case newest.GetVersion() + 1:
				versions = append(versions, m.Current())
			default:
				t.Fatalf("version %d after %d", m.Current().GetVersion(), newest.GetVersion())
			}
			for _, domain := range []string{"a", "b", "c"} {
				if config.IsEvacuated(m.Current(), domain) != want[domain] {
					t.Fatalf("%s: evacuated %v after %v", domain, !want[domain], o)
				}
			}
		}
		from := rapid.SampledFrom(versions).Draw(t, "from")
		merged, err := config.Merge(from, config.Diff(from, m.Current()))
		must(t, err)
		if !proto.Equal(merged, m.Current()) {
			t.Fatalf("the delta from version %d does not lead to the newest version", from.GetVersion())
		}
	})
}
