package flowd

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/qos"
	"eelgrasswharf.example/eelgrasswharf/throttle"
)

// roomRegainedAfter is how long no opening of a service has to be returned until it counts as
// having room again: more than the pauses between the waves of callers' attempts.
const roomRegainedAfter = time.Second

// throttler limits the openings of services without room. The lock of the flow table is held
// for all methods.
type throttler struct {
	log     *zap.Logger
	scope   tally.Scope
	placer  *placer
	config  *configpb.Configuration
	classes flow.Classes
	// names has the name of each service by its hash, hashes the hash by its number.
	names    map[uint64]string
	hashes   map[uint32]uint64
	services map[uint64]*serviceRoom
	counters map[limitedKey]tally.Counter
}

// serviceRoom is the state of one service.
type serviceRoom struct {
	throttle.Service
	// lacking is set while openings are returned, since and returnedAt are when the first
	// and the last one came back. refused counts the openings refused meanwhile.
	lacking           bool
	since, returnedAt time.Duration
	refused           [throttle.Levels]int
}

type limitedKey struct {
	level  int
	reason flow.Reason
}

func newThrottler(log *zap.Logger, scope tally.Scope, p *placer) *throttler {
	return &throttler{
		log:      log,
		scope:    scope,
		placer:   p,
		services: map[uint64]*serviceRoom{},
		counters: map[limitedKey]tally.Counter{},
	}
}

// apply applies what the routes of a configuration state.
func (t *throttler) apply(c *configpb.Configuration) {
	if c == t.config {
		return // only the targets have changed
	}
	t.config, t.classes = c, classesOf(c.GetTable())
	t.names = make(map[uint64]string, len(c.GetServices()))
	t.hashes = make(map[uint32]uint64, len(c.GetServices()))
	for _, s := range c.GetServices() {
		hash := flow.ServiceHash(s.GetName())
		t.names[hash], t.hashes[s.GetNumber()] = s.GetName(), hash
	}
}

// Covers implements flow.Throttle.
func (t *throttler) Covers(public flow.Endpoint) bool { return t.class(public).Stated() }

func (t *throttler) class(public flow.Endpoint) qos.Class { return t.classes[public] }

func (t *throttler) opening(key flow.Key) throttle.Opening {
	return throttle.Opening{Public: key.Public, Priority: t.class(key.Public).Priority}
}

// service returns the state of a service.
func (t *throttler) service(hash uint64) *serviceRoom {
	s := t.services[hash]
	if s == nil {
		s = &serviceRoom{}
		t.services[hash] = s
	}
	return s
}

// Judge implements flow.Throttle.
func (t *throttler) Judge(key flow.Key, now time.Duration) (flow.Placement, flow.Reason) {
	hash, ok := t.placer.weightedService(key)
	if !ok {
		return flow.Placement{}, ""
	}
	s, o := t.service(hash), t.opening(key)
	verdict, target := s.Judge(o, key.Hash(uint64(now)), now)
	switch verdict {
	case throttle.PassRoom:
		return flow.Placement{Agent: target, Service: hash}, flow.ReasonPlaced
	case throttle.RefuseNoRoom:
		if other, ok := t.otherService(key, hash, nil, now); ok {
			return other, flow.ReasonOverflow
		}
		s.refused[throttle.Level(o.Priority)]++
		return flow.Placement{}, flow.ReasonNoRoom
	}
	return flow.Placement{}, ""
}

// Accepted implements flow.Throttle.
func (t *throttler) Accepted(key flow.Key, service uint64, now time.Duration) {
	t.service(service).Accepted(t.opening(key), now)
}

// Returned implements flow.Throttle.
func (t *throttler) Returned(key flow.Key, service uint64, from flow.Endpoint, now time.Duration) {
	s := t.service(service)
	s.Returned(t.opening(key), from, now)
	s.returnedAt = now
	if s.lacking {
		return
	}
	s.lacking, s.since = true, now
	t.log.Info("service lacks room", append(t.inputs(service, s, now), zap.Stringer("returned_by", from))...)
}

// WithRoom implements flow.Throttle.
func (t *throttler) WithRoom(key flow.Key, service uint64, tried []flow.Endpoint, now time.Duration) (flow.Placement, bool) {
	if target, ok := t.service(service).ClaimRoom(tried, key.Hash(uint64(now)), now); ok {
		return flow.Placement{Agent: target, Service: service}, true
	}
	return t.otherService(key, service, tried, now)
}

