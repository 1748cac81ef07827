package flowd

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// changedTargets is the size of a release step.
const changedTargets = 89

// largeView returns a view of two services with n targets that run since long ago.
func largeView(n int) *subscriber.View {
	v := newTestView(nil)
	var records []*controlpb.TargetRecord
	for i := range n {
		ip := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		records = append(records, &controlpb.TargetRecord{
			Number: uint32(i + 1), Incarnation: 1, Service: uint32(1 + i%5/4), Name: fmt.Sprint("t", i),
			Address: netip.AddrPortFrom(ip, 8172).String(), AgeMs: 3_600_000,
			State: controlpb.TargetState_TARGET_STATE_SERVING,
		})
	}
	return subscriber.NewView(v.Config, records, time.Now())
}

// withRecords returns the view with other records.
func withRecords(v *subscriber.View, records []*controlpb.TargetRecord) *subscriber.View {
	return subscriber.NewView(v.Config, records, time.Now())
}

// BenchmarkPlacerApply measures a change of one record, of one target and of many targets.
func BenchmarkPlacerApply(b *testing.B) {
	for _, n := range []int{120, 1_200, 12_000} {
		v := largeView(n)
		modified := slices.Clone(v.Targets)
		modified[n/2] = proto.CloneOf(v.Targets[n/2])
		modified[n/2].Ill = true
		for name, other := range map[string][]*controlpb.TargetRecord{
			"record":  modified,
			"target":  slices.Delete(slices.Clone(v.Targets), n/2, n/2+1),
			"release": v.Targets[:n-changedTargets],
		} {
			b.Run(name+"/"+strconv.Itoa(n), func(b *testing.B) {
				p := newTestPlacer(v)
				views := []*subscriber.View{withRecords(v, other), v}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					p.apply(views[i%2], time.Minute)
				}
			})
		}
	}
}

// BenchmarkPlacerRefresh measures the update of tables at rest.
func BenchmarkPlacerRefresh(b *testing.B) {
	for _, n := range []int{12, 120, 1_200, 12_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			p := newTestPlacer(largeView(n))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.refresh(time.Minute, i%decayRounds == 0)
			}
		})
	}
}
