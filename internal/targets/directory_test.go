package targets

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

// drawRecords draws the next list: each record stays, changes, is removed or is added.
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
			r.Ill = rapid.Bool().Draw(t, "unhealthy")
			held[number] = r
		}
	}
	var list []*controlpb.TargetRecord
	for _, number := range slices.Sorted(maps.Keys(held)) {
		list = append(list, held[number])
	}
	return list
}

// contents formats the targets of a directory with their start times and reports.
func (d *Directory) contents(now time.Duration) string {
	out := fmt.Sprintln("unusable", d.unusable, "loads", d.loads.Len(), "incarnations", len(d.started))
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		m := d.services[service]
		for i, target := range m.targets {
			report, known := d.loads.Latest(target.Number, target.Incarnation, now)
			out += fmt.Sprintln(target, m.started[i], report, known)
		}
	}
	return out
}

// An incremental update gives the same directory as a rebuild, with the same start
// times and reports.
func TestDirectoryUpdateMatchesRebuild(t *testing.T) {
	usable := func(a netip.AddrPort) bool { return a.Addr().As4()[1] == 0 }
	rapid.Check(t, func(t *rapid.T) {
		held := map[uint32]*controlpb.TargetRecord{}
		var updated, rebuilt *Directory
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "views") {
			now += time.Duration(rapid.IntRange(0, 4_000).Draw(t, "passed")) * time.Millisecond
			list := drawRecords(t, held)
			before := updated
			updated = New(before, list, now, usable)
			rebuilt = build(rebuilt, list, now, usable)
			for number, r := range held {
				if rapid.IntRange(0, 4).Draw(t, "reports") == 0 {
					report := routing.Report{Load: uint16(number)}
					updated.loads.Record(number, r.GetIncarnation(), report, now)
					rebuilt.loads.Record(number, r.GetIncarnation(), report, now)
				}
			}
			if got, want := updated.contents(now), rebuilt.contents(now); got != want {
				t.Fatalf("updated:\n%s\nrebuilt:\n%s", got, want)
			}
			if before != nil && updated.changed == nil {
				t.Fatal("a sorted list was rebuilt")
			}
		}
	})
}
