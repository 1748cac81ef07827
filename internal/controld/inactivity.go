package controld

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

// inactivityTracker records since when members have not replied to the leader. A new leader
// starts anew, so members are removed later rather than too early.
type inactivityTracker struct {
	since map[voters.Replica]time.Time
}

func newInactivityTracker() *inactivityTracker {
	return &inactivityTracker{since: map[voters.Replica]time.Time{}}
}

func (t *inactivityTracker) reset() { clear(t.since) }

// update sets how long each member has been inactive.
func (t *inactivityTracker) update(members []voters.Member, now time.Time) []voters.Member {
	current := make(map[voters.Replica]time.Time, len(t.since))
	for i, m := range members {
		if m.Active {
			continue
		}
		since, known := t.since[m.Replica]
		if !known {
			since = now
		}
		current[m.Replica] = since
		members[i].InactiveFor = now.Sub(since)
	}
	t.since = current
	return members
}
