package config

import (
	"bytes"
	"container/list"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Refusals of a registration.
const (
	// RefusalUnknownService means that no service has the given name.
	RefusalUnknownService = "there is no service of that name"
	// RefusalProcess means that the process identity is empty or too long.
	RefusalProcess = "the process identity is empty or too long"
	// RefusalNumbers means that no target numbers are left.
	RefusalNumbers = "all target numbers have been assigned"
)

// targetKey identifies a target by its service number and name.
type targetKey struct {
	service uint32
	name    string
}

// targets holds the target identities in the order of their last registration, oldest
// first.
type targets struct {
	byKey  map[targetKey]*list.Element
	number map[uint32]*list.Element
	order  *list.List
	// lastNumber is the highest target number ever assigned.
	lastNumber uint32
}

func newTargets() *targets {
	return &targets{
		byKey:  map[targetKey]*list.Element{},
		number: map[uint32]*list.Element{},
		order:  list.New(),
	}
}

func restoreTargets(ids []*configpb.TargetIdentity, lastNumber uint32) *targets {
	t := newTargets()
	t.lastNumber = lastNumber
	for _, id := range ids {
		t.add(id)
	}
	return t
}

func identityOf(e *list.Element) *configpb.TargetIdentity { return e.Value.(*configpb.TargetIdentity) }

func keyOf(id *configpb.TargetIdentity) targetKey {
	return targetKey{service: id.GetServiceNumber(), name: id.GetTarget()}
}

func (t *targets) byNumber(number uint32) *configpb.TargetIdentity {
	if e, ok := t.number[number]; ok {
		return identityOf(e)
	}
	return nil
}

func (t *targets) list() []*configpb.TargetIdentity {
	ids := make([]*configpb.TargetIdentity, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		ids = append(ids, identityOf(e))
	}
	return ids
}

// add stores an identity as the newest one and evicts the oldest beyond MaxTargets.
func (t *targets) add(id *configpb.TargetIdentity) {
	if e, ok := t.byKey[keyOf(id)]; ok {
		t.drop(e)
	}
	e := t.order.PushBack(id)
	t.byKey[keyOf(id)] = e
	t.number[id.GetNumber()] = e
	if t.order.Len() > MaxTargets {
		t.drop(t.order.Front())
	}
}

func (t *targets) drop(e *list.Element) {
	id := identityOf(e)
	delete(t.byKey, keyOf(id))
	delete(t.number, id.GetNumber())
	t.order.Remove(e)
}

// retainServices drops the targets of removed services. A later service of the same name
// has another number and new targets.
func (t *targets) retainServices(numbers map[uint32]bool) {
	var next *list.Element
	for e := t.order.Front(); e != nil; e = next {
		next = e.Next()
		if !numbers[identityOf(e).GetServiceNumber()] {
			t.drop(e)
		}
	}
}

func (m *Machine) register(r *configpb.RegisterTarget) *configpb.Registration {
	if problem := nameProblem(r.GetTarget()); problem != "" {
		return &configpb.Registration{Refusal: "target: " + problem}
	}
	if len(r.GetProcess()) == 0 || len(r.GetProcess()) > MaxProcessLength {
		return &configpb.Registration{Refusal: RefusalProcess}
	}
	if r.GetCreateService() && findService(m.current, r.GetService()) == nil && tableNameProblem(r.GetService()) == "" {
		m.publish(m.withServices(&configpb.Replacement{Services: []string{r.GetService()}}), m.versionPatch)
	}
	service := findService(m.current, r.GetService()).GetNumber()
	if service == 0 {
		return &configpb.Registration{Refusal: RefusalUnknownService}
	}
	id := m.targets.register(r, service)
	if id == nil {
		return &configpb.Registration{Refusal: RefusalNumbers}
	}
	return &configpb.Registration{
		ServiceNumber: service,
		TargetNumber:  id.GetNumber(),
		Incarnation:   id.GetIncarnation(),
	}
}

// unregister removes an identity, unless its number has a newer incarnation.
func (t *targets) unregister(u *configpb.UnregisterTarget) {
	e, ok := t.number[u.GetNumber()]
	if ok && identityOf(e).GetIncarnation() == u.GetIncarnation() {
		t.drop(e)
	}
}

// leave marks an identity as leaving, or removes the mark, unless its number has a newer incarnation. Its place in
// the order of registrations stays. Snapshots share identities, so it is replaced.
func (t *targets) leave(l *configpb.LeaveTarget) {
	e, ok := t.number[l.GetNumber()]
	if !ok || identityOf(e).GetIncarnation() != l.GetIncarnation() || identityOf(e).GetLeaving() != l.GetReturned() {
		return
	}
	next := proto.CloneOf(identityOf(e))
	next.Leaving = !l.GetReturned()
	e.Value = next
}

// ForEachTarget calls visit for each target identity until it returns false.
func (m *Machine) ForEachTarget(visit func(*configpb.TargetIdentity) bool) {
	for e := m.targets.order.Front(); e != nil; e = e.Next() {
		if !visit(identityOf(e)) {
			return
		}
	}
}

// FindRegistration returns the existing registration of a process, or nil.
func (m *Machine) FindRegistration(r *configpb.RegisterTarget) *configpb.Registration {
	service := findService(m.current, r.GetService()).GetNumber()
	e, ok := m.targets.byKey[targetKey{service: service, name: r.GetTarget()}]
	if !ok || !bytes.Equal(identityOf(e).GetProcess(), r.GetProcess()) {
		return nil
	}
	id := identityOf(e)
	return &configpb.Registration{ServiceNumber: service, TargetNumber: id.GetNumber(), Incarnation: id.GetIncarnation()}
}

// register returns the identity of a process, or nil if no number is left.
func (t *targets) register(r *configpb.RegisterTarget, service uint32) *configpb.TargetIdentity {
	next := &configpb.TargetIdentity{
		Service:       r.GetService(),
		ServiceNumber: service,
		Target:        r.GetTarget(),
		Incarnation:   1,
		Process:       r.GetProcess(),
	}
	if e, ok := t.byKey[keyOf(next)]; ok {
		existing := identityOf(e)
		if bytes.Equal(existing.GetProcess(), r.GetProcess()) {
			return existing
		}
		next.Number = existing.GetNumber()
		next.Incarnation = existing.GetIncarnation() + 1
	}
	// A new target, or one whose incarnations are exhausted.
	if next.GetNumber() == 0 || next.GetIncarnation() > MaxTargetNumber {
		if t.lastNumber >= MaxTargetNumber {
			return nil
		}
		t.lastNumber++
		next.Number = t.lastNumber
		next.Incarnation = 1
	}
	t.add(next)
	return next
}
