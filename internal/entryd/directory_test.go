package entryd

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/routing"
)

// drawRecords draws the next list of records: each number keeps its message,
// changes, goes or comes.
func drawRecords(t *rapid.T, held map[uint32]*controlpb.TargetRecord) []*controlpb.TargetRecord {
	for number := uint32(1); number <= 12; number++ {
		event := rapid.IntRange(0, 9).Draw(t, "event")
		switch {
		case event == 0:
			delete(held, number)
		case event <= 2:
			ip := netip.AddrFrom4([4]byte{127, byte(rapid.IntRange(0, 1).Draw(t, "network")), 0, 1})
			r := record(uint32(rapid.IntRange(1, 3).Draw(t, "service")), number, netip.AddrPortFrom(ip, 7000))
			r.Incarnation = uint32(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			r.Sequence = uint64(rapid.IntRange(1, 5).Draw(t, "sequence"))
			r.AgeMs = uint64(rapid.IntRange(0, 5_000).Draw(t, "age"))
			r.Ill = rapid.Bool().Draw(t, "ill")
			held[number] = r
		}
	}
	var list []*controlpb.TargetRecord
	for _, number := range slices.Sorted(maps.Keys(held)) {
		list = append(list, held[number])
	}
	return list
}

// contents writes a directory down: targets with their starts and reports.
func (d *directory) contents(now time.Duration) string {
	out := fmt.Sprintln("unusable", d.unusable, "loads", d.loads.Len(), "lives", len(d.started))
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		m := d.services[service]
		for i, target := range m.targets {
			report, known := d.loads.Latest(target.Number, target.Incarnation, now)
			out += fmt.Sprintln(target, m.started[i], report, known)
		}
	}
	return out
}

// TestDirectoryFollowsAsIfMadeAnew applies drawn lists of records one after the
// other, once by their differences and once making everything anew: both end
// the same, with the same cold starts and the same reports.
func TestDirectoryFollowsAsIfMadeAnew(t *testing.T) {
	usable := func(a netip.AddrPort) bool { return a.Addr().As4()[1] == 0 }
	rapid.Check(t, func(t *rapid.T) {
		held := map[uint32]*controlpb.TargetRecord{}
		var followed, whole *directory
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "views") {
			now += time.Duration(rapid.IntRange(0, 4_000).Draw(t, "passed")) * time.Millisecond
			list := drawRecords(t, held)
			before := followed
			followed = directoryFrom(before, list, now, usable)
			whole = wholeDirectory(whole, list, now, usable)
			for number, r := range held {
				if rapid.IntRange(0, 4).Draw(t, "reports") == 0 {
					report := routing.Report{Load: uint16(number)}
					followed.loads.Record(number, r.GetIncarnation(), report, now)
					whole.loads.Record(number, r.GetIncarnation(), report, now)
				}
			}
			if got, want := followed.contents(now), whole.contents(now); got != want {
				t.Fatalf("followed:\n%s\nmade anew:\n%s", got, want)
			}
			if before != nil && followed.changed == nil {
				t.Fatal("an ascending list was not followed")
			}
		}
	})
}
