package returnpath

import (
	"net/netip"
	"time"
)

const (
	// MaxRecentHosts is the number of entry hosts that an agent remembers.
	MaxRecentHosts = 64
	// MaxRecentAge is the age above which an entry host is no longer returned.
	MaxRecentAge = 30 * time.Second
	// PreferredAge is the age up to which an entry host is preferred, since an entry
	// host that failed is older than those that replaced it.
	PreferredAge = time.Second
)

// RecentHosts holds the entry hosts from which any flow recently received a frame. It
// is the fallback of a flow whose own entry hosts all failed. It is not safe for
// concurrent use.
type RecentHosts struct {
	lastReceived map[netip.AddrPort]time.Duration
	// order has the entry hosts in the order of their addition, next is the index of the
	// one that was returned last.
	order []netip.AddrPort
	next  int
}

// NewRecentHosts returns an empty list.
func NewRecentHosts() *RecentHosts {
	return &RecentHosts{lastReceived: make(map[netip.AddrPort]time.Duration, MaxRecentHosts)}
}

// RecordReceived records that a frame came from the entry host.
func (r *RecentHosts) RecordReceived(entry netip.AddrPort, now time.Duration) {
	if _, known := r.lastReceived[entry]; known {
		r.lastReceived[entry] = now
		return
	}
	if len(r.order) >= MaxRecentHosts {
		r.evictOldest()
	}
	r.lastReceived[entry] = now
	r.order = append(r.order, entry)
}

// Next returns the entry hosts in turn: those within PreferredAge or, if there are
// none, those within MaxRecentAge.
func (r *RecentHosts) Next(now time.Duration) (netip.AddrPort, bool) {
	if entry, ok := r.nextWithin(PreferredAge, now); ok {
		return entry, true
	}
	return r.nextWithin(MaxRecentAge, now)
}

func (r *RecentHosts) nextWithin(age, now time.Duration) (netip.AddrPort, bool) {
	for range r.order {
		r.next = (r.next + 1) % len(r.order)
		entry := r.order[r.next]
		if now-r.lastReceived[entry] <= age {
			return entry, true
		}
	}
	return netip.AddrPort{}, false
}

// Len returns the number of entry hosts remembered.
func (r *RecentHosts) Len() int {
	return len(r.order)
}

func (r *RecentHosts) evictOldest() {
	oldest := 0
	for i, entry := range r.order {
		if r.lastReceived[entry] < r.lastReceived[r.order[oldest]] {
			oldest = i
		}
	}
	delete(r.lastReceived, r.order[oldest])
	r.order = append(r.order[:oldest], r.order[oldest+1:]...)
}
