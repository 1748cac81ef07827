package entryd

import (
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/internal/targets"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

var targetCounts = []int{12, 120, 1200, 12_000}

// records returns n records of one service.
func records(n int) []*controlpb.TargetRecord {
	list := make([]*controlpb.TargetRecord, n)
	for i := range list {
		ip := netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)})
		list[i] = record(lodgement, uint32(i+1), netip.AddrPortFrom(ip, 7000))
	}
	return list
}

// BenchmarkDecide measures the handling of a datagram without system calls.
func BenchmarkDecide(b *testing.B) {
	for _, n := range targetCounts {
		r := start(b, quietOptions())
		r.apply(view(1, services(serviceAt(lodgement, publicOne)), records(n)...))
		target := connid.Target{Address: netip.MustParseAddrPort("127.0.0.1:7000"), Number: 1, Incarnation: 1}
		caller := netip.MustParseAddrPort("192.0.2.200:50000")

		for _, bb := range []struct {
			name   string
			packet []byte
		}{
			{"established", append(shortPacket(b, oneSecret, target, ""), make([]byte, 1200)...)},
			// No target replies, so after a while all of them are unresponsive.
			{"first", initialPacket("made-up-id")},
			{"refused", append([]byte{0x40}, make([]byte, 1200)...)},
		} {
			b.Run(bb.name+"/"+strconv.Itoa(n), func(b *testing.B) {
				w := publicWorkerOf(r, publicOne)
				length := copy(w.buf[frame.HeaderLength:], bb.packet)
				b.ReportAllocs()
				for b.Loop() {
					w.frame(length, caller)
				}
			})
		}
		b.Run("first answered/"+strconv.Itoa(n), func(b *testing.B) {
			w := publicWorkerOf(r, publicOne)
			length := copy(w.buf[frame.HeaderLength:], initialPacket("made-up-id"))
			loads := r.f.tables.Load().loads
			b.ReportAllocs()
			for b.Loop() {
				w.frame(length, caller)
				loads.Record(w.header.Target, 1, routing.Report{}, r.f.now())
			}
		})
		b.Run("reply/"+strconv.Itoa(n), func(b *testing.B) {
			w := &frameWorker{f: r.f}
			h := frame.Header{Kind: frame.Reply, Service: lodgement, Caller: caller, Public: publicOne, Target: uint32(n), Incarnation: 1}
			length := copy(w.buf[:], encodeFrame(b, h, make([]byte, 1200)))
			agent := netip.MustParseAddrPort("127.0.0.1:7000")
			b.ReportAllocs()
			for b.Loop() {
				w.validateReply(length, agent)
			}
		})
	}
}

