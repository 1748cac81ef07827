package controld

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/config"
	"eelgrasswharf.example/eelgrasswharf/membership"
)

// configState makes the configuration's state machine safe for concurrent reads while the
// replica applies commands. The messages it returns are immutable.
type configState struct {
	changed *notifier
	// applied is the number of commands and snapshots applied.
	applied atomic.Uint64

	mu      sync.RWMutex
	machine *config.Machine
	// appliedAt is when the current version was applied here, zero if it was restored.
	appliedAt time.Time
	// names has the service names of the current version by number.
	names map[uint32]string
	// recent has the registrations that were applied here, by target number. Those of a
	// snapshot are not among them.
	recent map[uint32]recentRegistration
	// deltas caches the deltas to the current version by base version.
	deltas map[uint64]delta
}

// recentRegistration is the incarnation of a target and the term of its registration.
type recentRegistration struct {
	incarnation uint32
	term        uint64
}

// delta is the difference between a base version and the current one.
type delta struct {
	update *controlpb.ConfigUpdate
	// changedServices has the numbers of the changed services.
	changedServices map[uint32]bool
	// all is set if the evacuations or the revision of the route table changed, which are
	// in all scopes.
	all bool
	// ofService caches the differences of the scopes with one service: all agents of a
	// service have the same.
	ofService map[uint32]*controlpb.ConfigUpdate
}

func newDelta(base, current *configpb.Configuration) delta {
	d := delta{update: config.Diff(base, current), changedServices: map[uint32]bool{}, ofService: map[uint32]*controlpb.ConfigUpdate{}}
	d.all = d.update.GetEvacuations() != nil || d.update.GetTable() != nil
	changedNames := map[string]bool{}
	for _, s := range d.update.GetPut() {
		d.changedServices[s.GetNumber()] = true
		changedNames[s.GetName()] = true
	}
	for _, name := range d.update.GetRemoved() {
		changedNames[name] = true
	}
	// A name may have been reassigned to another service number.
	for _, s := range base.GetServices() {
		if changedNames[s.GetName()] {
			d.changedServices[s.GetNumber()] = true
		}
	}
	return d
}

func (d delta) affects(scope map[uint32]bool) bool {
	if d.all {
		return true
	}
	for number := range scope {
		if d.changedServices[number] {
			return true
		}
	}
	return false
}

func newConfigState() *configState {
	return &configState{
		changed: newNotifier(),
		machine: config.New(),
		recent:  map[uint32]recentRegistration{},
		deltas:  map[uint64]delta{},
	}
}

// Apply implements replica.StateMachine.
func (s *configState) Apply(index uint64, command []byte) []byte {
	return s.ApplyInTerm(0, index, command)
}

// ApplyInTerm implements replica.TermApplier.
func (s *configState) ApplyInTerm(term, index uint64, command []byte) []byte {
	result, changed := s.apply(term, index, command)
	if changed {
		s.changed.notify()
	}
	return result
}

func (s *configState) apply(term, index uint64, command []byte) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.applied.Add(1)
	before := s.machine.Current()
	registers := s.newRegistration(command)
	result := s.machine.Apply(index, command)
	if registers != nil {
		s.recordRegistration(registers, term)
	}
	changed := s.machine.Current() != before
	if changed {
		s.appliedAt = time.Now()
		s.index()
	}
	return result, changed
}

// newRegistration returns the registration in a command, nil if there is none or the process
// is registered already. The lock is held.
func (s *configState) newRegistration(command []byte) *configpb.RegisterTarget {
	var c configpb.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return nil
	}
	if c.GetRegister() == nil || s.machine.FindRegistration(c.GetRegister()) != nil {
		return nil
	}
	return c.GetRegister()
}

// recordRegistration records the term of an applied registration. The lock is held.
func (s *configState) recordRegistration(r *configpb.RegisterTarget, term uint64) {
	if got := s.machine.FindRegistration(r); got != nil {
		s.recent[got.GetTargetNumber()] = recentRegistration{incarnation: got.GetIncarnation(), term: term}
	}
	if len(s.recent) > config.MaxTargets {
		maps.DeleteFunc(s.recent, func(number uint32, _ recentRegistration) bool { return s.machine.Target(number) == nil })
	}
}

