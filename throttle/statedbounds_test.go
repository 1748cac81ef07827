package throttle_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUrgentRouteNearCapacity guards against urgent requests that are refused although the slots
// could serve them all: at four times all rates they have 0.96 of the slots' work.
func TestUrgentRouteNearCapacity(t *testing.T) {
	for size := range sizes {
		t.Run(fmt.Sprint(sizes[size]), func(t *testing.T) {
			is := is.New(t)
			c := overload(size, 4, 0)
			c.routes = urgentAtCapacity
			r, alone := simulate(c, newRoutesAndLevels), simulate(c, newAgentsAlone)
			logResult(t, "routes and levels", &r)
			logResult(t, "agents alone", &alone)
			t.Logf("of the best order %.3f, alone %.3f", r.ofBest(c, time.Second, 4*time.Second), alone.ofBest(c, time.Second, 4*time.Second))
			is.True(r.share(0) >= 0.97)
			is.True(r.domainSpread() <= maxSpread)
			is.True(r.idleWhileClosed <= maxIdle)
			is.True(r.ofBest(c, time.Second, 4*time.Second) >= 0.95)
		})
	}
}

// TestAgentsAtHalfAMillisecond guards against agents that are kept from urgent openings by those
// that they return, where each opening takes half a millisecond of their time.
func TestAgentsAtHalfAMillisecond(t *testing.T) {
	for _, d := range []struct {
		size   int
		factor float64
		least  uint32
		routes []simRoute
	}{{1, 5, 2, nil}, {1, 4, 0, nil}, {1, 5, 2, urgentAtCapacity}, {1, 4, 0, urgentAtCapacity}} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			is := is.New(t)
			c := overload(d.size, d.factor, d.least)
			c.routes, c.agentTime = d.routes, 500*time.Microsecond
			r, alone := simulate(c, newRoutesAndLevels), simulate(c, newAgentsAlone)
			logResult(t, "routes and levels", &r)
			logResult(t, "agents alone", &alone)
			t.Logf("of the best order %.3f", r.ofBest(c, time.Second, 4*time.Second))
			is.True(r.share(0) >= 0.97)
			is.True(r.ofBest(c, time.Second, 4*time.Second) >= 0.95)
			is.True(r.domainSpread() <= maxSpread)
		})
	}
}

// TestNoWorkForLateRequests guards against slots that work on answers which come later than the
// objective after the request, not only after its last attempt.
func TestNoWorkForLateRequests(t *testing.T) {
	for name, d := range map[string]struct {
		factor float64
		least  uint32
	}{"less urgent x5": {5, 2}, "all x4": {4, 0}} {
		for size := range sizes {
			t.Run(fmt.Sprint(name, sizes[size]), func(t *testing.T) {
				is := is.New(t)
				c := overload(size, d.factor, d.least)
				r := simulate(c, newRoutesAndLevels)
				logResult(t, "routes and levels", &r)
				is.True(r.lateShare() <= maxWasted)
			})
		}
	}
}

// TestUrgentOpeningsInPartition guards against urgent openings that entry hosts refuse while half
// of the hosts and targets lose the others and only less urgent ones come in excess.
func TestUrgentOpeningsInPartition(t *testing.T) {
	for name, routes := range map[string][]simRoute{"within capacity": nil, "at capacity": urgentAtCapacity} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := overload(1, 5, 2)
			c.routes = routes
			c.cut = func(host, target int, now time.Duration) bool {
				return host%2 != target%2 && now >= 1500*ms && now < 3*time.Second
			}
			r := simulate(c, newRoutesAndLevels)
			logResult(t, "routes and levels", &r)
			t.Logf("%d of %d urgent openings refused", r.urgentRefused, r.urgentJudged)
			is.True(r.urgentRefused*100 <= r.urgentJudged)
		})
	}
}

// TestThrottleCostsLittle guards against a throttle that serves callers clearly less than agents
// would alone if an opening cost them nothing.
func TestThrottleCostsLittle(t *testing.T) {
	for _, d := range []struct {
		factor float64
		least  uint32
		routes []simRoute
	}{{5, 2, nil}, {4, 0, nil}, {1.8, 0, nil}, {5, 2, urgentAtCapacity}, {4, 0, urgentAtCapacity}, {1.8, 0, urgentAtCapacity}} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			is := is.New(t)
			c := overload(1, d.factor, d.least)
			c.routes = d.routes
			throttled, alone := simulate(c, newRoutesAndLevels), simulate(c, newAgentsAlone)
			logResult(t, "routes and levels", &throttled)
			logResult(t, "agents alone", &alone)
			from, to := time.Second, 4*time.Second
			t.Logf("of the best order %.3f, agents alone %.3f", throttled.ofBest(c, from, to), alone.ofBest(c, from, to))
			is.True(throttled.ofBest(c, from, to) >= alone.ofBest(c, from, to)-0.05)
			if d.factor >= 4 {
				is.True(throttled.returned*2 <= alone.returned)
			}
		})
	}
}
