package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// ValidateEvacuation lists all findings of an evacuation order. It does not check that the
// failure domain exists, since the replicated state does not list failure domains.
func ValidateEvacuation(o *configpb.EvacuationOrder) []*configpb.Finding {
	var findings []*configpb.Finding
	addFinding := func(place, format string, args ...any) {
		findings = append(findings, &configpb.Finding{Place: place, Text: fmt.Sprintf(format, args...)})
	}
	switch name := o.GetFailureDomain(); {
	case name == "":
		addFinding("failure domain", "the name is empty")
	case len(name) > MaxTableNameLength:
		addFinding("failure domain", "the name is longer than %d bytes", MaxTableNameLength)
	}
	if len(o.GetId()) > MaxIDLength {
		addFinding("id", "is longer than %d bytes", MaxIDLength)
	}
	return findings
}

// IsEvacuated reports whether the targets of a failure domain get no new flows.
func IsEvacuated(c *configpb.Configuration, failureDomain string) bool {
	_, found := searchEvacuation(c.GetEvacuations(), failureDomain)
	return found
}

func searchEvacuation(list []*configpb.Evacuation, failureDomain string) (int, bool) {
	return slices.BinarySearchFunc(list, failureDomain, func(e *configpb.Evacuation, name string) int {
		return cmp.Compare(e.GetFailureDomain(), name)
	})
}

// evacuate decides an order, or returns the first outcome of a known one: a late duplicate
// must not undo a later order for the same failure domain.
func (m *Machine) evacuate(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	if findings := ValidateEvacuation(o); len(findings) > 0 {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID, findings...)
	}
	if first := m.orders.find(o.GetId()); first != nil {
		return m.duplicateOrder(first, o)
	}
	out := m.applyEvacuation(o)
	m.orders.add(o, out)
	return out
}

// duplicateOrder returns the outcome of an order with a known identifier.
func (m *Machine) duplicateOrder(first *configpb.HandledOrder, o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	previous := first.GetOrder()
	if previous.GetFailureDomain() == o.GetFailureDomain() && previous.GetEnd() == o.GetEnd() {
		return first.GetOutcome()
	}
	return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
		&configpb.Finding{Place: "id", Text: fmt.Sprintf("%q was used for another order", o.GetId())})
}

// applyEvacuation publishes the version that an order leads to, if it differs from the
// current one.
func (m *Machine) applyEvacuation(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	evacuations := m.current.GetEvacuations()
	index, found := searchEvacuation(evacuations, o.GetFailureDomain())
	if found != o.GetEnd() {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED)
	}
	if !found && len(evacuations) >= MaxEvacuations {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
			&configpb.Finding{Place: "failure domain", Text: fmt.Sprintf("%d are evacuated, at most %d", len(evacuations), MaxEvacuations)})
	}
	next := assemble(m.current, m.current.GetVersion()+1, nil, nil, retiredSet(m.current))
	next.Evacuations = slices.Clone(evacuations)
	if o.GetEnd() {
		next.Evacuations = slices.Delete(next.Evacuations, index, index+1)
	} else {
		next.Evacuations = slices.Insert(next.Evacuations, index, &configpb.Evacuation{
			FailureDomain: o.GetFailureDomain(),
			SinceVersion:  next.GetVersion(),
			Order:         o.GetId(),
			SinceUnixMs:   o.GetTakenUnixMs(),
		})
	}
	m.publish(next, "")
	return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_APPLIED)
}

func (m *Machine) evacuationOutcome(verdict configpb.EvacuationVerdict, findings ...*configpb.Finding) *configpb.EvacuationOutcome {
	return &configpb.EvacuationOutcome{Verdict: verdict, Version: m.current.GetVersion(), Findings: findings}
}

// handledOrders keeps the orders with an identifier, oldest first.
type handledOrders struct {
	list []*configpb.HandledOrder
}

// find returns the order with an identifier, or nil.
func (h *handledOrders) find(id string) *configpb.HandledOrder {
	if id == "" {
		return nil
	}
	i := slices.IndexFunc(h.list, func(o *configpb.HandledOrder) bool { return o.GetOrder().GetId() == id })
	if i < 0 {
		return nil
	}
	return h.list[i]
}

func (h *handledOrders) add(o *configpb.EvacuationOrder, out *configpb.EvacuationOutcome) {
	if o.GetId() == "" {
		return
	}
	h.list = append(h.list, &configpb.HandledOrder{Order: o, Outcome: out})
	h.list = h.list[max(len(h.list)-MaxHandledOrders, 0):]
}

// diffEvacuations returns the list of the second version if the two differ, else nil.
func diffEvacuations(from, to *configpb.Configuration) *controlpb.EvacuationList {
	if sameEvacuations(from, to) {
		return nil
	}
	return &controlpb.EvacuationList{Evacuations: to.GetEvacuations()}
}

func sameEvacuations(a, b *configpb.Configuration) bool {
	return slices.EqualFunc(a.GetEvacuations(), b.GetEvacuations(), func(x, y *configpb.Evacuation) bool {
		return x == y || proto.Equal(x, y)
	})
}
