package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/health"
)

const uptimeLease = 10 * time.Second

func TestUptime(t *testing.T) {
	type announced struct {
		at      time.Duration
		address string
		age     time.Duration
	}
	const listening = 5 * time.Second
	cases := []struct {
		name      string
		announced []announced
		since     time.Duration
	}{
		{"new agent, warm server", []announced{{6 * time.Second, "a", time.Hour}}, 6*time.Second - time.Hour},
		{"age unknown", []announced{{6 * time.Second, "a", -1}}, 6 * time.Second},
		{"first announcement after the first lease", []announced{{listening + uptimeLease + 1, "a", time.Hour}}, listening + uptimeLease + 1},
		{"new address with a claimed age", []announced{{6 * time.Second, "a", time.Hour}, {8 * time.Second, "b", time.Hour}}, 8 * time.Second},
		{"announcement after the lease expired", []announced{{6 * time.Second, "a", 0}, {20 * time.Second, "a", time.Hour}}, 20 * time.Second},
		{"restart at the same address", []announced{{6 * time.Second, "a", time.Hour}, {9 * time.Second, "a", time.Second}}, 8 * time.Second},
		{"delayed announcement", []announced{{6 * time.Second, "a", 0}, {9 * time.Second, "a", 2500 * time.Millisecond}}, 6 * time.Second},
		{"claimed age grows", []announced{{6 * time.Second, "a", 0}, {7 * time.Second, "a", time.Hour}}, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := health.Uptime{ListeningSince: listening, Lease: uptimeLease}
			for _, s := range c.announced {
				u.RecordAnnouncement(s.at, s.address, s.age)
			}
			is.Equal(u.StartTime(), c.since)
			is.True(!u.Expired(c.announced[len(c.announced)-1].at))
		})
	}
}

// A claimed age never moves the start time before a start that the agent observed, such
// as a new address or an announcement after the lease expired.
func TestClaimedAgeNeverOverridesObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := health.Uptime{Lease: uptimeLease}
		now, lastSeen, observedStart := time.Duration(0), time.Duration(0), time.Duration(-1)
		address := ""
		for range rapid.IntRange(1, 50).Draw(t, "announcements") {
			now += time.Duration(rapid.Int64Range(0, int64(2*uptimeLease)).Draw(t, "pause"))
			next := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")
			if now-lastSeen > uptimeLease || address != "" && next != address {
				observedStart = now
			}
			address, lastSeen = next, now
			u.RecordAnnouncement(now, next, time.Duration(rapid.Int64Range(-1, int64(24*time.Hour)).Draw(t, "claim")))
			if u.StartTime() > now {
				t.Fatalf("start time %v is after now %v", u.StartTime(), now)
			}
			if observedStart >= 0 && u.StartTime() < observedStart {
				t.Fatalf("observed start at %v, but start time is %v", observedStart, u.StartTime())
			}
		}
	})
}
