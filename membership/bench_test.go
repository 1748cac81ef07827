package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// fleetSize is the number of targets of the largest supported deployment.
const fleetSize = 12_000

func fill(d *membership.Directory, now time.Duration) {
	for n := uint32(1); n <= fleetSize; n++ {
		d.Announce(now, namedRecord(n), membership.Direct)
	}
}

// namedRecord returns a first record with names of typical length.
func namedRecord(number uint32) *controlpb.TargetRecord {
	r := record(number, 1, 1)
	r.Name = "lodgement-oke-ado-07"
	r.FailureDomain = "oke-ado"
	return r
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDirectory measures the memory of a directory and the sizes of its updates.
func BenchmarkDirectory(b *testing.B) {
	for range b.N {
		before := heapSize()
		d := membership.New(membership.Options{Epoch: 1})
		fill(d, 0)
		b.ReportMetric(float64(heapSize()-before)/fleetSize, "heap-B/target")
		full := d.Full(time.Minute, nil)
		b.ReportMetric(float64(proto.Size(full))/fleetSize, "wire-B/target")
		r := record(7, 1, 2)
		r.State = controlpb.TargetState_TARGET_STATE_DRAINING
		sequenceBefore := d.Sequence()
		d.Announce(0, r, membership.Direct)
		b.ReportMetric(float64(proto.Size(d.Update(0, 1, sequenceBefore, nil))), "wire-B/delta")
		runtime.KeepAlive(d)
	}
}

// BenchmarkSync measures the renewal of all targets by 14 control hosts at another one, three
// times a lease: bytes received and CPU time of both ends, per second.
func BenchmarkSync(b *testing.B) {
	const hosts = 15
	for _, targets := range []int{1_000, 3_000, 6_000, fleetSize} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			group := make([]*membership.Directory, hosts)
			for i := range group {
				group[i] = membership.New(membership.Options{Epoch: uint64(i + 1)})
			}
			for n := range targets {
				group[n%hosts].Announce(0, namedRecord(uint32(n+1)), membership.Direct)
			}
			var cursors [hosts]uint64
			now, bytes := time.Duration(0), 0
			round := func() {
				now += lease / 3
				for i := 1; i < hosts; i++ {
					m, cursor := group[i].Sync(now, cursors[i])
					cursors[i] = cursor
					data, err := proto.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					got := new(controlpb.DirectorySync)
					if err := proto.Unmarshal(data, got); err != nil {
						b.Fatal(err)
					}
					if reply := group[0].ApplySync(now, membership.Source(fmt.Sprint(i)), got); len(reply.GetDigests()) > 0 {
						b.Fatal("the summary does not match")
					}
				}
			}
			round() // the initial records
			bytes = 0
			for b.Loop() {
				round()
			}
			seconds := float64(b.N) * (lease / 3).Seconds()
			b.ReportMetric(float64(bytes)/seconds, "B/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-µs/s")
		})
	}
}

// BenchmarkRenew measures an announcement that only renews a lease.
func BenchmarkRenew(b *testing.B) {
	d := membership.New(membership.Options{Epoch: 1})
	fill(d, 0)
	r := namedRecord(7)
	for i := range b.N {
		d.Announce(time.Duration(i), proto.CloneOf(r), membership.Direct)
	}
}

// BenchmarkMove measures a subscriber's move to a control host with a slightly different
// directory: bytes in both directions, records, and CPU time of both ends.
func BenchmarkMove(b *testing.B) {
	for _, targets := range []uint32{1_000, 3_000, 6_000, fleetSize} {
		for _, differ := range []uint32{0, 10, 100} {
			b.Run(fmt.Sprintf("%d/%d", targets, differ), func(b *testing.B) {
				old, next := fullDirectory(1, targets), fullDirectory(2, targets)
				for n := range differ {
					r := namedRecord(n*targets/differ + 1)
					r.Sequence++
					next.Announce(lease, r, membership.Direct)
				}
				var start membership.List
				u, _ := old.Next(lease, membership.NewSubscriber(start.Position(), nil))
				full := proto.Size(u)
				start.Apply(u, time.Time{})
				var up, down, records int
				for b.Loop() {
					l := start
					p := l.Position()
					u, _ := next.Next(lease, membership.NewSubscriber(p, nil))
					l.Apply(u, time.Time{})
					up = proto.Size(&controlpb.Subscribe{DirectoryDigests: p.Digests})
					down, records = proto.Size(u), len(u.GetPut())
				}
				b.ReportMetric(float64(full), "full-B")
				b.ReportMetric(float64(up), "up-B")
				b.ReportMetric(float64(down), "down-B")
				b.ReportMetric(float64(records), "records")
			})
		}
	}
}

// BenchmarkScope measures the first list of an entry host: of all targets, and of the
// failure domains of one region of six.
func BenchmarkScope(b *testing.B) {
	const domains = 21
	var region []string
	for i := range domains / 6 {
		region = append(region, fmt.Sprint("domain-", i))
	}
	for _, targets := range []int{1_000, 3_000, 6_000, fleetSize} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			d := membership.New(membership.Options{Epoch: 1, Lease: lease})
			for n := range targets {
				r := namedRecord(uint32(n + 1))
				r.FailureDomain = fmt.Sprint("domain-", n%domains)
				d.Announce(lease, r, membership.Direct)
			}
			var all, scoped int
			for b.Loop() {
				all = proto.Size(d.Full(lease, nil))
				scoped = proto.Size(d.Full(lease, membership.NewScope(nil, region...)))
			}
			b.ReportMetric(float64(all), "all-B")
			b.ReportMetric(float64(scoped), "region-B")
		})
	}
}
