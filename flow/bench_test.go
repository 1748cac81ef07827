package flow_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

// benchmarkFlows is the number of flows in the benchmarked tables.
const benchmarkFlows = 10_000

// perFlow reports the heap size per flow of a filled table.
func perFlow(b *testing.B, fill func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchmarkFlows, "B/flow")
	runtime.KeepAlive(table)
}

func entryWithFlows() *flow.Entry {
	e := flow.NewEntry(&fixedPlacer{agents: agents(40)}, entryA)
	for port := range uint16(benchmarkFlows) {
		e.Packet(syn(port), 0)
		e.Held(heldBy(port, firstA, false), agentA, 0)
		e.Packet(request(port, firstA), 0)
	}
	return e
}

func agentWithFlows() *flow.Agent { return agentWith(benchmarkFlows) }

func agentWith(flows int) *flow.Agent {
	a := newAgent(serving())
	for port := range uint16(flows) {
		a.FromEntry(open(entryA), syn(port), wellAfterStart)
		a.FromTarget(synAck(port, firstA), wellAfterStart)
		a.FromEntry(data(entryA), request(port, firstA), wellAfterStart)
		a.FromTarget(response(port, firstA), wellAfterStart) // frees the slot
	}
	return a
}

func BenchmarkEntryPacket(b *testing.B) {
	e := entryWithFlows()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e.Packet(request(uint16(n%benchmarkFlows), firstA), time.Second)
	}
	perFlow(b, func() any { return entryWithFlows() })
}

func BenchmarkAgentPacket(b *testing.B) {
	a := agentWithFlows()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		port := uint16(n % benchmarkFlows)
		next := request(port, firstA)
		next.Seq += uint32(n/benchmarkFlows+1) * uint32(next.Length)
		a.FromEntry(data(entryA), next, wellAfterStart)
		a.FromTarget(response(port, firstA), wellAfterStart)
	}
	perFlow(b, func() any { return agentWithFlows() })
}

// BenchmarkRegister measures the registrations that follow the addition and removal of one
// agent.
func BenchmarkRegister(b *testing.B) {
	for _, flows := range []int{10, 3_333} {
		for _, count := range []int{44, 500, 12_000} {
			b.Run(fmt.Sprintf("%d_flows_%d_agents", flows, count), func(b *testing.B) { benchmarkRegister(b, flows, count) })
		}
	}
}

func benchmarkRegister(b *testing.B, flows, count int) {
	a := agentWith(flows)
	all := manyAgents(count)
	a.SetPeers(all[1:], all, all[0])
	a.DueRegistrations(wellAfterStart)
	last := all[count-1:]
	frames, keys := 0, 0
	for n := 0; b.Loop(); n++ {
		if n%2 == 0 {
			a.ChangePeers(all[1:count-1], all[0], nil, last)
		} else {
			a.ChangePeers(all[1:], all[0], last, nil)
		}
		frames, keys = 0, 0
		for _, r := range a.DueRegistrations(wellAfterStart) {
			frames++
			keys += len(r.Keys)
		}
	}
	b.ReportMetric(float64(frames), "frames")
	b.ReportMetric(float64(keys), "keys")
}

func BenchmarkRegistry(b *testing.B) {
	for b.Loop() {
		perFlow(b, func() any {
			a := newAgent(serving())
			for port := range uint16(benchmarkFlows) {
				a.Register([]flow.Key{key(port)}, agentB, wellAfterStart)
			}
			return a
		})
	}
}

// BenchmarkLookup measures the replies of all agents to one round of queries.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{44, 500, 12_000} {
		b.Run(fmt.Sprintf("%d_agents", count), func(b *testing.B) {
			all := manyAgents(count)
			keys := []flow.Key{key(1)}
			for b.Loop() {
				b.StopTimer()
				a := flow.NewAgent(0)
				a.MarkComplete(0)
				a.SetPeers(nil, all, all[0])
				a.Lookup(entryA, key(1), wellAfterStart)
				b.StartTimer()
				for _, from := range all {
					a.HandleNotHeld(keys, from)
				}
			}
		})
	}
}
