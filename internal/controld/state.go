package controld

import (
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// configState lets the configuration's state machine be read while the
// replica applies commands. What it returns is immutable.
type configState struct {
	changed *hub

	mu      sync.RWMutex
	machine *config.Machine
	// appliedAt is when the current version was applied here, zero if it was restored.
	appliedAt time.Time
	// names has the services of the current version by number.
	names map[uint32]string
	// deltas has what was last computed by update, by base version. They all
	// lead to the current version.
	deltas map[uint64]delta
}

// delta leads from one version to the current one.
type delta struct {
	update *controlpb.ConfigUpdate
	// touched has the numbers of the services that it changes.
	touched map[uint32]bool
	// domains tells that the evacuations change, which concern all services.
	domains bool
}

func newDelta(base, current *configpb.Configuration) delta {
	d := delta{update: config.Diff(base, current), touched: map[uint32]bool{}}
	d.domains = d.update.GetEvacuations() != nil
	names := map[string]bool{}
	for _, s := range d.update.GetPut() {
		d.touched[s.GetNumber()] = true
		names[s.GetName()] = true
	}
	for _, name := range d.update.GetRemoved() {
		names[name] = true
	}
	// A name may have passed to a service of another number.
	for _, s := range base.GetServices() {
		if names[s.GetName()] {
			d.touched[s.GetNumber()] = true
		}
	}
	return d
}

func (d delta) touches(scope map[uint32]bool) bool {
	if d.domains {
		return true
	}
	for number := range scope {
		if d.touched[number] {
			return true
		}
	}
	return false
}

func newConfigState() *configState {
	return &configState{
		changed: newHub(),
		machine: config.New(),
		deltas:  map[uint64]delta{},
	}
}

// Apply implements replica.StateMachine.
func (s *configState) Apply(index uint64, command []byte) []byte {
	result, changed := s.apply(index, command)
	if changed {
		s.changed.notify()
	}
	return result
}

func (s *configState) apply(index uint64, command []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.Current()
	result := s.machine.Apply(index, command)
	changed := s.machine.Current() != before
	if changed {
		s.appliedAt = time.Now()
		s.index()
	}
	return result, changed
}

// index rebuilds what follows from the current version. The lock is held.
func (s *configState) index() {
	s.deltas = map[uint64]delta{}
	services := s.machine.Current().GetServices()
	s.names = make(map[uint32]string, len(services))
	for _, service := range services {
		s.names[service.GetNumber()] = service.GetName()
	}
}

// Snapshot implements replica.StateMachine.
func (s *configState) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (s *configState) Restore(snapshot []byte) error {
	s.mu.Lock()
	err := s.machine.Restore(snapshot)
	s.index()
	s.mu.Unlock()
	s.changed.notify()
	return err
}

func (s *configState) current() (*configpb.Configuration, string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Current(), s.machine.VersionPatch()
}

// document returns the operator's document of the route table in force, and the
// revision of the table.
func (s *configState) document() ([]byte, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.RouteTableDocument(), s.machine.Current().GetTable().GetRevision()
}

// sinceApplied returns how long ago a version was applied here, if it is the current
// one.
func (s *configState) sinceApplied(version uint64) (since time.Duration, current bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.appliedAt.IsZero() || s.machine.Current().GetVersion() != version {
		return 0, false
	}
	return time.Since(s.appliedAt), true
}

func (s *configState) version() uint64 {
	c, _ := s.current()
	return c.GetVersion()
}

// at returns a version of the history, or nil.
func (s *configState) at(version uint64) *configpb.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Version(version)
}

func (s *configState) isEvacuated(failureDomain string) bool {
	c, _ := s.current()
	return config.IsEvacuated(c, failureDomain)
}

// alreadyEvacuated returns the outcome of an order without an identifier that would change
// nothing, nil if the group has to decide.
func (s *configState) alreadyEvacuated(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	c, _ := s.current()
	if o.GetId() != "" || config.IsEvacuated(c, o.GetFailureDomain()) == o.GetEnd() {
		return nil
	}
	return &configpb.EvacuationOutcome{
		Verdict: configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED,
		Version: c.GetVersion(),
	}
}

func (s *configState) outcome(id string) *configpb.Outcome {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Outcome(id)
}

// registered returns the registration of a process that has one, or nil.
func (s *configState) registered(r *configpb.RegisterTarget) *configpb.Registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.FindRegistration(r)
}

// allTargets reports whether there is an agreed identity and heard is true for each.
func (s *configState) allTargets(heard func(number, incarnation uint32) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all, any := true, false
	s.machine.ForEachTarget(func(id *configpb.TargetIdentity) bool {
		any = true
		all = heard(id.GetNumber(), id.GetIncarnation())
		return all
	})
	return all && any
}

func (s *configState) target(number uint32) *configpb.TargetIdentity {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Target(number)
}

// serviceName returns the name of a service number, or nothing if this host
// does not know the number.
func (s *configState) serviceName(number uint32) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.names[number]
}

// update returns what leads a subscriber from the version it has to the
// current one: a delta where the history allows, else a snapshot. With a scope
// it concerns these services only. The caller owns the message, but not what
// it refers to.
func (s *configState) update(from uint64, scope map[uint32]bool) *controlpb.ConfigUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.machine.Current()
	base := s.machine.Version(from)
	// A subscriber without a configuration has nothing to apply a delta to.
	if base == nil || from == 0 {
		return &controlpb.ConfigUpdate{Snapshot: within(current, scope), Version: current.GetVersion()}
	}
	// A new version is sent to all subscribers at once, nearly all of them
	// from the same base.
	shared, ok := s.deltas[from]
	if !ok {
		shared = newDelta(base, current)
		s.deltas[from] = shared
	}
	if scope == nil {
		return copyDelta(shared.update)
	}
	if !shared.touches(scope) {
		return &controlpb.ConfigUpdate{BaseVersion: from, Version: current.GetVersion()}
	}
	return config.Diff(config.FilterServices(base, scope), config.FilterServices(current, scope))
}

func copyDelta(u *controlpb.ConfigUpdate) *controlpb.ConfigUpdate {
	return &controlpb.ConfigUpdate{
		BaseVersion: u.GetBaseVersion(),
		Version:     u.GetVersion(),
		Put:         u.GetPut(),
		Removed:     u.GetRemoved(),
		Retired:     u.GetRetired(),
		Released:    u.GetReleased(),
		Table:       u.GetTable(),
		Evacuations: u.GetEvacuations(),
	}
}

func within(c *configpb.Configuration, scope map[uint32]bool) *configpb.Configuration {
	if scope == nil {
		return c
	}
	return config.FilterServices(c, scope)
}
