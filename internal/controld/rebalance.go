package controld

import (
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	// movePeriod is the interval between checks whether a subscriber should move.
	movePeriod = 250 * time.Millisecond
	// moveInterval is the mean time between two moves away from this host, jittered from
	// 0.5 to 1.5 of it.
	moveInterval = time.Second
	// metricMoves counts the decisions by reason.
	metricMoves = "subscriber_moves"
	tagReason   = "reason"
)

// hostLoad is the last subscriber count reported by another control host.
type hostLoad struct {
	subscribers int
	// receivedAt is the time of receipt, since the start of the directory.
	receivedAt time.Duration
}

// recordLoad stores the subscriber count of another host. A host that reports none takes no
// subscribers for now.
func (d *directory) recordLoad(host string, m *controlpb.DirectorySync) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Subscribers == nil {
		delete(d.loads, host)
		return
	}
	d.loads[host] = hostLoad{int(m.GetSubscribers()), d.now()}
}

// rebalancer returns the subscriber counts of all hosts as known here.
func (d *directory) rebalancer() membership.Rebalancer {
	own := d.subscribers.count()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	s := membership.Rebalancer{Own: own, Complete: d.dir.Complete(now)}
	for name, h := range d.loads {
		s.Others = append(s.Others, membership.HostLoad{Name: name, Subscribers: h.subscribers, Age: now - h.receivedAt})
	}
	return s
}

// addLoad adds this host's subscriber count to a message once its directory is complete.
func (d *directory) addLoad(m *controlpb.DirectorySync) {
	if s := d.rebalancer(); s.Complete {
		own := uint32(s.Own)
		m.Subscribers = &own
	}
}

// rebalanceLoop moves subscribers to other hosts, one at a time, while this host has
// considerably more of them.
func (d *Daemon) rebalanceLoop() {
	movedAt, interval := time.Now(), moveInterval
	lastReason := membership.RebalanceReason("")
	d.every(movePeriod, func() {
		s := d.directory.rebalancer()
		s.SinceMove, s.Interval = time.Since(movedAt), interval
		to, reason := s.Decide()
		if reason != lastReason || reason == membership.RebalanceMove {
			d.scope.Tagged(map[string]string{tagReason: string(reason)}).Counter(metricMoves).Inc(1)
		}
		lastReason = reason
		if reason != membership.RebalanceMove {
			return
		}
		movedAt, interval = time.Now(), moveInterval/2+rand.N(moveInterval)
		if sub := d.subscribers.random(); sub != nil {
			sub.requestMove(d.peers.addressByName(to))
		}
	})
}
