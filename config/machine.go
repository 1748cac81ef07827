package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// ErrInvalidSnapshot means that a snapshot does not contain a state of this machine.
var ErrInvalidSnapshot = errors.New("invalid configuration snapshot")

// Machine is the state machine of the configuration. It is not safe for concurrent use.
type Machine struct {
	current      *configpb.Configuration
	versionPatch string
	outcomes     *outcomes
	orders       handledOrders
	targets      *targets
	// lastService is the highest service number ever assigned.
	lastService uint32
	// document is the operator's document of the active route table.
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

// Apply runs one command of the log and returns a configpb.Result. A command that this
// release cannot decode changes nothing; its result has no body.
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
		known := m.FindRegistration(body.Register) != nil
		registration := m.register(body.Register)
		return &configpb.Result{
			Body:    &configpb.Result_Registration{Registration: registration},
			Created: !known && registration.GetRefusal() == "",
		}
	case *configpb.Command_Unregister:
		m.targets.unregister(body.Unregister)
	case *configpb.Command_Leave:
		m.targets.leave(body.Leave)
	case *configpb.Command_Replacement:
		replaced := m.replace(body.Replacement)
		return &configpb.Result{Body: &configpb.Result_Replaced{Replaced: replaced}}
	case *configpb.Command_Evacuation:
		evacuated := m.evacuate(body.Evacuation)
		return &configpb.Result{Body: &configpb.Result_Evacuated{Evacuated: evacuated}}
	}
	return &configpb.Result{}
}

// patch decides a patch, or returns the first outcome of a known one.
func (m *Machine) patch(p *configpb.Patch) *configpb.Outcome {
	digest := Digest(p)
	if first := m.outcomes.find(p.GetId()); first != nil {
		return m.duplicateOutcome(first, p, digest)
	}
	out := m.evaluate(p)
	out.Digest = digest
	// An invalid identifier cannot be looked up later.
	if p.GetId() != "" && len(p.GetId()) <= MaxIDLength {
		m.outcomes.add(out)
	}
	return out
}

// duplicateOutcome returns the outcome of a patch with a known identifier.
func (m *Machine) duplicateOutcome(first *configpb.Outcome, p *configpb.Patch, digest []byte) *configpb.Outcome {
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

// evaluate decides a new patch and publishes it as a version if it is valid.
func (m *Machine) evaluate(p *configpb.Patch) *configpb.Outcome {
	out := &configpb.Outcome{Id: p.GetId(), Version: m.current.GetVersion(), VersionPatch: m.versionPatch}
	if p.GetBaseVersion() != m.current.GetVersion() {
		out.Verdict = configpb.Verdict_VERDICT_REFUSED_BASE
		out.Findings = []*configpb.Finding{m.baseFinding(p.GetBaseVersion())}
		return out
	}
	d, findings := buildDraft(m.current, p)
	if len(findings) > 0 {
		out.Verdict = configpb.Verdict_VERDICT_REFUSED_FINDINGS
		out.Findings = findings
		return out
	}
	m.commit(d, p.GetId())
	out.Verdict = configpb.Verdict_VERDICT_ACCEPTED
	out.Version = m.current.GetVersion()
	out.VersionPatch = p.GetId()
	return out
}

// baseFinding explains why a patch's base version is not the current one.
func (m *Machine) baseFinding(base uint64) *configpb.Finding {
	f := &configpb.Finding{Place: "base version"}
	current := m.current.GetVersion()
	if base > current {
		f.Text = fmt.Sprintf("there is no version %d yet, the current one is %d", base, current)
		return f
	}
	if accepted := m.outcomes.byVersion(base + 1); accepted != nil {
		f.Text = fmt.Sprintf("patch %q turned version %d into version %d", accepted.GetId(), base, base+1)
		return f
	}
	if before, after := m.Version(base), m.Version(base+1); before != nil && !sameEvacuations(before, after) {
		f.Text = fmt.Sprintf("an order to evacuate a failure domain turned version %d into version %d", base, base+1)
		return f
	}
	// The patch itself may be among those whose outcome was evicted.
	f.Text = fmt.Sprintf("the outcomes of patches against version %d are no longer kept: "+
		"compare the configuration before sending the change again", base)
	return f
}

// commit publishes the draft as the next version.
func (m *Machine) commit(d *draft, id string) {
	// Numbers are assigned in the order of the patch, the same on every replica.
	for _, name := range d.putOrder() {
		number := findService(m.current, name).GetNumber()
		if number == 0 || d.removed[name] {
			m.lastService++
			number = m.lastService
		}
		warmup := findService(m.current, name).GetWarmup()
		d.services[name] = canonicalService(d.services[name], number)
		d.services[name].Warmup = warmup
	}
	m.publish(assemble(m.current, m.current.GetVersion()+1, d.services, d.removed, d.retired), id)
	if len(d.removed) > 0 {
		m.targets.retainServices(m.numberSet())
	}
}

// canonicalService returns a copy of a service with its number and canonical addresses.
func canonicalService(s *configpb.Service, number uint32) *configpb.Service {
	out := proto.CloneOf(s)
	out.Number = number
	for i, text := range out.GetAddresses() {
		addr, _ := parsePublicAddress(text)
		out.Addresses[i] = addr.String()
	}
	return out
}

// assemble returns the version that follows from base after putting and removing services,
// with the given retired addresses. Services and addresses are sorted, so that equal
// configurations have equal encodings.
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

// findService returns the service of a version by name, or nil.
func findService(c *configpb.Configuration, name string) *configpb.Service {
	i, found := slices.BinarySearchFunc(c.GetServices(), name, compareName)
	if !found {
		return nil
	}
	return c.GetServices()[i]
}

// publish makes a configuration the current version.
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
