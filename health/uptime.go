package health

import "time"

// restartMargin is the least difference between the known and the claimed start time
// that counts as a restart. It exceeds the delay of announcements.
const restartMargin = time.Second

// Uptime derives the start time of the backend server from its announcements and the
// age that it claims. A claim of a later start is always accepted. A claim of an
// earlier start is accepted only if the agent cannot have observed the start itself:
// in the first announcement, within one lease after the agent began to listen.
type Uptime struct {
	// ListeningSince is the time from which announcements are accepted, Lease the
	// time within which a running server repeats its announcement.
	ListeningSince, Lease time.Duration

	known     bool
	address   string
	lastSeen  time.Duration
	startTime time.Duration
}

// RecordAnnouncement records an announcement from an address. age is negative if
// unknown.
func (u *Uptime) RecordAnnouncement(now time.Duration, address string, age time.Duration) {
	switch {
	case !u.known && now-u.ListeningSince <= u.Lease:
		u.startTime = now - max(age, 0)
	case !u.known || address != u.address || now-u.lastSeen > u.Lease:
		u.startTime = now
	case age >= 0 && now-age > u.startTime+restartMargin:
		u.startTime = now - age
	}
	u.known = true
	u.address = address
	u.lastSeen = now
}

// StartTime returns the time of the last cold start. It is negative for a server
// that started before time 0 of the clock.
func (u *Uptime) StartTime() time.Duration { return u.startTime }

// Expired reports whether the lease of the last announcement has expired.
func (u *Uptime) Expired(now time.Duration) bool {
	return !u.known || now-u.lastSeen > u.Lease
}
