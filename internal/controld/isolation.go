package controld

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// isolation is set while this host has known no leader for isolationDelay. Subscribers of a
// partitioned host would otherwise keep an old version.
type isolation struct {
	now     atomic.Bool
	changed *notifier
}

// isolationLoop tracks whether a leader is known.
func (d *Daemon) isolationLoop() {
	lastLeader := time.Now()
	d.every(isolationPeriod, func() {
		s := d.replicas[controlpb.Group_GROUP_CONFIG].Status()
		if s.Leader != nil || d.isStandby() {
			lastLeader = time.Now()
		}
		isolated := time.Since(lastLeader) >= isolationDelay
		if d.isolation.now.Swap(isolated) == isolated {
			return
		}
		d.log.Info("isolation state changed", zap.Bool("isolated", isolated), zap.Duration("without_leader", time.Since(lastLeader)))
		d.isolation.changed.notify()
	})
}