// restartedTargets summarizes which registered targets have come back. Those registered in
// the given term have restarted.
func (s *configState) restartedTargets(term uint64, known func(number, incarnation uint32) bool) membership.Restart {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var summary membership.Restart
	s.machine.ForEachTarget(func(id *configpb.TargetIdentity) bool {
		summary.Add(membership.RegisteredTarget{
			Present: known(id.GetNumber(), id.GetIncarnation()),
			Leaving: id.GetLeaving(),
			Recent:  s.recent[id.GetNumber()] == recentRegistration{incarnation: id.GetIncarnation(), term: term},
			First:   id.GetIncarnation() == 1,
		})
		return true
	})
	return summary
}

// index rebuilds what is derived from the current version. The lock is held.
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
	s.recent = map[uint32]recentRegistration{}
	s.applied.Add(1)
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

// document returns the operator's document of the active route table and its revision.
func (s *configState) document() ([]byte, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.RouteTableDocument(), s.machine.Current().GetTable().GetRevision()
}

// routeTable returns the active route table, nil if there is none.
func (s *configState) routeTable() *configpb.RouteTable {
	c, _ := s.current()
	return c.GetTable()
}

// sinceApplied returns how long ago a version was applied here, if it is the current one.
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

// versionAt returns a version of the history, or nil.
func (s *configState) versionAt(version uint64) *configpb.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Version(version)
}

func (s *configState) isEvacuated(failureDomain string) bool {
	c, _ := s.current()
	return config.IsEvacuated(c, failureDomain)
}

// unchangedOutcome returns the outcome of an order that changes nothing and has no
// identifier, nil if the order has to be replicated.
func (s *configState) unchangedOutcome(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
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

// registered returns the existing registration of a process, or nil.
func (s *configState) registered(r *configpb.RegisterTarget) *configpb.Registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.FindRegistration(r)
}

// allTargetsKnown reports whether any target is registered and known is true for each.
func (s *configState) allTargetsKnown(known func(number, incarnation uint32) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all, found := true, false
	s.machine.ForEachTarget(func(id *configpb.TargetIdentity) bool {
		found = true
		all = known(id.GetNumber(), id.GetIncarnation())
		return all
	})
	return all && found
}

func (s *configState) target(number uint32) *configpb.TargetIdentity {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Target(number)
}

// serviceName returns the name of a service number, empty if it is unknown here.
func (s *configState) serviceName(number uint32) string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.names[number]
}

// update returns the change from a subscriber's version to the current one: a delta if the
// history has the version, else a snapshot. A non-nil scope limits it to these services.
// The caller owns the message, but not what it refers to.
func (s *configState) update(from uint64, scope map[uint32]bool) *controlpb.ConfigUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.machine.Current()
	base := s.machine.Version(from)
	// A subscriber without a configuration cannot apply a delta.
	if base == nil || from == 0 {
		return &controlpb.ConfigUpdate{Snapshot: filterServices(current, scope), Version: current.GetVersion()}
	}
	// Most subscribers update from the same base, so deltas are shared.
	shared, ok := s.deltas[from]
	if !ok {
		shared = newDelta(base, current)
		s.deltas[from] = shared
	}
	if scope == nil {
		return copyDelta(shared.update)
	}
	if !shared.affects(scope) {
		return &controlpb.ConfigUpdate{BaseVersion: from, Version: current.GetVersion()}
	}
	return shared.scoped(base, current, scope)
}

// scoped returns the difference for a scope. The caller owns the message, but not what it
// refers to.
func (d delta) scoped(base, current *configpb.Configuration, scope map[uint32]bool) *controlpb.ConfigUpdate {
	for number := range scope {
		if len(scope) > 1 {
			break
		}
		if d.ofService[number] == nil {
			d.ofService[number] = config.Diff(config.FilterServices(base, scope), config.FilterServices(current, scope))
		}
		return copyDelta(d.ofService[number])
	}
	return config.Diff(config.FilterServices(base, scope), config.FilterServices(current, scope))
}

// tableRevision returns the revision of the route table in a version, and false if the
// history no longer has that version.
func (s *configState) tableRevision(version uint64) (uint64, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.machine.Version(version)
	return c.GetTable().GetRevision(), c != nil
}

// sameHistory reports whether the subscriber's version has as much of the former services of routes
// as that version has here. A delta between versions with more would leave some out.
func (s *configState) sameHistory(version uint64, req *controlpb.Subscribe) bool {
	if req.TableHistory == nil {
		return true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.machine.Version(version)
	return c == nil || c.GetTable().GetHistory() == req.GetTableHistory()
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

func filterServices(c *configpb.Configuration, scope map[uint32]bool) *configpb.Configuration {
	if scope == nil {
		return c
	}
	return config.FilterServices(c, scope)
}
