package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// ValidateEvacuation lists every finding of an order to evacuate, each with its place. It
// needs no state. Whether there is such a failure domain is for the host that takes the
// order to know: hosts come and go without the log's knowledge.
func ValidateEvacuation(o *configpb.EvacuationOrder) []*configpb.Finding {
	var findings []*configpb.Finding
	find := func(place, format string, args ...any) {
		findings = append(findings, &configpb.Finding{Place: place, Text: fmt.Sprintf(format, args...)})
	}
	switch name := o.GetFailureDomain(); {
	case name == "":
		find("failure domain", "the name is empty")
	case len(name) > MaxTableNameLength:
		find("failure domain", "the name is longer than %d bytes", MaxTableNameLength)
	}
	if len(o.GetId()) > MaxIDLength {
		find("id", "is longer than %d bytes", MaxIDLength)
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

// evacuate decides on an order, or answers with the first decision on it: a copy that
// comes after the next order for the same failure domain must not undo that one.
func (m *Machine) evacuate(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	if findings := ValidateEvacuation(o); len(findings) > 0 {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID, findings...)
	}
	if first := m.orders.find(o.GetId()); first != nil {
		return m.repeatOrder(first, o)
	}
	out := m.carryOut(o)
	m.orders.add(o, out)
	return out
}

// repeatOrder answers an order whose identifier is known.
func (m *Machine) repeatOrder(first *configpb.HandledOrder, o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	held := first.GetOrder()
	if held.GetFailureDomain() == o.GetFailureDomain() && held.GetEnd() == o.GetEnd() {
		return first.GetOutcome()
	}
	return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
		&configpb.Finding{Place: "id", Text: fmt.Sprintf("%q was used for another order", o.GetId())})
}

// carryOut makes the version that an order asks for, if the current one differs.
func (m *Machine) carryOut(o *configpb.EvacuationOrder) *configpb.EvacuationOutcome {
	held := m.current.GetEvacuations()
	place, found := searchEvacuation(held, o.GetFailureDomain())
	if found != o.GetEnd() {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_UNCHANGED)
	}
	if !found && len(held) >= MaxEvacuations {
		return m.evacuationOutcome(configpb.EvacuationVerdict_EVACUATION_VERDICT_INVALID,
			&configpb.Finding{Place: "failure domain", Text: fmt.Sprintf("%d are evacuated, at most %d", len(held), MaxEvacuations)})
	}
	next := assemble(m.current, m.current.GetVersion()+1, nil, nil, retiredSet(m.current))
	next.Evacuations = slices.Clone(held)
	if o.GetEnd() {
		next.Evacuations = slices.Delete(next.Evacuations, place, place+1)
	} else {
		next.Evacuations = slices.Insert(next.Evacuations, place, &configpb.Evacuation{
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

// handledOrders remembers the orders with an identifier, the oldest first.
type handledOrders struct {
	list []*configpb.HandledOrder
}

// find returns what is remembered of an identifier, nil if nothing is.
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

// diffEvacuations returns the whole list of a version if it differs from that of another
// one, else nil.
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
