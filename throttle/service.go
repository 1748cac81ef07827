package throttle

import (
	"math"
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
)

const (
	// Levels is the number of priorities that are told apart: 0 to 3, and one for all others.
	Levels = 5
	// EvidenceAge is how long a returned opening or a report of room counts. A service must
	// not stay closed for longer than 200 ms after its slots have become idle.
	EvidenceAge = 200 * time.Millisecond
	// bucketWidth is the resolution of the window, which spans EvidenceAge.
	bucketWidth = 20 * time.Millisecond
	bucketCount = int64(EvidenceAge / bucketWidth)
	// surplus is the passing share over the accepted one. A route of which targets return no
	// more than half is not limited: it may be returned by chance, and what passes in excess
	// keeps the queues beside the targets filled.
	surplus = 2
	// allowance is added to the accepted openings of a window, so that a host with few
	// callers, or none accepted of late, learns when there is room.
	allowance = 1
	// maxRoutes bounds the routes that are told apart; those of one level share the rest.
	maxRoutes = 256
	// maxRooms bounds the targets that are remembered as having room.
	maxRooms = 64
	// fullLoad is the load of a target whose slots are all in use.
	fullLoad = flow.SaturatedLoad / 2
)

// Level returns the index of a priority in counts.
func Level(priority uint32) int { return int(min(priority, Levels-1)) }

// Verdict is the decision on one opening.
type Verdict uint8

// Verdicts.
const (
	// PassUnlimited: nothing shows that the service lacks room.
	PassUnlimited Verdict = iota
	// PassShare: the opening is in the share of its priority.
	PassShare
	// PassRoom: a target is known to have room for it.
	PassRoom
	// RefuseNoRoom: the opening is refused.
	RefuseNoRoom
)

// String returns the verdict in the form used in logs.
func (v Verdict) String() string {
	switch v {
	case PassUnlimited:
		return "unlimited"
	case PassShare:
		return "share"
	case PassRoom:
		return "room"
	case RefuseNoRoom:
		return "no_room"
	}
	return "invalid"
}

// Service is the state of one service at one entry host. The zero value is ready for use.
type Service struct {
	// levels has the counts of all routes by level, routes those of each route.
	levels [Levels]window
	routes map[routeKey]*window
	// returnedAt is when a target last returned an opening, valid if returned.
	returnedAt time.Duration
	returned   bool
	rooms      []room
}

// Opening is the opening of a new flow: the public address of its route, and the priority
// that the route states.
type Opening struct {
	Public   flow.Endpoint
	Priority uint32
}

// routeKey is a route at a level, which changes with the configuration. The address is zero
// for the routes beyond maxRoutes.
type routeKey struct {
	public flow.Endpoint
	level  int
}

// room is a target that has reported room for a number of openings.
type room struct {
	target     flow.Endpoint
	reportedAt time.Duration
	left       int
}

// Judge decides on the opening of a new flow. Chance is uniform over 64 bits. For PassRoom the
// target is the one that has room.
func (s *Service) Judge(o Opening, chance uint64, now time.Duration) (Verdict, flow.Endpoint) {
	s.count(o, now, func(c *Counts) { c.Arrived++ })
	if !s.LacksRoom(now) {
		return PassUnlimited, flow.Endpoint{}
	}
	if float64(chance) < s.share(o, now)*math.MaxUint64 {
		return PassShare, flow.Endpoint{}
	}
	if target, ok := s.ClaimRoom(nil, chance, now); ok {
		return PassRoom, target
	}
	return RefuseNoRoom, flow.Endpoint{}
}

// Accepted records that a target has accepted an opening that this host passed on.
func (s *Service) Accepted(o Opening, now time.Duration) {
	s.count(o, now, func(c *Counts) { c.Accepted++ })
}

// Returned records that a target has returned an opening.
func (s *Service) Returned(o Opening, from flow.Endpoint, now time.Duration) {
	s.count(o, now, func(c *Counts) { c.Returned++ })
	s.returnedAt, s.returned = now, true
	s.dropRoom(from)
}

