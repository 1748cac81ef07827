package routing_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"eelgrasswharf.example/eelgrasswharf/routing"
)

var sizes = []int{12, 120, 1200, 12_000}

func BenchmarkChoose(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := targets(n)
			list[0].Age = time.Second
			table, loads := build(nil, list)
			for _, target := range list {
				loads.Record(target.Number, 1, routing.Report{Load: uint16(target.Number % 1000)}, start)
			}
			hash := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				hash += 0x9e3779b97f4a7c15
				table.Choose(hash, start)
			}
		})
	}
}

// BenchmarkRebuild measures the rebuild of the table of one service with n targets.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := targets(n)
			_, loads := build(nil, list)
			b.ReportAllocs()
			for b.Loop() {
				loads.Decay()
				routing.NewTable(nil, service, list, loads, start)
			}
		})
	}
}

// BenchmarkTableMemory reports the heap used by a table and its reports.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := targets(n)
			var held uint64
			for b.Loop() {
				before := heap()
				table, loads := build(nil, list)
				held = heap() - before
				runtime.KeepAlive(table)
				runtime.KeepAlive(loads)
			}
			b.ReportMetric(float64(held)/float64(n), "B/target")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChooseRanked measures the choice of a target for a new flow.
func BenchmarkChooseRanked(b *testing.B) {
	for _, n := range []int{12, 500, 12_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			table, _ := build(nil, targets(n))
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				table.ChooseRanked(rankFor(i), 0, i, start)
			}
		})
	}
}
