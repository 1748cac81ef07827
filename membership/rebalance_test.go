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
			out = append(out, membership.HostLoad{Name: fmt.Sprint("c", i+2), Subscribers: n, Complete: true})
		}
		return out
	}
	stale := others(0)
	stale[0].Age = membership.DefaultLease + 1
	starting := others(0)
	starting[0].Complete = false
	sent := others(0, 0)
	sent[0].Sent = 60
	to := func(moves ...any) []membership.Moves {
		var out []membership.Moves
		for i := 0; i < len(moves); i += 2 {
			out = append(out, membership.Moves{Host: moves[i].(string), Subscribers: moves[i+1].(int)})
		}
		return out
	}
	tests := []struct {
		name       string
		rebalancer membership.Rebalancer
		to         []membership.Moves
		reason     membership.RebalanceReason
	}{
		{"a host came back", membership.Rebalancer{Own: 100, Complete: true, Others: others(100, 0)}, to("c3", 33), membership.RebalanceMove},
		{"in proportion to what each lacks", membership.Rebalancer{Own: 100, Complete: true, Others: others(10, 20, 30)}, to("c2", 30, "c3", 20, "c4", 10), membership.RebalanceMove},
		{"few to the lowest counts", membership.Rebalancer{Own: 51, Complete: true, Others: others(7, 5, 5, 51, 51, 51, 51)}, to("c3", 6, "c4", 6, "c2", 5), membership.RebalanceMove},
		{"no more than a host admits", membership.Rebalancer{Own: 2000, Complete: true, Others: others(0, 0)}, to("c2", 50, "c3", 50), membership.RebalanceMove},
		{"at the threshold", membership.Rebalancer{Own: 39, Complete: true, Others: others(11)}, nil, membership.RebalanceBalanced},
		{"above the threshold", membership.Rebalancer{Own: 40, Complete: true, Others: others(10)}, to("c2", 15), membership.RebalanceMove},
		{"a host came back to many", membership.Rebalancer{Own: 107, Complete: true, Others: others(107, 107, 107, 107, 107, 107, 0)}, to("c8", 13), membership.RebalanceMove},
		{"not above the mean", membership.Rebalancer{Own: 80, Complete: true, Others: others(107, 107, 107, 0)}, nil, membership.RebalanceBalanced},
		{"few subscribers", membership.Rebalancer{Own: 10, Complete: true, Others: others(0, 0)}, nil, membership.RebalanceBalanced},
		{"no subscribers", membership.Rebalancer{Complete: true, Others: others(0, 0)}, nil, membership.RebalanceBalanced},
		{"below the others", membership.Rebalancer{Own: 10, Complete: true, Others: others(90)}, nil, membership.RebalanceBalanced},
		{"all have just started", membership.Rebalancer{Own: 100, Others: starting}, nil, membership.RebalanceIncomplete},
		{"the other host has just started", membership.Rebalancer{Own: 100, Complete: true, Others: starting}, nil, membership.RebalanceNoPeers},
		{"has just started", membership.Rebalancer{Own: 100, Others: others(0)}, nil, membership.RebalanceIncomplete},
		{"others are on their way", membership.Rebalancer{Own: 90, Complete: true, Others: sent}, to("c3", 40), membership.RebalanceMove},
		{"no other host", membership.Rebalancer{Own: 100, Complete: true}, nil, membership.RebalanceNoPeers},
		{"outdated counts", membership.Rebalancer{Own: 100, Complete: true, Others: stale}, nil, membership.RebalanceNoPeers},
		{"within the interval", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 1, Interval: 2}, nil, membership.RebalanceTooSoon},
		{"after the interval", membership.Rebalancer{Own: 100, Complete: true, Others: others(0), SinceMove: 2, Interval: 2}, to("c2", 50), membership.RebalanceMove},
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

func TestRedirect(t *testing.T) {
	host := func(name string, subscribers int) membership.HostLoad {
		return membership.HostLoad{Name: name, Subscribers: subscribers}
	}
	old := host("c2", 0)
	old.Age = membership.DefaultLease + 1
	filling := host("c2", 0)
	filling.Sent = 40
	for _, test := range []struct {
		name   string
		own    int
		others []membership.HostLoad
		to     string
	}{
		{"to the fewest", 40, []membership.HostLoad{host("c2", 20), host("c3", 4), host("c4", 9)}, "c3"},
		{"others are on their way", 60, []membership.HostLoad{filling, host("c3", 4)}, "c3"},
		{"few", 8, []membership.HostLoad{host("c2", 1)}, ""},
		{"at the threshold", 21, []membership.HostLoad{host("c2", 0)}, ""},
		{"above the threshold", 22, []membership.HostLoad{host("c2", 0)}, "c2"},
		{"another one far below", 80, []membership.HostLoad{host("c2", 80), host("c3", 80), host("c4", 0)}, ""},
		{"below the mean", 30, []membership.HostLoad{host("c2", 0), host("c3", 90)}, ""},
		{"alone", 100, nil, ""},
		{"an outdated count", 100, []membership.HostLoad{old}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := membership.Rebalancer{Own: test.own, Others: test.others}
			to, redirect := r.Redirect()
			is.Equal(to, test.to)
			is.Equal(redirect, test.to != "")
		})
	}
}

// hostModel models control hosts that exchange their counts every few steps. sent has the
// subscribers that each has moved to each other one since.
type hostModel struct {
	counts, reported []int
	sent             [][]int
	period           int
	moves            int
}

// step lets each host decide once and reports whether any subscriber moved.
func (m *hostModel) step(number int) bool {
	if number%m.period == 0 {
		copy(m.reported, m.counts)
		m.sent = make([][]int, len(m.counts))
		for i := range m.sent {
			m.sent[i] = make([]int, len(m.counts))
		}
	}
	moved := false
	for i := range m.counts {
		s := membership.Rebalancer{Own: m.counts[i], Complete: true}
		for j, reported := range m.reported {
			if j != i {
				s.Others = append(s.Others, membership.HostLoad{Name: fmt.Sprintf("%03d", j), Subscribers: reported, Sent: m.sent[i][j], Complete: true})
			}
		}
		moves, reason := s.Decide()
		if reason != membership.RebalanceMove {
			continue
		}
		for _, move := range moves {
			var host int
			_, _ = fmt.Sscanf(move.Host, "%d", &host)
			m.counts[i] -= move.Subscribers
			m.counts[host] += move.Subscribers
			m.sent[i][host] += move.Subscribers
			m.moves += move.Subscribers
		}
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
