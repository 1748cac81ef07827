package controld

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// moveTimeout is how long a subscriber that was asked to move counts as leaving. It exceeds an
// attempt at a host over a slow path.
const moveTimeout = 5 * time.Second

// subscribers is the set of open subscriptions.
type subscribers struct {
	mu   sync.Mutex
	open map[*subscriber]bool
}

func newSubscribers() *subscribers { return &subscribers{open: map[*subscriber]bool{}} }

func (s *subscribers) add(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[sub] = true
}

func (s *subscribers) remove(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, sub)
}

func (s *subscribers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// staying returns the number of subscriptions without those that were asked to move.
func (s *subscribers) staying() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for sub := range s.open {
		if !sub.isMoving() {
			n++
		}
	}
	return n
}

// sample returns at most count random subscribers that were not asked to move.
func (s *subscribers) sample(count int) []*subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*subscriber
	for sub := range s.open {
		if !sub.isMoving() {
			out = append(out, sub)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

// list returns the subscribers by name, and the names of those on an older version.
func (s *subscribers) list(version uint64) ([]operator.SubscriberStatus, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]operator.SubscriberStatus, 0, len(s.open))
	lagging := []string{}
	for sub := range s.open {
		status := sub.status()
		all = append(all, status)
		if status.Version < version {
			lagging = append(lagging, status.Role+"/"+status.Name)
		}
	}
	slices.SortFunc(all, func(a, b operator.SubscriberStatus) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name))
	})
	slices.Sort(lagging)
	return all, lagging
}

// subscriber is the state of the remote end of a subscription.
type subscriber struct {
	role, name, domain string
	start              time.Time
	version            atomic.Uint64
	// reported is the version last reported on this subscription, 0 for none.
	reported atomic.Uint64
	// lastSeen is the time of the last heartbeat, since start.
	lastSeen atomic.Int64
	// moveTo receives the address of the host that the subscriber has to move to. movingUntil
	// is when the subscriber counts as staying again, since start; zero if it was not asked.
	moveTo      chan string
	movingUntil atomic.Int64
}

func newSubscriber(peer link.Peer, req *controlpb.Subscribe) *subscriber {
	s := &subscriber{
		role:   string(peer.Role),
		name:   peer.Name,
		domain: req.GetFailureDomain(),
		start:  time.Now(),
		moveTo: make(chan string, 1),
	}
	s.version.Store(req.GetVersion())
	return s
}

// requestMove asks the subscriber to move, unless a request is pending.
func (s *subscriber) requestMove(address string) {
	s.movingUntil.Store(int64(time.Since(s.start) + moveTimeout))
	select {
	case s.moveTo <- address:
	default:
	}
}

// isMoving reports whether the subscriber was asked to move and may still do so.
func (s *subscriber) isMoving() bool {
	return time.Since(s.start) < time.Duration(s.movingUntil.Load())
}

// recordReport stores the active version of the subscriber. It reports whether it differs
// from the last report.
func (s *subscriber) recordReport(version uint64) (changed bool) {
	s.version.Store(version)
	s.lastSeen.Store(int64(time.Since(s.start)))
	return s.reported.Swap(version) != version
}

// inactiveFor returns the time since the last message of the subscriber.
func (s *subscriber) inactiveFor() time.Duration {
	return time.Since(s.start) - time.Duration(s.lastSeen.Load())
}

func (s *subscriber) status() operator.SubscriberStatus {
	return operator.SubscriberStatus{
		Role:          s.role,
		Name:          s.name,
		FailureDomain: s.domain,
		Version:       s.version.Load(),
	}
}
