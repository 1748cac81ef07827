package replica

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// diskSpaceRetryInterval is the time between two attempts to reopen the log after the
// disk was full.
const diskSpaceRetryInterval = 250 * time.Millisecond

// canRetryDiskFull reports whether the replica may continue once its disk has space: a
// write failed because it was full. After a failed sync it must not: data that is not on
// the disk may still be readable until the host loses power.
func (r *Replica) canRetryDiskFull() bool {
	return r.opts.WaitForDiskSpace && errors.Is(r.failure, wal.ErrNoSpace) && !errors.Is(r.failure, wal.ErrSync)
}

// waitForDiskSpace reopens the log once that is possible. Until then the replica neither
// votes nor acknowledges, and publishes no leader. It reports false if the replica was
// closed meanwhile or the log cannot be opened.
func (r *Replica) waitForDiskSpace() bool {
	r.log.Warn("disk full: replica suspended until space is available", zap.Error(r.failure))
	r.metrics.diskFull.Inc(1)
	since := time.Now()
	if err := r.wal.Close(); err != nil {
		r.log.Info("log closed without end record", zap.Error(err))
	}
	ticker := time.NewTicker(diskSpaceRetryInterval)
	defer ticker.Stop()
	for {
		r.failPending()
		select {
		case <-r.stop:
			return false
		case <-r.inbox.wake:
			continue
		case <-ticker.C:
		}
		log, state, err := wal.Open(r.opts.DataDir, wal.Options{Name: r.opts.Name, FS: r.opts.FS})
		if errors.Is(err, wal.ErrNoSpace) {
			continue
		}
		if err != nil {
			r.failure = errors.Wrap(err, "reopen log")
			return false
		}
		r.wal, r.failure = log, nil
		if err := r.load(state); err != nil {
			r.failure = err
			if r.canRetryDiskFull() {
				continue
			}
			return false
		}
		r.log.Info("disk space available: replica resumed", zap.Duration("after", time.Since(since)))
		return true
	}
}

// failPending fails all requests and drops the queued messages.
func (r *Replica) failPending() {
	requests, _ := r.inbox.take()
	for _, q := range requests {
		if q.transition(requestQueued, requestStarted) {
			r.finish(q, nil, ErrNoLeader)
			continue
		}
		r.inbox.release(q)
	}
	r.failStarted()
	for _, resp := range r.responses {
		r.inbox.release(resp.request)
		resp.request.done <- resp.outcome
	}
	clear(r.responses)
	r.responses = r.responses[:0]
	r.publishNoLeader()
}

// publishNoLeader publishes the last status without a leader.
func (r *Replica) publishNoLeader() {
	old := r.publishedStatus.Load()
	if old == nil || old.status.Leader == nil {
		return
	}
	status := old.status
	status.Leader = nil
	next := old.nextStatus(status)
	r.publishedStatus.Store(next)
	close(old.changed)
	old.cancelLeaderCtx()
}
