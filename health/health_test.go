package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"

	"eelgrasswharf.example/eelgrasswharf/health"
)

const tick = 100 * time.Millisecond

// recordRequest records one request with the given result.
func recordRequest(t *health.Tracker, now time.Duration, r health.Result) {
	t.RequestStarted(now)
	t.RequestEnded(now, r)
}

func TestObservationOverridesAlwaysUnhealthyEndpoint(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	now := time.Duration(0)
	for range health.ReportThreshold {
		tr.ReportReceived(now, health.ReportUnhealthy)
	}
	is.Equal(tr.Verdict(now), health.Verdict{Ill: true, Basis: health.BasisReport})
	for range health.MinSamples {
		recordRequest(tr, now, health.Answered)
	}
	is.Equal(tr.Verdict(now), health.Verdict{Basis: health.BasisObservation})
	now += 2 * health.Window // no observations left, the report stays contradicted
	tr.ReportReceived(now, health.ReportUnhealthy)
	is.True(!tr.Verdict(now).Ill)
	tr.ReportReceived(now, health.ReportHealthy) // a changed report counts again
	for range health.ReportThreshold {
		tr.ReportReceived(now, health.ReportUnhealthy)
	}
	is.True(tr.Verdict(now).Ill)
}

func TestReportOnlyVerdictExpires(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	for now := time.Duration(0); now < health.MaxReportOnlyTime; now += time.Second {
		tr.ReportReceived(now, health.ReportUnhealthy)
	}
	is.True(tr.Verdict(health.MaxReportOnlyTime).Ill)
	is.True(!tr.Verdict(health.MaxReportOnlyTime + tick).Ill) // gets requests again
}

func TestObservationOverridesAlwaysHealthyEndpoint(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	now := time.Second
	tr.ReportReceived(now, health.ReportHealthy)
	for range health.MinSamples {
		recordRequest(tr, now, health.Failed)
		tr.ReportReceived(now, health.ReportHealthy)
	}
	is.Equal(tr.Verdict(now), health.Verdict{Ill: true, Basis: health.BasisObservation})
	now += health.InitialHoldDown + health.Window + tick
	is.True(!tr.Verdict(now).Ill) // gets requests again
}

func TestConsecutiveRefusedConnectionsAreUnhealthy(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	for range health.RefusedThreshold - 1 {
		recordRequest(tr, 0, health.Refused)
	}
	is.True(!tr.Verdict(0).Ill)
	recordRequest(tr, 0, health.Refused)
	is.True(tr.Verdict(0).Ill)
}

func TestHangingEndpoint(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	now := time.Duration(0)
	for range health.MinSamples {
		recordRequest(tr, now, health.Answered)
		tr.ReportReceived(now, health.ReportNoResponse)
	}
	is.True(!tr.Verdict(now).Ill) // the endpoint hangs, but requests complete
	tr.RequestStarted(now)
	now += health.StallTimeout
	is.Equal(tr.Verdict(now), health.Verdict{Ill: true, Basis: health.BasisStall}) // both hang
	tr.RequestEnded(now, health.Answered)
	is.True(!tr.Verdict(now).Ill)
}

func TestCancelledRequestsDoNotCount(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	for range 3 * health.MinSamples {
		recordRequest(tr, 0, health.Cancelled)
	}
	is.Equal(tr.Verdict(0), health.Verdict{})
	is.Equal(tr.InFlight(), 0)
}

func TestHoldDownGrowsWithRecurringFailures(t *testing.T) {
	is := is.New(t)
	tr := health.NewTracker()
	now, holdDowns := time.Second, []time.Duration{}
	for range 6 {
		for range health.RefusedThreshold {
			recordRequest(tr, now, health.Refused)
		}
		start := now
		for tr.Verdict(now).Ill && now-start < time.Minute {
			now += tick
			if tr.Verdict(now).Basis == health.BasisObservation && now-start > health.MaxHoldDown+health.Window {
				break
			}
		}
		holdDowns = append(holdDowns, now-start)
	}
	for i := 1; i < len(holdDowns); i++ {
		is.True(holdDowns[i] >= holdDowns[i-1]) // never shorter while failures recur
	}
	is.True(holdDowns[len(holdDowns)-1] <= health.MaxHoldDown+health.Window+tick)
}

func TestLowFailureRateIsHealthy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := health.NewTracker()
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "rounds") {
			now += time.Duration(rapid.Int64Range(0, 300).Draw(t, "ms")) * time.Millisecond
			tr.ReportReceived(now, health.Report(rapid.IntRange(1, 3).Draw(t, "report")))
			recordRequest(tr, now, health.Answered)
			recordRequest(tr, now, health.Answered)
			recordRequest(tr, now, health.Answered)
			recordRequest(tr, now, health.Result(rapid.IntRange(1, 5).Draw(t, "result")))
			recordRequest(tr, now, health.Answered)
			if v := tr.Verdict(now); v.Ill {
				t.Fatalf("one failure in five resulted in verdict %+v", v)
			}
		}
	})
}

func TestReportsChangeLoadLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := health.LoadInput{
			Requests:        rapid.Float64Range(0, 20).Draw(t, "requests"),
			Slots:           rapid.IntRange(0, 8).Draw(t, "slots"),
			ReportedRunning: -1,
			Flows:           rapid.IntRange(0, 4000).Draw(t, "flows"),
			FlowCapacity:    2000,
		}
		baseline := health.Load(in)
		in.ReportedRunning = rapid.IntRange(-5, 1<<40).Draw(t, "reported")
		withReport := health.Load(in)
		if withReport < baseline || withReport > baseline+250 {
			t.Fatalf("a report changed the load from %d to %d", baseline, withReport)
		}
	})
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(health.Load(health.LoadInput{Requests: 2, Slots: 4, ReportedRunning: -1}), uint16(500))
	is.Equal(health.Load(health.LoadInput{Requests: 6, Slots: 4, ReportedRunning: -1}), uint16(1500))
	is.Equal(health.Load(health.LoadInput{Slots: 4, Flows: 100, FlowCapacity: 2000, ReportedRunning: -1}), uint16(50))
}
