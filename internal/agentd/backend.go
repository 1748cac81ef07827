package agentd

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/health"
)

// backendRecord holds the last announcement of the backend server.
type backendRecord struct {
	mu      sync.Mutex
	current *announcement
	uptime  health.Uptime
}

// listen notes since when announcements are taken and the lease of each.
func (b *backendRecord) listen(now, lease time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uptime = health.Uptime{ListeningSince: now, Lease: lease}
}

// renew records an announcement. It refuses one for another target than the
// first one, and passes over what a replaced server says while it drains: heard
// in turn with its successor, the target would drain and start cold each time.
func (b *backendRecord) renew(a *announcement, now time.Duration) error {
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
func (b *backendRecord) get() *announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// view returns what the proxy needs.
func (b *backendRecord) view() (backendView, bool) {
	a := b.get()
	if a == nil {
		return backendView{}, false
	}
	return backendView{url: a.base, watchPaths: a.WatchPaths}, true
}

// backendFigures is a look at the backend server's announcements.
type backendFigures struct {
	draining bool
	lapsed   bool
	slots    uint32
	// since is the time of the cold start.
	since time.Duration
}

func (b *backendRecord) figures(now time.Duration) backendFigures {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return backendFigures{lapsed: true}
	}
	return backendFigures{
		draining: b.current.State == backendDraining,
		lapsed:   b.uptime.Expired(now),
		slots:    b.current.Slots,
		since:    b.uptime.StartTime(),
	}
}
