package capacity

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

func TestDesignSizeRatios(t *testing.T) {
	for _, tc := range []struct {
		name string
		got  float64
		want float64
	}{
		{"subscribers of a control host", DesignSize.Subscribers(), 14_000.0 / 15},
		{"flows of an entry host", DesignSize.FlowsPerEntry(), 20_000},
		{"flows of an agent", DesignSize.FlowsPerAgent(), 40e6 / 12_000},
		{"new flows of an agent", DesignSize.NewFlowsPerAgent(), 100e3 / 12_000},
		{"seconds between changes", 1 / DesignSize.ChangesPerSecond(), 86_400.0 / 3300},
		{"targets of a failure domain", DesignSize.TargetsPerDomain(), 12_000.0 / 21},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).True(almostEqual(tc.got, tc.want))
		})
	}
}

func TestServicesShareAddresses(t *testing.T) {
	for _, tc := range []struct{ services, addresses int }{{1000, 5500}, {100, 100}, {3, 10}} {
		is := is.New(t)
		total, seen := 0, map[string]bool{}
		for _, s := range newServices(tc.services, tc.addresses) {
			for _, a := range s.GetAddresses() {
				seen[a] = true
				total++
			}
		}
		is.Equal(total, tc.addresses)
		is.Equal(len(seen), tc.addresses) // no duplicates
	}
}

func TestQuantiles(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for i := 100; i >= 0; i-- {
		times = append(times, time.Duration(i)*time.Millisecond)
	}
	is.Equal(newQuantiles("q", 7, times), Quantiles{Name: "q", Size: 7, Samples: 101, P50: 50, P99: 99, Max: 100})
}

func TestParseProc(t *testing.T) {
	is := is.New(t)
	const status = "Name:\tx\nVmRSS:\t  300 kB\nRssAnon:\t     100 kB\nRssFile:\t     200 kB\n"
	private, err := parseMemory(status, "RssAnon:")
	is.NoErr(err)
	is.Equal(private, 100.0*1024)
	_, err = parseMemory("Name:\tx\n", "RssAnon:")
	is.True(errors.Is(err, ErrProcFormat))
	_, err = parseMemory("RssAnon:\tmany\n", "RssAnon:")
	is.True(errors.Is(err, ErrProcFormat))

	cpu, err := parseSchedstat("1500 20 3\n")
	is.NoErr(err)
	is.Equal(cpu, 1500*time.Nanosecond)
	for _, text := range []string{"", "x 1 2"} {
		_, err := parseSchedstat(text)
		is.True(errors.Is(err, ErrProcFormat))
	}
}

func TestOwnUsage(t *testing.T) {
	is := is.New(t)
	u, err := processUsage(ownPID)
	is.NoErr(err)
	is.True(u.private > 0)
	is.True(u.file > 0)
	is.True(u.cpu > 0)
}

// Runs the measurements that need no daemon.
func TestRunStateMachines(t *testing.T) {
	is := is.New(t)
	r, err := Run(t.Context(), Options{Only: []string{"machines"}, Log: zap.NewNop()})
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(r.WriteText(&b))
	for _, s := range r.Slopes {
		is.True(len(s.Points) >= 4)
		is.True(strings.Contains(b.String(), s.Name))
	}
}

func TestUnknownMeasurement(t *testing.T) {
	_, err := Run(t.Context(), Options{Only: []string{"none"}, Log: zap.NewNop()})
	is.New(t).True(errors.Is(err, ErrUnknownMeasurement))
}

// The settings of the testbed's control hosts must be valid.
func TestSettingsOfControlHost(t *testing.T) {
	is := is.New(t)
	tb := &testbed{dir: t.TempDir(), log: zap.NewNop()}
	d, err := tb.prepare(3)
	is.NoErr(err)
	for _, c := range d.controls {
		got := &settingspb.ControlSettings{}
		is.NoErr(settings.Parse("control.ini", []byte(settings.Format(c.settings)), got))
		is.Equal(got.GetReplica().GetInitialVoters(), c.settings.GetReplica().GetInitialVoters())
		is.Equal(len(got.GetReplica().GetInitialVoters()), 3)
		is.Equal(got.GetReplica().GetListen(), c.link)
	}
}

// A replica must apply a synthetic log completely.
func TestRestartOfSyntheticLogs(t *testing.T) {
	is := is.New(t)
	versions, err := versionsLog(newService(0, 1), newService(1, 2))
	is.NoErr(err)
	for name, log := range map[string]syntheticLog{"grants": grantsLog(), "versions": versions} {
		const entries = entriesPerRecord + 20
		elapsed, err := timeRestart(filepath.Join(t.TempDir(), name), log, entries)
		is.NoErr(err)
		is.True(elapsed > 0)
	}
}
