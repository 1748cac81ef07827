package subscriber

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Guards against a view that counts as newer than it is known to be: resets of flows rest on it.
func TestConfirmedBy(t *testing.T) {
	sent := time.Unix(1000, 0)
	now := sent.Add(time.Minute)
	age := func(ms uint32) *uint32 { return &ms }
	for name, tt := range map[string]struct {
		heartbeat *controlpb.Heartbeat
		want      time.Time
	}{
		"none":                             {nil, time.Time{}},
		"an answer, however long it took":  {&controlpb.Heartbeat{Version: 7, Confirm: 1, ConfirmedAgeMs: age(0)}, sent},
		"of another version":               {&controlpb.Heartbeat{Version: 8, Confirm: 1, ConfirmedAgeMs: age(0)}, time.Time{}},
		"to an earlier request":            {&controlpb.Heartbeat{Version: 7, Confirm: 9, ConfirmedAgeMs: age(0)}, now.Add(-15 * time.Second)},
		"no answer, which may be old":      {&controlpb.Heartbeat{Version: 7, ConfirmedAgeMs: age(500)}, now.Add(-15500 * time.Millisecond)},
		"never confirmed":                  {&controlpb.Heartbeat{Version: 7, ConfirmedAgeMs: age(math.MaxUint32)}, time.Time{}},
		"an earlier release":               {&controlpb.Heartbeat{Version: 7}, now.Add(-15 * time.Second)},
		"an earlier release, isolated":     {&controlpb.Heartbeat{Version: 7, Isolated: true}, time.Time{}},
		"an answer of an isolated host":    {&controlpb.Heartbeat{Version: 7, Confirm: 1, Isolated: true, ConfirmedAgeMs: age(9)}, sent},
		"a version that is not active yet": {&controlpb.Heartbeat{Version: 9, Confirm: 1, ConfirmedAgeMs: age(0)}, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Subscriber{opts: Options{}.withDefaults()}
			s.versions.active = &configpb.Configuration{Version: 7}
			is.Equal(s.newConfirmRequest(sent), uint64(1))
			at, confirmed := s.confirmedBy(tt.heartbeat, now)
			is.True(at.Equal(tt.want))
			is.Equal(confirmed, !tt.want.IsZero())
			_, confirmed = s.confirmedBy(tt.heartbeat, now)
			is.True(!confirmed) // not later than before
		})
	}
}
