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
	// ErrInvalidOptions reports options that name nothing to run.
	ErrInvalidOptions = errors.New("bad options of the experiment")
	// ErrViolations reports cells with outcomes that must never happen.
	ErrViolations = errors.New("outcomes that must never happen")
)

// Options name the cells to run: every site, scenario, policy and seed.
type Options struct {
	Sites []*Site
	// OnlySites names the sites to run; none means all. The others lend their
	// weights.
	OnlySites []string
	// Scenarios by name; none means all.
	Scenarios []string
	// Policies by name; none means all. "weighted as SITE" is the policy in
	// use with the weights of another of the sites; it runs by itself in the
	// scenario unsteady-start only, unless named.
	Policies []string
	Seeds    []uint64
	Log      *zap.Logger
	// Progress, if set, is told of each cell when it is done.
	Progress func(*RunResult)
}

// plan is one cell to run.
type plan struct {
	site     *Site
	scenario Scenario
	policy   Policy
	seed     uint64
}

// Result holds cells in the order in which they ran.
type Result struct {
	Runs []*RunResult `json:"cells"`
}

// Run runs the cells one after the other. It returns ErrOptions for unknown
// names. With ErrFaults, or when some cells could not be run, it returns the
// result of the others too; the error names the cells.
func Run(ctx context.Context, o Options) (*Result, error) {
	plans, err := o.plans()
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
	for _, p := range plans {
		if ctx.Err() != nil {
			failed = append(failed, ctx.Err())
			break
		}
		cell, err := runCell(ctx, p, o.Log, &closing)
		if err != nil {
			failed = append(failed, errors.Wrapf(err, "%s, %s, %s, seed %d",
				p.site.Name(), p.scenario.Name, p.policy.Name, p.seed))
			continue
		}
		result.Runs = append(result.Runs, cell)
		if o.Progress != nil {
			o.Progress(cell)
		}
	}
	return result, errors.Join(append(failed, result.check())...)
}

// plans lists the cells by site, scenario, policy and seed.
func (o *Options) plans() ([]plan, error) {
	if len(o.Sites) == 0 || len(o.Seeds) == 0 {
		return nil, errors.Wrap(ErrInvalidOptions, "no site or no seed")
	}
	if err := o.checkNames(); err != nil {
		return nil, err
	}
	var plans []plan
	for _, site := range o.Sites {
		if len(o.OnlySites) > 0 && !slices.Contains(o.OnlySites, site.Name()) {
			continue
		}
		for _, sc := range Scenarios() {
			if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, sc.Name) {
				continue
			}
			for _, p := range o.policies(site, sc) {
				for _, seed := range o.Seeds {
					plans = append(plans, plan{site, sc, p, seed})
				}
			}
		}
	}
	return plans, nil
}

// policies are those that run on a site in a scenario.
func (o *Options) policies(site *Site, sc Scenario) []Policy {
	all := Policies()
	for _, other := range o.Sites {
		named := slices.Contains(o.Policies, WeightedAs(other).Name)
		if other != site && (named || sc.Name == UnsteadyStart) {
			all = append(all, WeightedAs(other))
		}
	}
	if len(o.Policies) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(p Policy) bool { return !slices.Contains(o.Policies, p.Name) })
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

// check returns ErrFaults for cells with outcomes that must never happen.
func (r *Result) check() error {
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
