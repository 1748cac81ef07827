package config_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

const (
	historyAddress = "198.18.0.1:443"
	otherAddress   = "198.18.0.2:443"
)

// replaceRoutes applies a table that leads the address to the named services, and nowhere without
// any.
func replaceRoutes(t require, m *config.Machine, revision uint64, services ...string) *configpb.Configuration {
	table := &configpb.RouteTable{Revision: revision, Routes: []*configpb.Route{{
		Name: "other", Address: otherAddress, TimeoutMs: 1, Services: []*configpb.WeightedService{{Service: "other", Weight: 1}},
	}}}
	route := &configpb.Route{Name: "r", Address: historyAddress, TimeoutMs: 1}
	for _, name := range services {
		route.Services = append(route.Services, &configpb.WeightedService{Service: name, Weight: 1})
	}
	if len(services) > 0 {
		table.Routes = append(table.Routes, route)
	}
	r := &configpb.Replacement{Table: table, Services: append([]string{"other"}, services...)}
	command, err := proto.Marshal(&configpb.Command{Body: &configpb.Command_Replacement{Replacement: r}})
	if err != nil {
		t.Fatalf("%v", err)
	}
	before := m.Current().GetVersion()
	m.Apply(before+1, command)
	if m.Current().GetVersion() == before {
		t.Fatalf("revision %d was not applied", revision)
	}
	return m.Current()
}

// require is what the helper needs of a test.
type require interface {
	Fatalf(format string, args ...any)
}

// routeAt returns the route of an address, nil if there is none.
func routeAt(c *configpb.Configuration, address string) *configpb.Route {
	for _, r := range c.GetTable().GetRoutes() {
		if r.GetAddress() == address {
			return r
		}
	}
	return nil
}

// numbersOf returns the numbers of services by name, in order.
func numbersOf(c *configpb.Configuration, names map[string]bool) []uint32 {
	var numbers []uint32
	for _, s := range c.GetServices() {
		if names[s.GetName()] {
			numbers = append(numbers, s.GetNumber())
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Guards against resets of open flows by a host that missed versions: whichever versions it gets,
// as delta or as snapshot, from control hosts that applied each or a snapshot, it knows every
// service that a route has led to since it was added.
func TestRoutesListFormerServices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := config.New()
		var seen *configpb.Configuration
		had := map[string]bool{}
		for revision := uint64(1); revision <= 12; revision++ {
			names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 2, rapid.ID[string]).Draw(t, "services")
			current := replaceRoutes(t, m, revision, names...)
			if len(names) == 0 {
				clear(had) // the route was dropped
			}
			for _, name := range names {
				had[name] = true
			}
			if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
				m = restored(t, snapshot(t, m))
			}
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			seen = receive(t, m, seen, current)
			if seen.GetTable().GetHistory() != configpb.RouteHistory_ROUTE_HISTORY_COMPLETE {
				t.Fatalf("history %v", seen.GetTable().GetHistory())
			}
			route := routeAt(seen, historyAddress)
			if route == nil {
				continue
			}
			known := slices.Clone(route.GetFormerServices())
			for _, s := range route.GetServices() {
				known = append(known, numbersOf(seen, map[string]bool{s.GetService(): true})...)
			}
			slices.Sort(known)
			if !slices.Equal(known, numbersOf(seen, had)) {
				t.Fatalf("revision %d: the route lists %v, had %v", revision, known, numbersOf(seen, had))
			}
		}
	})
}

// receive returns what a subscriber has after an update from the machine.
func receive(t *rapid.T, m *config.Machine, seen, current *configpb.Configuration) *configpb.Configuration {
	base := m.Version(seen.GetVersion())
	if seen == nil || base == nil {
		return current
	}
	next, err := config.Merge(seen, config.Diff(base, current))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against trust in the former services of a table that a control host of an earlier release
// has made: it lists none.
func TestHistoryAfterUpgrade(t *testing.T) {
	is := is.New(t)
	m := config.New()
	replaceRoutes(t, m, 1, "a")
	replaceRoutes(t, m, 2, "b")
	state := &configpb.State{}
	data, err := m.Snapshot()
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(data, state))
	state.Configuration.Table.History = 0
	for _, r := range state.Configuration.Table.Routes {
		r.FormerServices = nil
	}
	data, err = proto.Marshal(state)
	is.NoErr(err)
	m = config.New()
	is.NoErr(m.Restore(data))
	is.Equal(m.Current().GetTable().GetHistory(), configpb.RouteHistory_ROUTE_HISTORY_UNKNOWN)
	c := replaceRoutes(t, m, 3, "c")
	is.Equal(c.GetTable().GetHistory(), configpb.RouteHistory_ROUTE_HISTORY_RECORDED)
	is.Equal(routeAt(c, historyAddress).GetFormerServices(), numbersOf(c, map[string]bool{"b": true}))
}

// Guards against routes that grow without a bound, and against a list that leaves services out
// without saying so.
func TestTooManyFormerServices(t *testing.T) {
	is := is.New(t)
	m := config.New()
	const kept = 32
	var c *configpb.Configuration
	for i := range kept + 1 {
		c = replaceRoutes(t, m, uint64(i+1), fmt.Sprint("s", i))
	}
	is.Equal(len(routeAt(c, historyAddress).GetFormerServices()), kept)
	is.True(!routeAt(c, historyAddress).GetFormerServicesOmitted())
	for i := kept + 1; i < kept+3; i++ {
		c = replaceRoutes(t, m, uint64(i+1), fmt.Sprint("s", i))
		is.Equal(len(routeAt(c, historyAddress).GetFormerServices()), 0)
		is.True(routeAt(c, historyAddress).GetFormerServicesOmitted())
	}
	is.Equal(len(routeAt(c, otherAddress).GetFormerServices()), 0) // untouched
}

// Guards against an operator's table that states former services: only the state machine knows
// them.
func TestFormerServicesOfOperatorAreIgnored(t *testing.T) {
	is := is.New(t)
	m := config.New()
	r := table(7)
	r.Table.History = configpb.RouteHistory_ROUTE_HISTORY_RECORDED
	for _, route := range r.Table.Routes {
		route.FormerServices, route.FormerServicesOmitted = []uint32{9}, true
	}
	apply(t, m, &configpb.Command{Body: &configpb.Command_Replacement{Replacement: r}})
	is.Equal(m.Current().GetTable().GetHistory(), configpb.RouteHistory_ROUTE_HISTORY_COMPLETE)
	is.True(len(m.Current().GetTable().GetRoutes()) > 0)
	for _, route := range m.Current().GetTable().GetRoutes() {
		is.Equal(len(route.GetFormerServices()), 0)
		is.True(!route.GetFormerServicesOmitted())
	}
}
