package experiment

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

func newTestSite(t *testing.T, name string, broken, imbalance float64) *Site {
	t.Helper()
	s := &settingspb.ExperimentSettings{Site: &settingspb.Site{
		Name: name, FailureDomains: []string{"one", "two"}, Targets: []string{"main=2", "second=1"},
	}}
	settings.ApplyDefaults(s)
	patch := &configpb.Patch{}
	for _, service := range []string{"second", "main"} {
		patch.Operations = append(patch.Operations, &configpb.Operation{Body: &configpb.Operation_PutService{
			PutService: &configpb.Service{Name: service, Slots: 3, Policy: &configpb.Policy{
				BrokenFlowWeight: broken, ImbalanceWeight: imbalance, RampMs: 10,
			}},
		}})
	}
	site, err := newSite(s, patch)
	is.New(t).NoErr(err)
	return site
}

func TestSiteFromSettingsAndPatch(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, "x", 4, 1)
	is.Equal(s.services[0].Name, "main") // order of the settings
	is.Equal(s.services[0].Targets, 2)
	is.Equal(s.services[0].Slots, uint32(3))
	is.Equal(s.ramp(), 10*time.Millisecond)
	o := s.deploymentOptions(Policies()[0], 7)
	is.Equal(o.Services[1].Policy.GetBrokenFlowWeight(), 4.0)
	is.Equal(o.Network.DomainDelay, time.Millisecond)
	is.Equal(o.Network.Seed, uint64(7))
}

func TestInvalidSite(t *testing.T) {
	s := &settingspb.ExperimentSettings{Site: &settingspb.Site{Targets: []string{"main=2"}}}
	_, err := newSite(s, &configpb.Patch{})
	is.New(t).True(errors.Is(err, ErrInvalidSite))
	_, err = newSite(&settingspb.ExperimentSettings{}, &configpb.Patch{})
	is.New(t).True(errors.Is(err, ErrInvalidSite))
}

func TestPolicyChangesOnlyItsFields(t *testing.T) {
	is := is.New(t)
	x, y := newTestSite(t, "x", 4, 1), newTestSite(t, "y", 1, 4)
	base := x.weights()
	for _, tt := range []struct {
		policy            Policy
		strategy          configpb.Strategy
		broken, imbalance float64
	}{
		{Policies()[0], configpb.Strategy_STRATEGY_WEIGHTED, 4, 1},
		{Policies()[1], configpb.Strategy_STRATEGY_TWO_CHOICES, 4, 1},
		{Policies()[2], configpb.Strategy_STRATEGY_HASH, 4, 1},
		{WeightedAs(y), configpb.Strategy_STRATEGY_WEIGHTED, 1, 4},
	} {
		got := tt.policy.apply(base)
		is.Equal(got.GetStrategy(), tt.strategy)
		is.Equal(got.GetBrokenFlowWeight(), tt.broken)
		is.Equal(got.GetImbalanceWeight(), tt.imbalance)
		is.Equal(got.GetRampMs(), uint32(10))
	}
	is.Equal(base.GetStrategy(), configpb.Strategy_STRATEGY_WEIGHTED) // not modified
}

func TestRunSpecs(t *testing.T) {
	sites := []*Site{newTestSite(t, "x", 4, 1), newTestSite(t, "y", 1, 4)}
	for _, tt := range []struct {
		name string
		o    Options
		want int
	}{
		{"all", Options{Seeds: []uint64{1}}, 2 * (len(Scenarios())*len(Policies()) + 1)},
		{"one site", Options{Seeds: []uint64{1}, OnlySites: []string{"x"}}, len(Scenarios())*len(Policies()) + 1},
		{"seeds", Options{Seeds: []uint64{1, 2}, Scenarios: []string{Calm}, Policies: []string{Hash}}, 4},
		{"weights of another site", Options{Seeds: []uint64{1}, Scenarios: []string{Calm}, Policies: []string{"weighted as y"}}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.o.Sites = sites
			runSpecs, err := tt.o.runSpecs()
			is.NoErr(err)
			is.Equal(len(runSpecs), tt.want)
		})
	}
}

func TestInvalidOptions(t *testing.T) {
	sites := []*Site{newTestSite(t, "x", 4, 1)}
	for _, o := range []Options{
		{Seeds: []uint64{1}},
		{Sites: sites},
		{Sites: sites, Seeds: []uint64{1}, OnlySites: []string{"z"}},
		{Sites: sites, Seeds: []uint64{1}, Scenarios: []string{"storm"}},
		{Sites: sites, Seeds: []uint64{1}, Policies: []string{"random"}},
	} {
		_, err := Run(t.Context(), o)
		is.New(t).True(errors.Is(err, ErrInvalidOptions))
	}
}
