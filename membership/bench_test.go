package membership_test

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// fleet is the number of targets of the size that the design is made for.
const fleet = 12_000

func fill(d *membership.Directory, now time.Duration) {
	for n := uint32(1); n <= fleet; n++ {
		r := record(n, 1, 1)
		r.Name = "lodgement-oke-ado-07"
		r.FailureDomain = "oke-ado"
		d.Announce(now, r, membership.Direct)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFleet measures the memory of a directory and the sizes of its
// updates, in bytes.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		before := heap()
		d := membership.New(membership.Options{Epoch: 1})
		fill(d, 0)
		b.ReportMetric(float64(heap()-before)/fleet, "heap-B/target")
		full := d.Full(time.Minute, nil)
		b.ReportMetric(float64(proto.Size(full))/fleet, "wire-B/target")
		r := record(7, 1, 2)
		r.State = controlpb.TargetState_TARGET_STATE_DRAINING
		before2 := d.Sequence()
		d.Announce(0, r, membership.Direct)
		b.ReportMetric(float64(proto.Size(d.Update(0, 1, before2, nil))), "wire-B/delta")
		runtime.KeepAlive(d)
	}
}

// BenchmarkRenew measures one announcement that only renews a lease.
func BenchmarkRenew(b *testing.B) {
	d := membership.New(membership.Options{Epoch: 1})
	fill(d, 0)
	r := record(7, 1, 1)
	r.Name = "lodgement-oke-ado-07"
	r.FailureDomain = "oke-ado"
	for i := range b.N {
		d.Announce(time.Duration(i), proto.CloneOf(r), membership.Direct)
	}
}
