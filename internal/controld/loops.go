package controld

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// every calls f at each period until the daemon stops.
func (d *Daemon) every(period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-d.ctx.Done():
			return
		}
	}
}

// syncLoop triggers a sync with the other control hosts after a change of records or of the
// number of subscribers, when a link to one of them is established, and a few times per lease
// for a summary of the unchanged records, more often until the directory is complete.
func (d *Daemon) syncLoop() {
	var renewed time.Time
	var synced uint64
	syncedCount, syncedLinks := 0, 0
	d.every(syncPeriod, func() {
		own, count, links := d.directory.localSequence(), d.subscribers.count(), d.peers.connected()
		interval := d.directory.lease() / renewalsPerLease
		if !d.directory.complete() {
			interval = min(interval, startingSyncPeriod)
		}
		due := time.Since(renewed) >= interval || links > syncedLinks
		syncedLinks = links
		if own == synced && !due && max(count-syncedCount, syncedCount-count) < subscribersPerSync {
			return
		}
		synced, syncedCount = own, count
		if due {
			renewed = time.Now()
		}
		d.triggerSync()
	})
}

func (d *Daemon) triggerSync() {
	for _, address := range d.memberAddresses() {
		if p := d.peers.get(address); p != nil {
			signal(p.sync)
		}
	}
}

// expireLoop ends leases, closes links to former members and updates the gauges of
// subscribers and the counters of bytes.
func (d *Daemon) expireLoop() {
	behind := d.scope.Gauge("subscribers_behind")
	all := d.scope.Gauge("subscribers")
	overloaded := d.scope.Gauge("targets_overloaded")
	lost := d.scope.Gauge("targets_lost")
	sent, received := d.scope.Counter("link_bytes_sent"), d.scope.Counter("link_bytes_received")
	var last link.Traffic
	peerSent, peerReceived := d.scope.Counter("peers_bytes_sent"), d.scope.Counter("peers_bytes_received")
	d.every(expirePeriod, func() {
		d.peers.countTraffic(peerSent, peerReceived)
		traffic := d.server.Traffic()
		sent.Inc(int64(traffic.BytesSent - last.BytesSent))
		received.Inc(int64(traffic.BytesReceived - last.BytesReceived))
		last = traffic
		if table := d.configs.routeTable(); table != nil {
			d.directory.setIdleTimeout(time.Duration(table.GetIdleTimeoutMs()) * time.Millisecond)
		}
		d.directory.expire()
		d.removeUnregistered()
		lost.Update(float64(len(d.directory.lost())))
		overloaded.Update(float64(d.directory.capacity.overloadedCount()))
		if d.bootstrapped() {
			d.peers.closeUnused(d.peerAddresses(), unusedPeerTimeout)
		}
		list, lagging := d.subscribers.list(d.configs.version())
		all.Update(float64(len(list)))
		behind.Update(float64(len(lagging)))
	})
}

// removeUnregistered removes the lost targets whose registration has ended: they have said that
// they stop, or a newer incarnation of them has registered.
func (d *Daemon) removeUnregistered() {
	var ended []membership.TargetID
	for _, id := range d.directory.lost() {
		if d.configs.target(id.Number).GetIncarnation() != id.Incarnation {
			ended = append(ended, id)
		}
	}
	d.directory.removeLost(ended)
}

func (d *Daemon) peerAddresses() map[string]bool {
	out := map[string]bool{}
	for _, address := range d.memberAddresses() {
		out[address] = true
	}
	return out
}

// advanceLoop advances the logical clock of the grant groups that this host leads.
func (d *Daemon) advanceLoop() {
	last := time.Now()
	d.every(advancePeriod, func() {
		elapsed := time.Since(last)
		last = time.Now()
		d.advance(elapsed)
	})
}

func (d *Daemon) advance(elapsed time.Duration) {
	for index := range d.grants.count() {
		d.advanceGroup(index, elapsed)
	}
}

func (d *Daemon) advanceGroup(index int, elapsed time.Duration) {
	group := grantGroup(index)
	v := d.grants.at(index).view()
	scope := d.scope.Tagged(map[string]string{"group": groupName(group)})
	scope.Gauge("grants_held").Update(float64(v.held))
	scope.Gauge("grants_answered").Update(float64(v.answered))
	if v.held+v.answered == 0 || !d.isLeader(group) {
		return
	}
	command, err := proto.Marshal(&grantpb.Command{Body: &grantpb.Command_Advance{
		Advance: &grantpb.Advance{ElapsedMs: uint64(elapsed.Milliseconds())},
	}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, proposeTimeout)
	defer cancel()
	// A failed step is not repeated: records are only kept longer.
	if _, err := d.replicas[group].ProposeLocal(ctx, command); err != nil {
		scope.Counter("failed_advances").Inc(1)
	}
}

func (d *Daemon) isLeader(group controlpb.Group) bool {
	s := d.replicas[group].Status()
	return s.Leader != nil && proto.Equal(s.Leader, s.Self)
}
