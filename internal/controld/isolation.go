package controld

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// isolation is the isolation state of this host, which is active while no leader has been
// known for isolationDelay. It is sent to subscribers, which would otherwise stay on the old
// version of a partitioned host.
type isolation struct {
	active  atomic.Bool
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
		if d.isolation.active.Swap(isolated) == isolated {
			return
		}
		d.log.Info("isolation state changed", zap.Bool("isolated", isolated), zap.Duration("without_leader", time.Since(lastLeader)))
		d.isolation.changed.notify()
	})
}
