package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// ErrInvalidSnapshot tells that a snapshot does not hold a state of this machine.
var ErrInvalidSnapshot = errors.New("snapshot holds no configuration state")

// Machine is the state machine of the configuration. It is not safe for use
// by several goroutines.
type Machine struct {
	current      *configpb.Configuration
	versionPatch string
	outcomes     *outcomes
	orders       handledOrders
	targets      *targets
	// lastService is the highest service number ever assigned.
	lastService uint32
	// document is the operator's of the route table in force.
	document []byte
	// history has the newest versions, oldest first, current last.
	history []*configpb.Configuration
}

// New returns a machine at version 0, without services.
func New() *Machine {
	m := &Machine{outcomes: newOutcomes(), targets: newTargets()}
	m.publish(&configpb.Configuration{}, "")
	return m
}

// Apply runs one command of the log and returns a configpb.Result. A command
// that this release cannot read changes nothing; its result has no body.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c configpb.Command
	result := &configpb.Result{}
	if err := proto.Unmarshal(command, &c); err == nil {
		result = m.run(&c)
	}
	// Marshalling fails only for invalid UTF-8, which Unmarshal refuses.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	return data
}

func (m *Machine) run(c *configpb.Command) *configpb.Result {
	switch body := c.GetBody().(type) {
	case *configpb.Command_Patch:
		outcome := m.patch(body.Patch)
		return &configpb.Result{Body: &configpb.Result_Outcome{Outcome: outcome}}
	case *configpb.Command_Register:
		registration := m.register(body.Register)
		return &configpb.Result{Body: &configpb.Result_Registration{Registration: registration}}
	case *configpb.Command_Unregister:
		m.targets.unregister(body.Unregister)
	case *configpb.Command_Replacement:
		replaced := m.replace(body.Replacement)
		return &configpb.Result{Body: &configpb.Result_Replaced{Replaced: replaced}}
	case *configpb.Command_Evacuation:
		evacuated := m.evacuate(body.Evacuation)
		return &configpb.Result{Body: &configpb.Result_Evacuated{Evacuated: evacuated}}
	}
	return &configpb.Result{}
}

// patch decides on a patch, or answers with the first decision on it.
func (m *Machine) patch(p *configpb.Patch) *configpb.Outcome {
	digest := Digest(p)
	if first := m.outcomes.find(p.GetId()); first != nil {
		return m.repeat(first, p, digest)
	}
	out := m.judge(p)
	out.Digest = digest
	// Without a proper identifier there is nothing to find it by later.
	if p.GetId() != "" && len(p.GetId()) <= MaxIDLength {
		m.outcomes.add(out)
	}
	return out
}

// repeat answers a patch whose identifier is known.
func (m *Machine) repeat(first *configpb.Outcome, p *configpb.Patch, digest []byte) *configpb.Outcome {
	if slices.Equal(first.GetDigest(), digest) {
		return first
	}
	return &configpb.Outcome{
		Id:           p.GetId(),
		Verdict:      configpb.Verdict_VERDICT_REFUSED_ID,
		Version:      first.GetVersion(),
		VersionPatch: first.GetVersionPatch(),
		Digest:       digest,
	}
}

// judge decides on a patch that was not seen before, and makes it a version if
// it fits.
func (m *Machine) judge(p *configpb.Patch) *configpb.Outcome {
	out := &configpb.Outcome{Id: p.GetId(), Version: m.current.GetVersion(), VersionPatch: m.versionPatch}
	if p.GetBaseVersion() != m.current.GetVersion() {
		out.Verdict = configpb.Verdict_VERDICT_REFUSED_BASE
		out.Findings = []*configpb.Finding{m.baseFinding(p.GetBaseVersion())}
		return out
	}
	d, findings := rehearse(m.current, p)
	if len(findings) > 0 {
		out.Verdict = configpb.Verdict_VERDICT_REFUSED_FINDINGS
		out.Findings = findings
		return out
	}
	m.accept(d, p.GetId())
	out.Verdict = configpb.Verdict_VERDICT_ACCEPTED
	out.Version = m.current.GetVersion()
	out.VersionPatch = p.GetId()
	return out
}

