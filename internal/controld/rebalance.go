package controld

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	// movePeriod is the interval between checks whether subscribers should move.
	movePeriod = 250 * time.Millisecond
	// moveInterval is the mean time between two rounds of moves away from this host,
	// jittered from 0.5 to 1.5 of it.
	moveInterval = time.Second
	// redirectInterval is the least time between two redirects of one subscriber: longer than
	// the counts of a lost host are used.
	redirectInterval = 15 * time.Second
	// metricMoves counts the decisions by reason, metricMoved the subscribers asked to move.
	metricMoves = "subscriber_moves"
	metricMoved = "subscribers_moved"
	tagReason   = "reason"
)

// hostLoad is the last subscriber count reported by another control host.
type hostLoad struct {
	subscribers int
	// complete reports whether the host's directory is complete.
	complete bool
	// receivedAt is the time of receipt, since the start of the directory.
	receivedAt time.Duration
	// sent is the number of subscribers asked to move there since.
	sent int
}

// recordLoad stores the subscriber count of another host. A host of an earlier release
// reports none before its directory is complete, and takes no subscribers until then.
func (d *directory) recordLoad(host string, m *controlpb.DirectorySync) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case m.Subscribers != nil:
		d.loads[host] = hostLoad{subscribers: int(m.GetSubscribers()), complete: true, receivedAt: d.now()}
	case m.StartingSubscribers != nil:
		d.loads[host] = hostLoad{subscribers: int(m.GetStartingSubscribers()), receivedAt: d.now()}
	default:
		delete(d.loads, host)
	}
}

// recordMoves records that subscribers were asked to move to another host.
func (d *directory) recordMoves(host string, count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.loads[host]
	load.sent += count
	d.loads[host] = load
}

// rebalancer returns the subscriber counts of all hosts as known here.
func (d *directory) rebalancer() membership.Rebalancer {
	own := d.subscribers.staying()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	s := membership.Rebalancer{Own: own, Complete: d.dir.Complete(now)}
	for name, h := range d.loads {
		s.Others = append(s.Others, membership.HostLoad{
			Name:        name,
			Subscribers: h.subscribers,
			Complete:    h.complete,
			Age:         now - h.receivedAt,
			Sent:        h.sent,
		})
	}
	return s
}

// addLoad adds this host's subscriber count to a message.
func (d *directory) addLoad(m *controlpb.DirectorySync) {
	own := uint32(d.subscribers.count())
	if d.complete() {
		m.Subscribers = &own
		return
	}
	m.StartingSubscribers = &own
}

// rebalanceLoop moves subscribers to other hosts while this host has considerably more of
// them.
func (d *Daemon) rebalanceLoop() {
	movedAt, interval := time.Now(), moveInterval
	lastReason := membership.RebalanceReason("")
	d.every(movePeriod, func() {
		s := d.directory.rebalancer()
		s.SinceMove, s.Interval = time.Since(movedAt), interval
		moves, reason := s.Decide()
		if reason != lastReason || reason == membership.RebalanceMove {
			d.scope.Tagged(map[string]string{tagReason: string(reason)}).Counter(metricMoves).Inc(1)
		}
		lastReason = reason
		if reason != membership.RebalanceMove {
			return
		}
		movedAt, interval = time.Now(), moveInterval/2+rand.N(moveInterval)
		d.moveSubscribers(s.Own, moves)
	})
}

// moveSubscribers asks subscribers, chosen at random, to move.
func (d *Daemon) moveSubscribers(own int, moves []membership.Moves) {
	moved := 0
	for _, move := range moves {
		address := d.linkAddress(move.Host)
		if address == "" {
			continue
		}
		chosen := d.subscribers.sample(move.Subscribers)
		for _, sub := range chosen {
			sub.requestMove(address)
		}
		d.directory.recordMoves(move.Host, len(chosen))
		moved += len(chosen)
	}
	d.scope.Counter(metricMoved).Inc(int64(moved))
	d.log.Info("subscribers asked to move to other control hosts",
		zap.Int("subscribers", own), zap.Int("moved", moved), zap.Int("hosts", len(moves)))
}

// redirectOf returns the address of the host that a new subscriber has to go to, empty if this
// host serves it. A subscriber is sent on once, since hosts may disagree about their numbers
// and the other host may be lost, and only while it has no list of targets that it would bring
// along.
func (d *Daemon) redirectOf(peer link.Peer, req *controlpb.Subscribe) string {
	if !peer.Newcomer || req.GetVersion() != 0 || !d.settings.GetReplica().GetAutomaticMembers() {
		return ""
	}
	s := d.directory.rebalancer()
	host, redirect := s.Redirect()
	if !redirect {
		return ""
	}
	address := d.linkAddress(host)
	if address == "" || !d.redirects.record(peer, time.Now()) {
		return ""
	}
	d.directory.recordMoves(host, 1)
	return address
}

// redirects has the peers that were sent to another host lately.
type redirects struct {
	mu sync.Mutex
	at map[link.Peer]time.Time
	// sweptAt is when outdated entries were last removed.
	sweptAt time.Time
}

// record records a redirect. It returns false if the peer was redirected within
// redirectInterval, which means that it could not go elsewhere.
func (r *redirects) record(peer link.Peer, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	outdated := func(_ link.Peer, at time.Time) bool { return now.Sub(at) >= redirectInterval }
	if now.Sub(r.sweptAt) >= redirectInterval {
		r.sweptAt = now
		maps.DeleteFunc(r.at, outdated)
	}
	if at, known := r.at[peer]; known && !outdated(peer, at) {
		return false
	}
	if r.at == nil {
		r.at = map[link.Peer]time.Time{}
	}
	r.at[peer] = now
	return true
}

// linkAddress returns the link address of another member of the configuration group, empty if
// there is none of that name.
func (d *Daemon) linkAddress(name string) string {
	for _, m := range d.replicas[controlpb.Group_GROUP_CONFIG].Status().Members {
		if m.Member.GetId().GetName() == name {
			return d.peers.addressOf(m.Member)
		}
	}
	return ""
}