// BenchmarkSystemCalls measures one datagram through loopback sockets in one goroutine,
// from the caller's write to the agent's read. "bare" is without the decision.
func BenchmarkSystemCalls(b *testing.B) {
	r := start(b, testOptions())
	r.apply(view(1, services(serviceAt(lodgement, publicOne))))
	agent, caller, public := newSocket(b), newSocket(b), newSocket(b)
	target := connid.Target{Address: agent.addr(), Number: 1, Incarnation: 1}
	packet := append(shortPacket(b, oneSecret, target, ""), make([]byte, 1200)...)
	w := publicWorkerOf(r, publicOne)
	w.conn = public.conn
	to, from := agent.addr(), caller.addr()
	into := make([]byte, bufferLength)

	pass := func(b *testing.B, forward func(n int)) {
		b.ReportAllocs()
		for b.Loop() {
			caller.send(packet, public.addr())
			n, _, err := w.conn.ReadFromUDPAddrPort(w.buf[frame.HeaderLength:])
			if err != nil {
				b.Fatal(err)
			}
			forward(n)
			if _, _, err := agent.conn.ReadFromUDPAddrPort(into); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("forward", func(b *testing.B) {
		pass(b, func(n int) { w.handle(n, from) })
	})
	b.Run("bare", func(b *testing.B) {
		pass(b, func(n int) {
			if _, err := w.frameConn.WriteToUDPAddrPort(w.buf[:frame.HeaderLength+n], to); err != nil {
				b.Fatal(err)
			}
		})
	})
}

// fleet starts a forwarder with the proportions of 12,000 targets behind 5,500
// addresses and 12 targets per service. Its sockets are closed.
func fleet(b *testing.B, n int) (*harness, *View) {
	r := start(b, quietOptions())
	list := records(n)
	addresses := publicAddresses(n * 5500 / 12_000)
	perService := len(addresses) / (n / 12)
	var s []*configpb.Service
	for i := range n / 12 {
		s = append(s, serviceAt(uint32(i+1), addresses[i*perService:(i+1)*perService]...))
	}
	for i, target := range list {
		target.Service = uint32(i/12 + 1)
	}
	v := view(1, s, list...)
	r.apply(v)
	stopEarly(r)
	return r, v
}

// BenchmarkApply measures a change of the directory: of one record, of one added or
// removed target, and with a full rebuild.
func BenchmarkApply(b *testing.B) {
	for _, n := range targetCounts {
		r, v := fleet(b, n)
		all := v.Targets
		without := slices.Delete(slices.Clone(all), n/2, n/2+1)
		modified := slices.Clone(all)
		modified[n/2] = proto.CloneOf(all[n/2])
		modified[n/2].Ill = true
		run := func(name string, others []*controlpb.TargetRecord, prepare func()) {
			b.Run(name+"/"+strconv.Itoa(n), func(b *testing.B) {
				b.ReportAllocs()
				lists := [][]*controlpb.TargetRecord{others, all}
				for i := 0; b.Loop(); i++ {
					prepare()
					r.f.apply(b.Context(), &View{Config: v.Config, Targets: lists[i%2]})
				}
			})
		}
		run("record", modified, func() {})
		run("target", without, func() {})
		run("rebuild", modified, func() { r.f.directory = targets.New(nil, []*controlpb.TargetRecord{all[0], all[0]}, 0, r.f.usable) })
	}
}

// BenchmarkRefresh measures the periodic refresh of an idle entry host.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r, _ := fleet(b, n)
			b.ReportAllocs()
			for b.Loop() {
				r.f.refresh(b.Context())
			}
		})
	}
}

// BenchmarkMemory reports heap and stacks per target and per public address. It
// includes the records, which the subscriber owns, but not the kernel's socket buffers.
func BenchmarkMemory(b *testing.B) {
	// With fewer targets the memory of the process dominates.
	for _, n := range []int{120, 1200, 6000, 12_000} {
		b.Run("target/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				before := memory()
				list := records(n)
				held := memory() - before
				r := start(b, quietOptions())
				r.apply(view(1, services(serviceAt(lodgement, publicOne))))
				before = memory()
				r.apply(view(1, services(serviceAt(lodgement, publicOne)), list...))
				held += memory() - before
				b.ReportMetric(float64(held)/float64(n), "B/target")
				stopEarly(r)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, n := range []int{10, 100, 1000, 5500} {
		b.Run("address/"+strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				r := start(b, quietOptions())
				r.apply(view(1, nil))
				before := memory()
				r.apply(view(2, services(serviceAt(lodgement, publicAddresses(n)...))))
				held := memory() - before
				b.ReportMetric(float64(held)/float64(n), "B/address")
				stopEarly(r)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func publicAddresses(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		ip := netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)})
		list[i] = netip.AddrPortFrom(ip, 443)
	}
	return list
}

// quietOptions are options without periodic refreshes.
func quietOptions() Options {
	o := testOptions()
	o.RefreshInterval = time.Hour
	o.Log = zap.NewNop()
	return o
}

// stopEarly stops a forwarder before the end of its test.
func stopEarly(r *harness) {
	r.stop()
	if err := <-r.done; err != nil {
		r.tb.Fatal(err)
	}
	close(r.done)
}

func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
