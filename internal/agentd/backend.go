package agentd

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/health"
)

// backendTracker holds the last announcement of the backend server.
type backendTracker struct {
	mu      sync.Mutex
	current *announcement
	uptime  health.Uptime
}

// listen records when the agent began to accept announcements, and their lease.
func (b *backendTracker) listen(now, lease time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uptime = health.Uptime{ListeningSince: now, Lease: lease}
}

// update records an announcement. It refuses one for a different target than the
// first, and ignores a draining server that was replaced: alternating with the new
// one, it would make the target drain and cold-start repeatedly.
func (b *backendTracker) update(a *announcement, now time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && (a.Service != b.current.Service || a.Target != b.current.Target) {
		return errors.Wrapf(ErrAnnouncement, "this agent serves %s/%s", b.current.Service, b.current.Target)
	}
	if b.current != nil && a.State == backendDraining && a.URL != b.current.URL {
		return nil
	}
	b.uptime.RecordAnnouncement(now, a.URL, a.age())
	b.current = a
	return nil
}

// get returns the last announcement, nil if there was none.
func (b *backendTracker) get() *announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// view returns the parts of the last announcement that the proxy uses, false if there
// was none.
func (b *backendTracker) view() (backendView, bool) {
	a := b.get()
	if a == nil {
		return backendView{}, false
	}
	return backendView{url: a.base, watchPaths: a.WatchPaths}, true
}

// backendSnapshot is the state of the backend server at one time.
type backendSnapshot struct {
	draining bool
	expired  bool
	slots    uint32
	// startTime is the time of the cold start.
	startTime time.Duration
}

func (b *backendTracker) snapshot(now time.Duration) backendSnapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return backendSnapshot{expired: true}
	}
	return backendSnapshot{
		draining:  b.current.State == backendDraining,
		expired:   b.uptime.Expired(now),
		slots:     b.current.Slots,
		startTime: b.uptime.StartTime(),
	}
}
