package config

import (
	"bytes"
	"container/list"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Refusals of a registration.
const (
	// RefusalUnknownService tells that no service has that name.
	RefusalUnknownService = "there is no service of that name"
	// RefusalProcess tells that the process identity is empty or too long.
	RefusalProcess = "the process identity is empty or too long"
	// RefusalNumbers tells that all target numbers have been assigned.
	RefusalNumbers = "all target numbers have been assigned"
)

type targetKey struct {
	service uint32
	name    string
}

// targets holds the agreed identities, in the order of their last
// registration, oldest first.
type targets struct {
	byKey  map[targetKey]*list.Element
	number map[uint32]*list.Element
	order  *list.List
	// last is the highest target number ever assigned.
	last uint32
}

func newTargets() *targets {
	return &targets{
		byKey:  map[targetKey]*list.Element{},
		number: map[uint32]*list.Element{},
		order:  list.New(),
	}
}

func restoreTargets(ids []*configpb.TargetIdentity, last uint32) *targets {
	t := newTargets()
	t.last = last
	for _, id := range ids {
		t.add(id)
	}
	return t
}

func identity(e *list.Element) *configpb.TargetIdentity { return e.Value.(*configpb.TargetIdentity) }

func keyOf(id *configpb.TargetIdentity) targetKey {
	return targetKey{service: id.GetServiceNumber(), name: id.GetTarget()}
}

func (t *targets) byNumber(number uint32) *configpb.TargetIdentity {
	if e, ok := t.number[number]; ok {
		return identity(e)
	}
	return nil
}

func (t *targets) list() []*configpb.TargetIdentity {
	ids := make([]*configpb.TargetIdentity, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		ids = append(ids, identity(e))
	}
	return ids
}

// add keeps an identity as the newest one.
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
	id := identity(e)
	delete(t.byKey, keyOf(id))
	delete(t.number, id.GetNumber())
	t.order.Remove(e)
}

// keepServices drops the targets of services that are gone: a later service
// of the same name has another number, its targets start anew.
func (t *targets) keepServices(numbers map[uint32]bool) {
	var next *list.Element
	for e := t.order.Front(); e != nil; e = next {
		next = e.Next()
		if !numbers[identity(e).GetServiceNumber()] {
			t.drop(e)
		}
	}
}

func (m *Machine) register(r *configpb.RegisterTarget) *configpb.Registration {
	if fault := nameFault(r.GetTarget()); fault != "" {
		return &configpb.Registration{Refusal: "target: " + fault}
	}
	if len(r.GetProcess()) == 0 || len(r.GetProcess()) > MaxProcessLength {
		return &configpb.Registration{Refusal: RefusalProcess}
	}
	if r.GetCreateService() && serviceNamed(m.current, r.GetService()) == nil && tableNameFault(r.GetService()) == "" {
		m.publish(m.withServices(&configpb.Replacement{Services: []string{r.GetService()}}), m.versionPatch)
	}
	service := serviceNamed(m.current, r.GetService()).GetNumber()
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

// unregister forgets an identity, unless a newer incarnation holds its number.
func (t *targets) unregister(u *configpb.UnregisterTarget) {
	e, ok := t.number[u.GetNumber()]
	if ok && identity(e).GetIncarnation() == u.GetIncarnation() {
		t.drop(e)
	}
}

// ForEachTarget calls visit for each agreed identity until it returns false.
func (m *Machine) ForEachTarget(visit func(*configpb.TargetIdentity) bool) {
	for e := m.targets.order.Front(); e != nil; e = e.Next() {
		if !visit(identity(e)) {
			return
		}
	}
}

// FindRegistration returns the registration that a process has, or nil.
func (m *Machine) FindRegistration(r *configpb.RegisterTarget) *configpb.Registration {
	service := serviceNamed(m.current, r.GetService()).GetNumber()
	e, ok := m.targets.byKey[targetKey{service: service, name: r.GetTarget()}]
	if !ok || !bytes.Equal(identity(e).GetProcess(), r.GetProcess()) {
		return nil
	}
	id := identity(e)
	return &configpb.Registration{ServiceNumber: service, TargetNumber: id.GetNumber(), Incarnation: id.GetIncarnation()}
}

// register returns the identity for a process, or nil when no number is left.
func (t *targets) register(r *configpb.RegisterTarget, service uint32) *configpb.TargetIdentity {
	next := &configpb.TargetIdentity{
		Service:       r.GetService(),
		ServiceNumber: service,
		Target:        r.GetTarget(),
		Incarnation:   1,
		Process:       r.GetProcess(),
	}
	if e, ok := t.byKey[keyOf(next)]; ok {
		held := identity(e)
		if bytes.Equal(held.GetProcess(), r.GetProcess()) {
			return held
		}
		next.Number = held.GetNumber()
		next.Incarnation = held.GetIncarnation() + 1
	}
	// A new target, or one that has used up the incarnations of its number.
	if next.GetNumber() == 0 || next.GetIncarnation() > MaxTargetNumber {
		if t.last >= MaxTargetNumber {
			return nil
		}
		t.last++
		next.Number = t.last
		next.Incarnation = 1
	}
	t.add(next)
	return next
}
