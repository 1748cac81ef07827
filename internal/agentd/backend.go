package agentd

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// backendRecord holds the last announcement of the backend server.
type backendRecord struct {
	mu      sync.Mutex
	current *announcement
	at      time.Duration
	// since is when the backend server that now announces itself was first
	// heard of: its cold start.
	since time.Duration
}

// renew records an announcement. A changed URL or a lapsed lease is a new cold
// start. It refuses an announcement for another target than the first one.
func (b *backendRecord) renew(a *announcement, now, lease time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && (a.Service != b.current.Service || a.Target != b.current.Target) {
		return errors.Wrapf(ErrAnnouncement, "this agent serves %s/%s", b.current.Service, b.current.Target)
	}
	if b.current == nil || a.URL != b.current.URL || now-b.at > lease {
		b.since = now
	}
	b.current = a
	b.at = now
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

func (b *backendRecord) figures(now, lease time.Duration) backendFigures {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return backendFigures{lapsed: true}
	}
	return backendFigures{
		draining: b.current.State == backendDraining,
		lapsed:   now-b.at > lease,
		slots:    b.current.Slots,
		since:    b.since,
	}
}
