package controld

import (
	"math/rand/v2"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

const (
	// movePeriod is the time between looks whether a subscriber is to move.
	movePeriod = 250 * time.Millisecond
	// movePause is the mean pause between two moves away from this host; each
	// one is drawn from its half up to its one and a half.
	movePause = time.Second
	// metricMoves counts the decisions, by reason.
	metricMoves = "subscriber_moves"
	tagReason   = "reason"
)

// hostLoad is the figure that another control host told last.
type hostLoad struct {
	subscribers int
	heardAt     time.Duration
}

// noteLoad keeps the figure of another host; without one it takes no
// subscribers for now.
func (d *directory) noteLoad(host string, m *controlpb.DirectorySync) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Subscribers == nil {
		delete(d.hosts, host)
		return
	}
	d.hosts[host] = hostLoad{int(m.GetSubscribers()), d.now()}
}

// spread returns what this host knows of the subscribers of all hosts.
func (d *directory) spread() membership.Rebalancer {
	own := d.subscribers.count()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	s := membership.Rebalancer{Own: own, Complete: d.dir.Complete(now)}
	for name, h := range d.hosts {
		s.Others = append(s.Others, membership.HostLoad{Name: name, Subscribers: h.subscribers, Age: now - h.heardAt})
	}
	return s
}

// tellLoad adds this host's figure to a message, once its directory is settled.
func (d *directory) tellLoad(m *controlpb.DirectorySync) {
	if s := d.spread(); s.Complete {
		own := uint32(s.Own)
		m.Subscribers = &own
	}
}

// spreadLoop lets subscribers go to other hosts, one at a time, while this host
// has well more of them.
func (d *Daemon) spreadLoop() {
	movedAt, pause := time.Now(), movePause
	last := membership.RebalanceReason("")
	d.every(movePeriod, func() {
		s := d.directory.spread()
		s.SinceMove, s.Pause = time.Since(movedAt), pause
		to, reason := s.Decide()
		if reason != last || reason == membership.RebalanceMove {
			d.scope.Tagged(map[string]string{tagReason: string(reason)}).Counter(metricMoves).Inc(1)
		}
		last = reason
		if reason != membership.RebalanceMove {
			return
		}
		movedAt, pause = time.Now(), movePause/2+rand.N(movePause)
		if who := d.subscribers.draw(); who != nil {
			who.ask(d.peers.addressNamed(to))
		}
	})
}
