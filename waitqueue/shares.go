package waitqueue

import (
	"math"
	"time"
)

const (
	// groups is the number of groups of callers. The route and caller buckets are chosen
	// by hash: a service has a few routes, and a target some hundred callers a second.
	groups        = 64
	routeBuckets  = 64
	callerBuckets = 512
	// fairWindow is the time after which the recorded work counts half. It is longer than
	// the longest usual objective, so that one served item does not decide the order, and
	// shorter than a burst.
	fairWindow = 500 * time.Millisecond
	// fairQuantum is the work by which two shares have to differ to count as unequal: one
	// request of usual length. Below it the earlier objective decides.
	fairQuantum = 30 * time.Millisecond
	// leastShareOf is the part of the work that a less urgent priority gets at least while
	// it has live items: one in 32. More would take too much from the urgent ones when
	// several less urgent priorities have a backlog.
	leastShareOf = 32
	// overloadedFrom is the part of the work of a priority (one in overloadedFrom) that has to be
	// refused for it to count as overloaded. Chance alone refuses a few in a hundred.
	overloadedFrom = 4
	// fewRefusedFrom is the same for a priority whose items may wait until they are late: hardly
	// any is refused, so that another attempt would not be served earlier.
	fewRefusedFrom = 64
)

// served is the recent work of one priority.
type served struct {
	total time.Duration
	// refused is the work of the openings that were refused.
	refused time.Duration
	groups  [groups]time.Duration
	routes  [routeBuckets]time.Duration
	callers [callerBuckets]time.Duration
}

func (s *served) group(b *buckets) time.Duration  { return s.groups[b.group] / fairQuantum }
func (s *served) route(b *buckets) time.Duration  { return s.routes[b.route] / fairQuantum }
func (s *served) caller(b *buckets) time.Duration { return s.callers[b.caller] / fairQuantum }

// buckets are the indexes of an item in served.
type buckets struct {
	group, route uint8
	caller       uint16
}

// bucketsOf returns the buckets of an item: those of routes belong to a group, those of
// callers to a route.
func bucketsOf(group uint8, route, caller uint64) buckets {
	byRoute := mix(uint64(group) ^ mix(route))
	return buckets{
		group:  group % groups,
		route:  uint8(byRoute % routeBuckets),
		caller: uint16(mix(byRoute^caller) % callerBuckets),
	}
}

// mix is the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// add records work.
func (s *served) add(b *buckets, work time.Duration) {
	s.total += work
	s.groups[b.group] += work
	s.routes[b.route] += work
	s.callers[b.caller] += work
}

// halve reduces the recorded work by a number of halvings.
func (s *served) halve(times uint) {
	s.total >>= times
	s.refused >>= times
	for i := range s.groups {
		s.groups[i] >>= times
	}
	for i := range s.routes {
		s.routes[i] >>= times
	}
	for i := range s.callers {
		s.callers[i] >>= times
	}
}

// pace is a moving average of the work that live items get, in slots.
type pace struct {
	slots     float64
	updatedAt time.Duration
}

func (p *pace) add(work, now time.Duration) {
	p.decay(now)
	p.slots += work.Seconds() / fairWindow.Seconds()
}

func (p *pace) decay(now time.Duration) {
	if elapsed := now - p.updatedAt; elapsed > 0 {
		p.slots *= math.Exp(-elapsed.Seconds() / fairWindow.Seconds())
		p.updatedAt = now
	}
}