// count adds to the counts of an opening's level and route.
func (s *Service) count(o Opening, now time.Duration, add func(*Counts)) {
	add(s.levels[Level(o.Priority)].bucket(now))
	add(s.route(o).bucket(now))
}

// route returns the counts of an opening's route.
func (s *Service) route(o Opening) *window {
	key := routeKey{public: o.Public, level: Level(o.Priority)}
	w := s.routes[key]
	if w == nil && len(s.routes) >= maxRoutes {
		key.public = flow.Endpoint{}
		w = s.routes[key]
	}
	if w == nil {
		if s.routes == nil {
			s.routes = make(map[routeKey]*window)
		}
		w = &window{}
		s.routes[key] = w
	}
	return w
}

// share returns the share of the openings like this one that may pass: none while a more
// urgent level is limited.
func (s *Service) share(o Opening, now time.Duration) float64 {
	for level := range Level(o.Priority) {
		if c := s.levels[level].counts(now); c.share() < 1 {
			return 0
		}
	}
	c := s.route(o).counts(now)
	return c.share()
}

// Sweep removes the counts of routes without openings for EvidenceAge.
func (s *Service) Sweep(now time.Duration) {
	for key, w := range s.routes {
		if w.counts(now) == (Counts{}) {
			delete(s.routes, key)
		}
	}
}

// LacksRoom reports whether a target has returned an opening within EvidenceAge.
func (s *Service) LacksRoom(now time.Duration) bool {
	return s.returned && fresh(s.returnedAt, now)
}

// fresh reports whether evidence counts. The present clock may be behind that of the evidence
// by the time between two frames that are handled concurrently.
func fresh(at, now time.Duration) bool { return now-at < EvidenceAge }

// Idle reports whether nothing is known about the service. Sweep has to be called before.
func (s *Service) Idle(now time.Duration) bool {
	return len(s.routes) == 0 && s.KnownRooms(now) == 0 && !s.LacksRoom(now)
}

// Level returns the counts of the last EvidenceAge of one level.
func (s *Service) Level(level int, now time.Duration) Counts { return s.levels[level].counts(now) }

// Report records the state of a target. A target that takes no new flows has no room.
func (s *Service) Report(target flow.Endpoint, load uint16, takesFlows bool, now time.Duration) {
	if !takesFlows || load >= flow.SaturatedLoad {
		s.dropRoom(target)
		return
	}
	r := room{target: target, reportedAt: now, left: 1 + int((flow.SaturatedLoad-1-load)/fullLoad)}
	oldest := 0
	for i := range s.rooms {
		if s.rooms[i].target == target {
			s.rooms[i] = r
			return
		}
		if s.rooms[i].reportedAt < s.rooms[oldest].reportedAt {
			oldest = i
		}
	}
	if len(s.rooms) < maxRooms {
		s.rooms = append(s.rooms, r)
		return
	}
	s.rooms[oldest] = r
}

// ClaimRoom returns a target other than those tried that is known to have room, and takes an
// opening's room of it. Chance decides between several.
func (s *Service) ClaimRoom(tried []flow.Endpoint, chance uint64, now time.Duration) (flow.Endpoint, bool) {
	n := len(s.rooms)
	for i := range n {
		r := &s.rooms[(int(chance%uint64(n))+i)%n]
		if r.left == 0 || !fresh(r.reportedAt, now) || contains(tried, r.target) {
			continue
		}
		r.left--
		return r.target, true
	}
	return flow.Endpoint{}, false
}

// KnownRooms returns the number of targets that are known to have room.
func (s *Service) KnownRooms(now time.Duration) int {
	n := 0
	for i := range s.rooms {
		if r := &s.rooms[i]; r.left > 0 && fresh(r.reportedAt, now) {
			n++
		}
	}
	return n
}

func (s *Service) dropRoom(target flow.Endpoint) {
	for i := range s.rooms {
		if s.rooms[i].target == target {
			s.rooms[i] = s.rooms[len(s.rooms)-1]
			s.rooms = s.rooms[:len(s.rooms)-1]
			return
		}
	}
}

func contains(list []flow.Endpoint, one flow.Endpoint) bool {
	for _, e := range list {
		if e == one {
			return true
		}
	}
	return false
}
