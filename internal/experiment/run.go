package experiment

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Errors of Run.
var (
	// ErrInvalidOptions reports missing options or unknown names.
	ErrInvalidOptions = errors.New("invalid options of the experiment")
	// ErrViolations reports runs with outcomes that must never happen.
	ErrViolations = errors.New("outcomes that must never happen")
)

// Options select the runs: every combination of site, scenario, policy and seed.
type Options struct {
	Sites []*Site
	// OnlySites are the names of the sites to run; none means all. The weights of
	// the other sites are still used by "weighted as SITE".
	OnlySites []string
	// Scenarios are names of scenarios; none means all.
	Scenarios []string
	// Policies are names of policies; none means all. "weighted as SITE" is the
	// weighted policy with the weights of another site. If not named, it only runs
	// in the scenario unsteady-start.
	Policies []string
	Seeds    []uint64
	Log      *zap.Logger
	// Progress, if set, is called after each run.
	Progress func(*RunResult)
}

// runSpec describes one run.
type runSpec struct {
	site     *Site
	scenario Scenario
	policy   Policy
	seed     uint64
}

// Result holds the results of runs in their order.
type Result struct {
	Runs []*RunResult `json:"cells"`
}

// Run runs all combinations one at a time. It returns ErrInvalidOptions for
// unknown names. If runs fail or have violations, the error names them, and the
// result holds the completed runs.
func Run(ctx context.Context, o Options) (*Result, error) {
	runSpecs, err := o.runSpecs()
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	var closing conc.WaitGroup
	defer closing.Wait()
	result := &Result{}
	var failed []error
	for _, p := range runSpecs {
		if ctx.Err() != nil {
			failed = append(failed, ctx.Err())
			break
		}
		runResult, err := runOne(ctx, p, o.Log, &closing)
		if err != nil {
			failed = append(failed, errors.Wrapf(err, "%s, %s, %s, seed %d",
				p.site.Name(), p.scenario.Name, p.policy.Name, p.seed))
			continue
		}
		result.Runs = append(result.Runs, runResult)
		if o.Progress != nil {
			o.Progress(runResult)
		}
	}
	return result, errors.Join(append(failed, result.checkCorrect())...)
}

// runSpecs returns the runs by site, scenario, policy and seed.
func (o *Options) runSpecs() ([]runSpec, error) {
	if len(o.Sites) == 0 || len(o.Seeds) == 0 {
		return nil, errors.Wrap(ErrInvalidOptions, "no site or no seed")
	}
	if err := o.checkNames(); err != nil {
		return nil, err
	}
	var runSpecs []runSpec
	for _, site := range o.Sites {
		if len(o.OnlySites) > 0 && !slices.Contains(o.OnlySites, site.Name()) {
			continue
		}
		for _, sc := range Scenarios() {
			if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, sc.Name) {
				continue
			}
			for _, p := range o.policiesFor(site, sc) {
				for _, seed := range o.Seeds {
					runSpecs = append(runSpecs, runSpec{site, sc, p, seed})
				}
			}
		}
	}
	return runSpecs, nil
}

// policiesFor returns the policies for a site and a scenario.
func (o *Options) policiesFor(site *Site, sc Scenario) []Policy {
	policies := Policies()
	for _, other := range o.Sites {
		named := slices.Contains(o.Policies, WeightedAs(other).Name)
		if other != site && (named || sc.Name == UnsteadyStart) {
			policies = append(policies, WeightedAs(other))
		}
	}
	if len(o.Policies) == 0 {
		return policies
	}
	return slices.DeleteFunc(policies, func(p Policy) bool { return !slices.Contains(o.Policies, p.Name) })
}

func (o *Options) checkNames() error {
	var scenarios, policies, sites []string
	for _, sc := range Scenarios() {
		scenarios = append(scenarios, sc.Name)
	}
	for _, p := range Policies() {
		policies = append(policies, p.Name)
	}
	for _, site := range o.Sites {
		policies = append(policies, WeightedAs(site).Name)
		sites = append(sites, site.Name())
	}
	for _, name := range o.OnlySites {
		if !slices.Contains(sites, name) {
			return errors.Wrapf(ErrInvalidOptions, "site %q, known are %q", name, sites)
		}
	}
	for _, name := range o.Scenarios {
		if !slices.Contains(scenarios, name) {
			return errors.Wrapf(ErrInvalidOptions, "scenario %q, known are %q", name, scenarios)
		}
	}
	for _, name := range o.Policies {
		if !slices.Contains(policies, name) {
			return errors.Wrapf(ErrInvalidOptions, "policy %q, known are %q", name, policies)
		}
	}
	return nil
}

// checkCorrect returns ErrViolations for runs with outcomes that must never
// happen.
func (r *Result) checkCorrect() error {
	var findings []error
	for _, c := range r.Runs {
		for _, s := range c.Services {
			if s.Violations() == 0 {
				continue
			}
			findings = append(findings, errors.Wrapf(ErrViolations,
				"%s, %s, %s, seed %d, %s: doubled %d, misrouted %d, falsely not run %d, wrong answers %d, answered but never run %d",
				c.Site, c.Scenario, c.Policy, c.Seed, s.Service,
				s.Doubled, s.Misrouted, s.FalselyNotRun, s.WrongAnswers, s.AnsweredUnrun))
		}
	}
	return errors.Join(findings...)
}
