package returnpath

import (
	"net/netip"
	"time"
)

const (
	// MaxRecentHosts bounds the entry hosts that a host remembers.
	MaxRecentHosts = 64
	// MaxRecentAge is the age after which an entry host is no longer offered.
	MaxRecentAge = 30 * time.Second
	// PreferredAge is the age up to which an entry host goes before older ones:
	// one that died was heard before those that took its place.
	PreferredAge = time.Second
)

// RecentHosts holds the entry hosts that any flow was heard through lately. It is
// the last resort of a flow whose own entry hosts all went silent. It is not
// safe for use by several goroutines at once.
type RecentHosts struct {
	heard map[netip.AddrPort]time.Duration
	order []netip.AddrPort
	next  int
}

// NewRecentHosts returns an empty list.
func NewRecentHosts() *RecentHosts {
	return &RecentHosts{heard: make(map[netip.AddrPort]time.Duration, MaxRecentHosts)}
}

// RecordReceived records that a frame came from the entry host.
func (r *RecentHosts) RecordReceived(entry netip.AddrPort, now time.Duration) {
	if _, known := r.heard[entry]; known {
		r.heard[entry] = now
		return
	}
	if len(r.order) >= MaxRecentHosts {
		r.evictOldest()
	}
	r.heard[entry] = now
	r.order = append(r.order, entry)
}

// Next returns one entry host heard within FreshAge, or else within RecentAge,
// another one each time.
func (r *RecentHosts) Next(now time.Duration) (netip.AddrPort, bool) {
	if entry, ok := r.within(PreferredAge, now); ok {
		return entry, true
	}
	return r.within(MaxRecentAge, now)
}

func (r *RecentHosts) within(age, now time.Duration) (netip.AddrPort, bool) {
	for range r.order {
		r.next = (r.next + 1) % len(r.order)
		entry := r.order[r.next]
		if now-r.heard[entry] <= age {
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
		if r.heard[entry] < r.heard[r.order[oldest]] {
			oldest = i
		}
	}
	delete(r.heard, r.order[oldest])
	r.order = append(r.order[:oldest], r.order[oldest+1:]...)
}
