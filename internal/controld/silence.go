package controld

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/voters"
)

// silence is since when the members of a group have not answered its leader. It is
// kept by the leader alone: another one starts anew, which errs on the side of a
// member that keeps its vote.
type silence struct {
	since map[voters.Replica]time.Time
}

func newSilence() *silence { return &silence{since: map[voters.Replica]time.Time{}} }

func (s *silence) forget() { clear(s.since) }

// note fills in how long each member has been silent.
func (s *silence) note(members []voters.Member, now time.Time) []voters.Member {
	there := make(map[voters.Replica]time.Time, len(s.since))
	for i, m := range members {
		if m.Active {
			continue
		}
		since, known := s.since[m.Replica]
		if !known {
			since = now
		}
		there[m.Replica] = since
		members[i].InactiveFor = now.Sub(since)
	}
	s.since = there
	return members
}