// baseFinding tells what became of the base version that a patch names.
func (m *Machine) baseFinding(base uint64) *configpb.Finding {
	f := &configpb.Finding{Place: "base version"}
	current := m.current.GetVersion()
	if base > current {
		f.Text = fmt.Sprintf("there is no version %d yet, the current one is %d", base, current)
		return f
	}
	if winner := m.outcomes.accepted(base + 1); winner != nil {
		f.Text = fmt.Sprintf("patch %q turned version %d into version %d", winner.GetId(), base, base+1)
		return f
	}
	if before, after := m.Version(base), m.Version(base+1); before != nil && !sameEvacuations(before, after) {
		f.Text = fmt.Sprintf("an order to evacuate a failure domain turned version %d into version %d", base, base+1)
		return f
	}
	// The outcome of this very patch may be among the forgotten ones.
	f.Text = fmt.Sprintf("the outcomes of patches against version %d are no longer kept: "+
		"compare the configuration before sending the change again", base)
	return f
}

// accept makes the draft the next version.
func (m *Machine) accept(d *draft, id string) {
	// The order in the patch decides the numbers, on every replica alike.
	for _, name := range d.putOrder() {
		number := serviceNamed(m.current, name).GetNumber()
		if number == 0 || d.removed[name] {
			m.lastService++
			number = m.lastService
		}
		warmup := serviceNamed(m.current, name).GetWarmup()
		d.services[name] = normalise(d.services[name], number)
		d.services[name].Warmup = warmup
	}
	m.publish(assemble(m.current, m.current.GetVersion()+1, d.services, d.removed, d.retired), id)
	if len(d.removed) > 0 {
		m.targets.keepServices(m.numberSet())
	}
}

// normalise copies a service with its number and canonical addresses.
func normalise(s *configpb.Service, number uint32) *configpb.Service {
	out := proto.CloneOf(s)
	out.Number = number
	for i, text := range out.GetAddresses() {
		addr, _ := publicAddress(text)
		out.Addresses[i] = addr.String()
	}
	return out
}

// assemble returns the version that follows from base by services that are put
// and removed, and the retired addresses. It lists services by name, as base
// does, and addresses in order, so that equal configurations have equal
// encodings.
func assemble(base *configpb.Configuration, version uint64, put map[string]*configpb.Service, removed, retired map[string]bool) *configpb.Configuration {
	services := make([]*configpb.Service, len(base.GetServices()), len(base.GetServices())+len(put))
	copy(services, base.GetServices())
	for name := range removed {
		if i, found := slices.BinarySearchFunc(services, name, compareName); found {
			services = slices.Delete(services, i, i+1)
		}
	}
	for name, s := range put {
		i, found := slices.BinarySearchFunc(services, name, compareName)
		if found {
			services[i] = s
			continue
		}
		services = slices.Insert(services, i, s)
	}
	return &configpb.Configuration{
		Version:     version,
		Services:    services,
		Retired:     retiredList(retired),
		Table:       base.GetTable(),
		Evacuations: base.GetEvacuations(),
	}
}

// compareName orders services by name.
func compareName(s *configpb.Service, name string) int { return cmp.Compare(s.GetName(), name) }

// serviceNamed returns the service of a version, or nil.
func serviceNamed(c *configpb.Configuration, name string) *configpb.Service {
	i, found := slices.BinarySearchFunc(c.GetServices(), name, compareName)
	if !found {
		return nil
	}
	return c.GetServices()[i]
}

// publish makes a version the current one.
func (m *Machine) publish(c *configpb.Configuration, id string) {
	m.current = c
	m.versionPatch = id
	m.history = append(m.history, c)
	if len(m.history) > MaxHistory {
		m.history = slices.Delete(m.history, 0, len(m.history)-MaxHistory)
	}
}

func (m *Machine) numberSet() map[uint32]bool {
	set := make(map[uint32]bool, len(m.current.GetServices()))
	for _, s := range m.current.GetServices() {
		set[s.GetNumber()] = true
	}
	return set
}
