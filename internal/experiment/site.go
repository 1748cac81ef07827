package experiment

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/dev"
	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const percent = 100

// ErrInvalidSite reports settings and a patch that do not fit together.
var ErrInvalidSite = errors.New("the settings of the experiment do not fit together")

// Site is a deployment to measure.
type Site struct {
	settings *settingspb.ExperimentSettings
	// services in the order of the settings; the first is the main one.
	services []dev.Service
}

// LoadSite reads the settings file of an experiment and the patch that it
// names. The error is settings.Findings, ErrSite, or what kept a file from
// being read.
func LoadSite(path string) (*Site, error) {
	s := &settingspb.ExperimentSettings{}
	if err := settings.Load(path, s); err != nil {
		return nil, err
	}
	patch, err := settings.LoadPatch(s.GetSite().GetPatch())
	if err != nil {
		return nil, err
	}
	return newSite(s, patch)
}

func newSite(s *settingspb.ExperimentSettings, patch *configpb.Patch) (*Site, error) {
	put := map[string]*configpb.Service{}
	for _, op := range patch.GetOperations() {
		if service := op.GetPutService(); service != nil {
			put[service.GetName()] = service
		}
	}
	site := &Site{settings: s}
	for _, text := range s.GetSite().GetTargets() {
		name, number, _ := strings.Cut(text, "=")
		count, err := strconv.Atoi(number)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidSite, "targets %q", text)
		}
		service := put[name]
		if service == nil {
			return nil, errors.Wrapf(ErrInvalidSite, "the patch creates no service %q", name)
		}
		site.services = append(site.services, dev.Service{
			Name: name, Targets: count, Slots: service.GetSlots(), Policy: service.GetPolicy(),
		})
	}
	if len(site.services) == 0 {
		return nil, errors.Wrap(ErrInvalidSite, "no service has targets")
	}
	return site, nil
}

// Name of the site.
func (s *Site) Name() string { return s.settings.GetSite().GetName() }

// weights are those of the main service.
func (s *Site) weights() *configpb.Policy { return s.services[0].Policy }

// domains are the names of the failure domains.
func (s *Site) domains() []string { return s.settings.GetSite().GetFailureDomains() }

// options describe the deployment under a policy.
func (s *Site) options(p Policy, seed uint64) dev.Options {
	o := dev.Options{
		Domains:      s.domains(),
		EntryHosts:   int(s.settings.GetSite().GetEntryHosts()),
		ControlHosts: int(s.settings.GetSite().GetControlHosts()),
		// In keeping with the scale of the callers.
		FlowCapacity: s.settings.GetCallers().GetFlowCapacity(),
		Network: &dev.Network{
			DomainDelay: microseconds(s.settings.GetDistance().GetBetweenDomainsUs()),
			CallerDelay: microseconds(s.settings.GetDistance().GetToCallersUs()),
			Seed:        seed,
		},
	}
	for _, service := range s.services {
		service.Policy = p.apply(service.Policy)
		o.Services = append(o.Services, service)
	}
	return o
}

// load describes the callers of a service.
func (s *Site) load(service dev.Service, length time.Duration, seed uint64) loadgen.Options {
	c := s.settings.GetCallers()
	return loadgen.Options{
		Rate:            float64(c.GetRequestsPerTarget()) * float64(service.Targets),
		Connections:     int(c.GetConnections()),
		RequestsPerFlow: int(c.GetRequestsPerFlow()),
		Sessions:        int(c.GetSessions()),
		SessionRamp:     time.Duration(sessionShare * float64(length)),
		WatchPeriod:     milliseconds(c.GetWatchMs()),
		NonRepeatable:   float64(c.GetNonRepeatablePercent()) / percent,
		Work:            milliseconds(c.GetWorkMs()),
		Deadline:        milliseconds(c.GetDeadlineMs()),
		Duration:        length,
		Seed:            seed,
		Window:          step,
	}
}

// ramp is the longest ramp of the services.
func (s *Site) ramp() time.Duration {
	longest := time.Duration(0)
	for _, service := range s.services {
		longest = max(longest, milliseconds(service.Policy.GetRampMs()))
	}
	return longest
}

// Policy is how entry hosts choose the target of a new flow.
type Policy struct {
	// Name in reports.
	Name     string
	strategy configpb.Strategy
	// weights replace those of the site's patch, if set.
	weights *configpb.Policy
}

// Names of the policies.
const (
	Weighted   = "weighted"
	TwoChoices = "two-choices"
	Hash       = "hash"
)

// Policies are the one in use, with the site's own weights, and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: Weighted},
		{Name: TwoChoices, strategy: configpb.Strategy_STRATEGY_TWO_CHOICES},
		{Name: Hash, strategy: configpb.Strategy_STRATEGY_HASH},
	}
}

// WeightedAs is the policy in use, with the weights of another site.
func WeightedAs(other *Site) Policy {
	return Policy{Name: Weighted + " as " + other.Name(), weights: other.weights()}
}

// apply returns a copy of a service's policy with the strategy and weights.
func (p Policy) apply(own *configpb.Policy) *configpb.Policy {
	out := &configpb.Policy{}
	if own != nil {
		out = proto.CloneOf(own)
	}
	out.Strategy = p.strategy
	if p.weights != nil {
		out.BrokenFlowWeight = p.weights.GetBrokenFlowWeight()
		out.ImbalanceWeight = p.weights.GetImbalanceWeight()
	}
	return out
}

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
