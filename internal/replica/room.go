package replica

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// roomRetry is the time between two attempts to open a log whose disk had no room: it
// has to be back soon after there is some.
const roomRetry = 250 * time.Millisecond

// lacksRoom reports whether the replica may go on once its disk has room: a write was
// refused for want of it. After a failed sync it may not, since what was lost then may
// still be read until the host loses power.
func (r *Replica) lacksRoom() bool {
	return r.opts.WaitForDiskSpace && errors.Is(r.failure, wal.ErrNoSpace) && !errors.Is(r.failure, wal.ErrSync)
}

// awaitRoom opens the log again once that is possible. Until then the replica takes no
// part in the group: it neither votes nor acknowledges, and knows no leader. It reports
// false if the replica was closed meanwhile or the log is damaged.
func (r *Replica) awaitRoom() bool {
	r.log.Warn("no room on the disk: out of the group until there is", zap.Error(r.failure))
	r.metrics.roomLost.Inc(1)
	since := time.Now()
	if err := r.wal.Close(); err != nil {
		r.log.Info("log closed without its last record", zap.Error(err))
	}
	ticker := time.NewTicker(roomRetry)
	defer ticker.Stop()
	for {
		r.idle()
		select {
		case <-r.stop:
			return false
		case <-r.intake.wake:
			continue
		case <-ticker.C:
		}
		log, state, err := wal.Open(r.opts.DataDir, wal.Options{Name: r.opts.Name, FS: r.opts.FS})
		if errors.Is(err, wal.ErrNoSpace) {
			continue
		}
		if err != nil {
			r.failure = errors.Wrap(err, "open log again")
			return false
		}
		r.wal, r.failure = log, nil
		if err := r.load(state); err != nil {
			r.failure = err
			if r.lacksRoom() {
				continue
			}
			return false
		}
		r.log.Info("room on the disk: back in the group", zap.Duration("after", time.Since(since)))
		return true
	}
}

// idle refuses what was asked of the replica and drops the messages of others.
func (r *Replica) idle() {
	requests, _ := r.intake.take()
	for _, q := range requests {
		if q.move(requestQueued, requestTaken) {
			r.finish(q, nil, ErrNoLeader)
			continue
		}
		r.intake.release(q)
	}
	r.finishStarted()
	for _, a := range r.answers {
		r.intake.release(a.request)
		a.request.done <- a.outcome
	}
	clear(r.answers)
	r.answers = r.answers[:0]
	r.publishLeaderless()
}

// publishLeaderless shows the last status without a leader.
func (r *Replica) publishLeaderless() {
	old := r.published.Load()
	if old == nil || old.status.Leader == nil {
		return
	}
	status := old.status
	status.Leader = nil
	next := old.succeed(status)
	r.published.Store(next)
	close(old.changed)
	old.end()
}
