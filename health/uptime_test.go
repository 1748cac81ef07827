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
	type said struct {
		at      time.Duration
		address string
		age     time.Duration
	}
	const listening = 5 * time.Second
	cases := []struct {
		name  string
		said  []said
		since time.Duration
	}{
		{"new agent beside a warm server", []said{{6 * time.Second, "a", time.Hour}}, 6*time.Second - time.Hour},
		{"server that does not tell", []said{{6 * time.Second, "a", -1}}, 6 * time.Second},
		{"came while the agent listened", []said{{listening + uptimeLease + 1, "a", time.Hour}}, listening + uptimeLease + 1},
		{"another server claims to be old", []said{{6 * time.Second, "a", time.Hour}, {8 * time.Second, "b", time.Hour}}, 8 * time.Second},
		{"back after its lease", []said{{6 * time.Second, "a", 0}, {20 * time.Second, "a", time.Hour}}, 20 * time.Second},
		{"restart at the same address", []said{{6 * time.Second, "a", time.Hour}, {9 * time.Second, "a", time.Second}}, 8 * time.Second},
		{"announcement held up", []said{{6 * time.Second, "a", 0}, {9 * time.Second, "a", 2500 * time.Millisecond}}, 6 * time.Second},
		{"grows old by claim", []said{{6 * time.Second, "a", 0}, {7 * time.Second, "a", time.Hour}}, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := health.Uptime{ListeningSince: listening, Lease: uptimeLease}
			for _, s := range c.said {
				u.RecordAnnouncement(s.at, s.address, s.age)
			}
			is.Equal(u.StartTime(), c.since)
			is.True(!u.Expired(c.said[len(c.said)-1].at))
		})
	}
}

// Whatever a server claims, an agent that saw it come, change its address or
// come back after its lease never holds it to be older than that.
func TestClaimsNeverBeatObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := health.Uptime{Lease: uptimeLease}
		now, heard, seen := time.Duration(0), time.Duration(0), time.Duration(-1)
		address := ""
		for range rapid.IntRange(1, 50).Draw(t, "announcements") {
			now += time.Duration(rapid.Int64Range(0, int64(2*uptimeLease)).Draw(t, "pause"))
			next := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")
			if now-heard > uptimeLease || address != "" && next != address {
				seen = now
			}
			address, heard = next, now
			u.RecordAnnouncement(now, next, time.Duration(rapid.Int64Range(-1, int64(24*time.Hour)).Draw(t, "claim")))
			if u.StartTime() > now {
				t.Fatalf("up since %v at %v", u.StartTime(), now)
			}
			if seen >= 0 && u.StartTime() < seen {
				t.Fatalf("seen to come at %v, taken to be up since %v", seen, u.StartTime())
			}
		}
	})
}
