package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/membership"
)

func TestSpreadDecides(t *testing.T) {
	others := func(counts ...int) []membership.HostLoad {
		var out []membership.HostLoad
		for i, n := range counts {
			out = append(out, membership.HostLoad{Name: fmt.Sprint("c", i+2), Subscribers: n})
		}
		return out
	}
	stale := others(0)
	stale[0].Age = membership.DefaultLease + 1
	tests := []struct {
		name   string
		spread membership.Rebalancer
		to     string
		reason membership.RebalanceReason
	}{
		{"a host came back", membership.Rebalancer{Own: 100, Complete: true, Others: others(100, 0)}, "c3", membership.RebalanceMove},
		{"the least one, by name", membership.Rebalancer{Own: 100, Complete: true, Others: others(7, 5, 5)}, "c3", membership.RebalanceMove},
		{"just over", membership.Rebalancer{Own: 39, Complete: true, Others: others(11)}, "", membership.RebalanceBalanced},
		{"one more", membership.Rebalancer{Own: 40, Complete: true, Others: others(10)}, "c2", membership.RebalanceMove},
		{"a host came back to many", membership.Rebalancer{Own: 107, Complete: true, Others: others(107, 107, 107, 107, 107, 107, 0)}, "c8", membership.RebalanceMove},
		{"not over the mean", membership.Rebalancer{Own: 80, Complete: true, Others: others(107, 107, 107, 0)}, "", membership.RebalanceBalanced},
		{"few subscribers", membership.Rebalancer{Own: 10, Complete: true, Others: others(0, 0)}, "", membership.RebalanceBalanced},
		{"none at all", membership.Rebalancer{Complete: true, Others: others(0, 0)}, "", membership.RebalanceBalanced},
		{"less than the others", membership.Rebalancer{Own: 10, Complete: true, Others: others(90)}, "", membership.RebalanceBalanced},
		{"has just started", membership.Rebalancer{Own: 100, Others: others(0)}, "", membership.RebalanceIncomplete},
		{"no other", membership.Rebalancer{Own: 100, Complete: true}, "", membership.RebalanceNoPeers},
		{"others are silent", membership.Rebalancer{Own: 100, Complete: true, Others: stale}, "", membership.RebalanceNoPeers},
		{"one moved just now", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 1, Pause: 2}, "", membership.RebalancePaused},
		{"the pause is over", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 2, Pause: 2}, "c2", membership.RebalanceMove},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to, reason := test.spread.Decide()
			is.Equal(to, test.to)
			is.Equal(reason, test.reason)
		})
	}
}

// fleetOfHosts is a model of control hosts that tell each other their figures
// every few steps, and may let one subscriber go in each.
type fleetOfHosts struct {
	counts, told []int
	period       int
	moves        int
}

// step lets each host decide once and reports whether one of them moved any.
func (f *fleetOfHosts) step(number int) bool {
	if number%f.period == 0 {
		copy(f.told, f.counts)
	}
	moved := false
	for i := range f.counts {
		s := membership.Rebalancer{Own: f.counts[i], Complete: true}
		for j, told := range f.told {
			if j != i {
				s.Others = append(s.Others, membership.HostLoad{Name: fmt.Sprintf("%03d", j), Subscribers: told})
			}
		}
		to, reason := s.Decide()
		if reason != membership.RebalanceMove {
			continue
		}
		var host int
		_, _ = fmt.Sscanf(to, "%d", &host)
		f.counts[i]--
		f.counts[host]++
		f.moves++
		moved = true
	}
	return moved
}

// run goes on until nobody has moved for a whole period, and returns the steps.
func (f *fleetOfHosts) run(limit int) int {
	quiet := 0
	for number := range limit {
		quiet++
		if f.step(number) {
			quiet = 0
		}
		if quiet > f.period {
			return number - quiet + 1
		}
	}
	return limit
}

// TestMovesEnd: from any spread, with figures of any age up to a lease, moves come
// to an end and leave no host well over the mean or well below.
func TestMovesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetOfHosts{
			counts: rapid.SliceOfN(rapid.IntRange(0, 300), 2, 15).Draw(t, "counts"),
			period: rapid.IntRange(1, 4).Draw(t, "period"),
		}
		f.told = make([]int, len(f.counts))
		sum := 0
		for _, n := range f.counts {
			sum += n
		}
		const limit = 10_000
		if f.run(limit) == limit {
			t.Fatalf("moves never end: %v", f.counts)
		}
		for _, n := range f.counts {
			if mean := sum / len(f.counts); n > mean*5/4+10 || n < mean*3/4-10 {
				t.Fatalf("%d of %d subscribers on one of %d hosts", n, sum, len(f.counts))
			}
		}
	})
}

// BenchmarkSpread measures a host that comes back to 14 others with all 14,000
// subscribers: seconds until nothing moves any more at a move a second for each
// host, moves, and the greatest share afterwards.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{3, 5, 10, 15} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var f *fleetOfHosts
			steps := 0
			for b.Loop() {
				f = &fleetOfHosts{counts: make([]int, hosts), told: make([]int, hosts), period: int((membership.DefaultLease / 3) / time.Second)}
				for i := range hosts - 1 {
					f.counts[i] = 933 * hosts / (hosts - 1)
				}
				steps = f.run(100_000)
			}
			b.ReportMetric(float64(steps), "steps")
			b.ReportMetric(float64(f.moves), "moves")
			most, least := f.counts[0], f.counts[0]
			for _, n := range f.counts {
				most, least = max(most, n), min(least, n)
			}
			b.ReportMetric(float64(most), "most")
			b.ReportMetric(float64(least), "least")
		})
	}
}
