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

// ErrInvalidSite reports settings that do not match the patch.
var ErrInvalidSite = errors.New("experiment settings do not match the patch")

// Site is a deployment to measure.
type Site struct {
	settings *settingspb.ExperimentSettings
	// services are in the order of the settings; the first is the main one.
	services []dev.Service
}

// LoadSite reads the settings file of an experiment and its patch. Errors:
// settings.Findings, ErrInvalidSite, or that of reading a file.
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
	inPatch := map[string]*configpb.Service{}
	for _, op := range patch.GetOperations() {
		if service := op.GetPutService(); service != nil {
			inPatch[service.GetName()] = service
		}
	}
	site := &Site{settings: s}
	for _, spec := range s.GetSite().GetTargets() {
		name, number, _ := strings.Cut(spec, "=")
		count, err := strconv.Atoi(number)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidSite, "targets %q", spec)
		}
		service := inPatch[name]
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

// Name returns the name of the site.
func (s *Site) Name() string { return s.settings.GetSite().GetName() }

// weights returns the policy of the main service.
func (s *Site) weights() *configpb.Policy { return s.services[0].Policy }

// domains returns the names of the failure domains.
func (s *Site) domains() []string { return s.settings.GetSite().GetFailureDomains() }

// deploymentOptions returns the options of a deployment with the policy.
func (s *Site) deploymentOptions(p Policy, seed uint64) dev.Options {
	options := dev.Options{
		Domains:      s.domains(),
		EntryHosts:   int(s.settings.GetSite().GetEntryHosts()),
		ControlHosts: int(s.settings.GetSite().GetControlHosts()),
		// Must suit the load of the callers.
		FlowCapacity: s.settings.GetCallers().GetFlowCapacity(),
		Network: &dev.Network{
			DomainDelay: microseconds(s.settings.GetDistance().GetBetweenDomainsUs()),
			CallerDelay: microseconds(s.settings.GetDistance().GetToCallersUs()),
			Seed:        seed,
		},
	}
	for _, service := range s.services {
		service.Policy = p.apply(service.Policy)
		options.Services = append(options.Services, service)
	}
	return options
}

// load returns the options for the callers of a service.
func (s *Site) load(service dev.Service, length time.Duration, seed uint64) loadgen.Options {
	c := s.settings.GetCallers()
	return loadgen.Options{
		Rate:            float64(c.GetRequestsPerTarget()) * float64(service.Targets),
		Connections:     int(c.GetConnections()),
		RequestsPerFlow: int(c.GetRequestsPerFlow()),
		Sessions:        int(c.GetSessions()),
		SessionRamp:     time.Duration(sessionRampShare * float64(length)),
		WatchPeriod:     milliseconds(c.GetWatchMs()),
		NonRepeatable:   float64(c.GetNonRepeatablePercent()) / percent,
		Work:            milliseconds(c.GetWorkMs()),
		Deadline:        milliseconds(c.GetDeadlineMs()),
		Duration:        length,
		Seed:            seed,
		Window:          stepLength,
	}
}

// ramp returns the longest ramp of the services.
func (s *Site) ramp() time.Duration {
	longest := time.Duration(0)
	for _, service := range s.services {
		longest = max(longest, milliseconds(service.Policy.GetRampMs()))
	}
	return longest
}

// Policy is how entry hosts choose the target of a new flow.
type Policy struct {
	// Name is shown in reports.
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

// Policies returns the weighted policy with the site's own weights, and the
// policies to compare it with.
func Policies() []Policy {
	return []Policy{
		{Name: Weighted},
		{Name: TwoChoices, strategy: configpb.Strategy_STRATEGY_TWO_CHOICES},
		{Name: Hash, strategy: configpb.Strategy_STRATEGY_HASH},
	}
}

// WeightedAs returns the weighted policy with the weights of another site.
func WeightedAs(other *Site) Policy {
	return Policy{Name: Weighted + " as " + other.Name(), weights: other.weights()}
}

// apply returns a copy of a service's policy with the strategy and weights.
func (p Policy) apply(base *configpb.Policy) *configpb.Policy {
	policy := &configpb.Policy{}
	if base != nil {
		policy = proto.CloneOf(base)
	}
	policy.Strategy = p.strategy
	if p.weights != nil {
		policy.BrokenFlowWeight = p.weights.GetBrokenFlowWeight()
		policy.ImbalanceWeight = p.weights.GetImbalanceWeight()
	}
	return policy
}

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
