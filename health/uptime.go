package health

import "time"

// restartMargin is how much later than the known start a claimed one has to
// be in order to count as another cold start. Announcements are held up by less.
const restartMargin = time.Second

// Uptime tells since when the backend server has been up, from what the agent
// itself observed and from the age that the server claims. Observation goes
// first: a claim to be younger is believed, since it costs only the server
// itself; a claim to be older counts only where the agent could not have seen
// the start, which is before it listened and for one lease after.
type Uptime struct {
	// ListeningSince is since when announcements are taken, Lease the time within
	// which a living server announces itself.
	ListeningSince, Lease time.Duration

	known   bool
	address string
	heard   time.Duration
	since   time.Duration
}

// RecordAnnouncement records an announcement from an address. age is negative if the
// server does not tell its age.
func (u *Uptime) RecordAnnouncement(now time.Duration, address string, age time.Duration) {
	switch {
	case !u.known && now-u.ListeningSince <= u.Lease:
		u.since = now - max(age, 0)
	case !u.known || address != u.address || now-u.heard > u.Lease:
		u.since = now
	case age >= 0 && now-age > u.since+restartMargin:
		u.since = now - age
	}
	u.known = true
	u.address = address
	u.heard = now
}

// StartTime returns the time of the cold start, on the clock of Announced. It is
// negative for a server that was up before that clock began.
func (u *Uptime) StartTime() time.Duration { return u.since }

// Expired reports whether no announcement came within the lease.
func (u *Uptime) Expired(now time.Duration) bool {
	return !u.known || now-u.heard > u.Lease
}
