package controld

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// isolation says whether this host has known no leader for a while. One that is cut
// off from the others may still be reached by its subscribers, who would stay with an
// old version.
type isolation struct {
	now     atomic.Bool
	changed *hub
}

// isolationLoop follows whether a leader is known.
func (d *Daemon) isolationLoop() {
	led := time.Now()
	d.every(isolationPeriod, func() {
		s := d.replicas[controlpb.Group_GROUP_CONFIG].Status()
		if s.Leader != nil || d.standsBy() {
			led = time.Now()
		}
		isolated := time.Since(led) >= isolatedAfter
		if d.isolation.now.Swap(isolated) == isolated {
			return
		}
		d.log.Info("isolation", zap.Bool("isolated", isolated), zap.Duration("without_leader", time.Since(led)))
		d.isolation.changed.notify()
	})
}
