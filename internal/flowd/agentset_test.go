package flowd

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
)

// agentsOf returns the agents of a list of records by service.
func agentsOf(records []*controlpb.TargetRecord) map[uint32]map[flow.Endpoint]bool {
	out := map[uint32]map[flow.Endpoint]bool{}
	for _, record := range records {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			continue
		}
		if out[t.Service] == nil {
			out[t.Service] = map[flow.Endpoint]bool{}
		}
		out[t.Service][flow.EndpointOf(t.Address)] = true
	}
	return out
}

// Changes give the same agents as a new set of all records, also where targets share an
// address or it goes to another service.
func TestAgentSetMatchesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, held := newAgentSet(), map[uint32]*controlpb.TargetRecord{}
		var previous []*controlpb.TargetRecord
		known := map[flow.Endpoint]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "views") {
			for number := uint32(1); number <= 8; number++ {
				switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
				case event == 0:
					delete(held, number)
				case event <= 2:
					address := fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 6).Draw(t, "address"))
					if rapid.IntRange(0, 9).Draw(t, "invalid") == 0 {
						address = "nowhere"
					}
					held[number] = &controlpb.TargetRecord{Number: number, Address: address, Service: uint32(rapid.IntRange(1, 2).Draw(t, "service"))}
				}
			}
			var list []*controlpb.TargetRecord
			for _, number := range slices.Sorted(maps.Keys(held)) {
				list = append(list, held[number])
			}
			change := set.apply(targets.Diff(previous, list))
			previous = list
			for _, agent := range change.added {
				known[agent] = true
			}
			for _, agent := range change.removed {
				delete(known, agent)
			}
			want := agentsOf(list)
			got := map[uint32]map[flow.Endpoint]bool{}
			for service, l := range set.services {
				got[service] = map[flow.Endpoint]bool{}
				for _, agent := range l.agents {
					if got[service][agent] {
						t.Fatalf("agent %v is listed twice", agent)
					}
					got[service][agent] = true
				}
			}
			if !maps.EqualFunc(got, want, maps.Equal) {
				t.Fatalf("agents %v, want %v", got, want)
			}
			all := map[flow.Endpoint]bool{}
			for _, agents := range want {
				maps.Copy(all, agents)
			}
			if !maps.Equal(known, all) {
				t.Fatalf("the changes lead to %v, want %v", known, all)
			}
			for agent := range all {
				if !set.has(agent) {
					t.Fatalf("agent %v is not known", agent)
				}
			}
		}
	})
}
