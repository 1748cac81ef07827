package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/membership"
)

func TestDecide(t *testing.T) {
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
		name       string
		rebalancer membership.Rebalancer
		to         string
		reason     membership.RebalanceReason
	}{
		{"a host came back", membership.Rebalancer{Own: 100, Complete: true, Others: others(100, 0)}, "c3", membership.RebalanceMove},
		{"the lowest count, by name", membership.Rebalancer{Own: 100, Complete: true, Others: others(7, 5, 5)}, "c3", membership.RebalanceMove},
		{"at the threshold", membership.Rebalancer{Own: 39, Complete: true, Others: others(11)}, "", membership.RebalanceBalanced},
		{"above the threshold", membership.Rebalancer{Own: 40, Complete: true, Others: others(10)}, "c2", membership.RebalanceMove},
		{"a host came back to many", membership.Rebalancer{Own: 107, Complete: true, Others: others(107, 107, 107, 107, 107, 107, 0)}, "c8", membership.RebalanceMove},
		{"not above the mean", membership.Rebalancer{Own: 80, Complete: true, Others: others(107, 107, 107, 0)}, "", membership.RebalanceBalanced},
		{"few subscribers", membership.Rebalancer{Own: 10, Complete: true, Others: others(0, 0)}, "", membership.RebalanceBalanced},
		{"no subscribers", membership.Rebalancer{Complete: true, Others: others(0, 0)}, "", membership.RebalanceBalanced},
		{"below the others", membership.Rebalancer{Own: 10, Complete: true, Others: others(90)}, "", membership.RebalanceBalanced},
		{"has just started", membership.Rebalancer{Own: 100, Others: others(0)}, "", membership.RebalanceIncomplete},
		{"no other host", membership.Rebalancer{Own: 100, Complete: true}, "", membership.RebalanceNoPeers},
		{"outdated counts", membership.Rebalancer{Own: 100, Complete: true, Others: stale}, "", membership.RebalanceNoPeers},
		{"within the interval", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 1, Interval: 2}, "", membership.RebalanceTooSoon},
		{"after the interval", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 2, Interval: 2}, "c2", membership.RebalanceMove},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to, reason := test.rebalancer.Decide()
			is.Equal(to, test.to)
			is.Equal(reason, test.reason)
		})
	}
}

// hostModel models control hosts that exchange their counts every few steps and move at most
// one subscriber in each step.
type hostModel struct {
	counts, reported []int
	period           int
	moves            int
}

// step lets each host decide once and reports whether any subscriber moved.
func (m *hostModel) step(number int) bool {
	if number%m.period == 0 {
		copy(m.reported, m.counts)
	}
	moved := false
	for i := range m.counts {
		s := membership.Rebalancer{Own: m.counts[i], Complete: true}
		for j, reported := range m.reported {
			if j != i {
				s.Others = append(s.Others, membership.HostLoad{Name: fmt.Sprintf("%03d", j), Subscribers: reported})
			}
		}
		to, reason := s.Decide()
		if reason != membership.RebalanceMove {
			continue
		}
		var host int
		_, _ = fmt.Sscanf(to, "%d", &host)
		m.counts[i]--
		m.counts[host]++
		m.moves++
		moved = true
	}
	return moved
}

// run runs until nothing has moved for a full period, and returns the number of steps.
func (m *hostModel) run(limit int) int {
	quiet := 0
	for number := range limit {
		quiet++
		if m.step(number) {
			quiet = 0
		}
		if quiet > m.period {
			return number - quiet + 1
		}
	}
	return limit
}

// Moves end from any distribution, with counts up to a lease old, and leave no host far
// from the mean.
func TestRebalancingConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &hostModel{
			counts: rapid.SliceOfN(rapid.IntRange(0, 300), 2, 15).Draw(t, "counts"),
			period: rapid.IntRange(1, 4).Draw(t, "period"),
		}
		m.reported = make([]int, len(m.counts))
		sum := 0
		for _, n := range m.counts {
			sum += n
		}
		const limit = 10_000
		if m.run(limit) == limit {
			t.Fatalf("moves do not end: %v", m.counts)
		}
		for _, n := range m.counts {
			if mean := sum / len(m.counts); n > mean*5/4+10 || n < mean*3/4-10 {
				t.Fatalf("%d of %d subscribers on one of %d hosts", n, sum, len(m.counts))
			}
		}
	})
}

// BenchmarkRebalance measures the return of a host to 14 others with 14,000 subscribers:
// steps until nothing moves, moves, and the distribution afterwards.
func BenchmarkRebalance(b *testing.B) {
	for _, hosts := range []int{3, 5, 10, 15} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var m *hostModel
			steps := 0
			for b.Loop() {
				m = &hostModel{counts: make([]int, hosts), reported: make([]int, hosts), period: int((membership.DefaultLease / 3) / time.Second)}
				for i := range hosts - 1 {
					m.counts[i] = 933 * hosts / (hosts - 1)
				}
				steps = m.run(100_000)
			}
			b.ReportMetric(float64(steps), "steps")
			b.ReportMetric(float64(m.moves), "moves")
			most, least := m.counts[0], m.counts[0]
			for _, n := range m.counts {
				most, least = max(most, n), min(least, n)
			}
			b.ReportMetric(float64(most), "most")
			b.ReportMetric(float64(least), "least")
		})
	}
}