// otherService returns a target with room of another service of the route.
func (t *throttler) otherService(key flow.Key, except uint64, tried []flow.Endpoint, now time.Duration) (flow.Placement, bool) {
	for _, hash := range t.placer.serviceHashes(key.Public) {
		if hash == except {
			continue
		}
		if target, ok := t.service(hash).ClaimRoom(tried, key.Hash(uint64(now)), now); ok {
			return flow.Placement{Agent: target, Service: hash}, true
		}
	}
	return flow.Placement{}, false
}

// report applies the load in a frame of an agent.
func (t *throttler) report(m flow.Frame, from flow.Endpoint, now time.Duration) {
	if len(t.services) == 0 {
		return
	}
	number, available := t.placer.reporter(m, now)
	if s := t.services[t.hashes[number]]; s != nil {
		s.Report(from, m.LoadPermille, available && !m.Draining && !m.Unhealthy, now)
	}
}

// count counts a verdict that follows from too little room, by priority.
func (t *throttler) count(v *flow.Verdict, key flow.Key) {
	switch v.Reason {
	case flow.ReasonNoRoom, flow.ReasonOfferedAgain, flow.ReasonQueueExpired:
	default:
		return
	}
	class := t.class(key.Public)
	if !class.Stated() {
		return
	}
	limited := limitedKey{throttle.Level(class.Priority), v.Reason}
	c := t.counters[limited]
	if c == nil {
		c = t.scope.Tagged(map[string]string{"priority": levelName(limited.level), "reason": string(v.Reason)}).Counter("openings_without_room")
		t.counters[limited] = c
	}
	c.Inc(1)
}

// levelName returns the name of a priority in counters.
func levelName(level int) string {
	if level == throttle.Levels-1 {
		return "other"
	}
	return strconv.Itoa(level)
}

// sweep logs the services that have room again and removes what is no longer needed.
func (t *throttler) sweep(now time.Duration) {
	for hash, s := range t.services {
		if s.lacking && now-s.returnedAt >= roomRegainedAfter {
			t.log.Info("service has room again", append(t.inputs(hash, s, now),
				zap.Duration("lacked_for", s.returnedAt-s.since), zap.Ints("refused_by_priority", s.refused[:]))...)
			s.lacking, s.refused = false, [throttle.Levels]int{}
		}
		if s.Sweep(now); !s.lacking && s.Idle(now) {
			delete(t.services, hash)
		}
	}
}

// inputs returns the state behind the decisions on a service for the log.
func (t *throttler) inputs(hash uint64, s *serviceRoom, now time.Duration) []zap.Field {
	var arrived, accepted, returned []int
	for level := range throttle.Levels {
		c := s.Level(level, now)
		arrived = append(arrived, int(c.Arrived))
		accepted = append(accepted, int(c.Accepted))
		returned = append(returned, int(c.Returned))
	}
	return []zap.Field{
		zap.String("service", t.names[hash]),
		zap.Ints("arrived_by_priority", arrived),
		zap.Ints("accepted_by_priority", accepted),
		zap.Ints("returned_by_priority", returned),
		zap.Int("targets_with_room", s.KnownRooms(now)),
		zap.Duration("window", throttle.EvidenceAge),
	}
}

// weightedService returns the hash of the service that the weights of a route select for a new
// flow, false if there is none.
func (p *placer) weightedService(key flow.Key) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[key.Public]
	if r == nil {
		return 0, false
	}
	s, ok := r.Select(key.Hash(p.table.GetRevision()))
	return s.Hash, ok
}

// serviceHashes returns the hashes of the services of a route that new flows may go to.
func (p *placer) serviceHashes(public flow.Endpoint) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[public]
	if r == nil {
		return nil
	}
	var out []uint64
	for _, s := range r.Services() {
		out = append(out, s.Hash)
	}
	return out
}

// reporter returns the number of the service of the target in a report, zero if it is not listed,
// and whether it takes new flows in this incarnation. The address of the sender does not tell:
// targets of two services may be listed there.
func (p *placer) reporter(m flow.Frame, now time.Duration) (service uint32, available bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return 0, false
	}
	i, listed := slices.BinarySearchFunc(p.view.Targets, m.Number, func(r *controlpb.TargetRecord, number uint32) int {
		return cmp.Compare(r.GetNumber(), number)
	})
	if !listed {
		return 0, false
	}
	_, available = p.loads.Latest(m.Number, m.Incarnation, now)
	return p.view.Targets[i].GetService(), available
}
