package grant

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// Retention is how long records are kept, in logical time.
type Retention struct {
	// Answered counts from the answer, Held from the grant of a right whose
	// holder never told an answer.
	Answered, Held time.Duration
}

// DefaultRetention is that of a group whose operators set none.
func DefaultRetention() Retention {
	return Retention{Answered: AnsweredRetention, Held: HeldRetention}
}

// Valid reports whether the retention is within its bounds.
func (r Retention) Valid() bool {
	return r.Answered >= MinAnsweredRetention && r.Answered <= AnsweredRetention &&
		r.Held >= MinHeldRetention && r.Held <= HeldRetention
}

func readRetention(m *grantpb.Retention) Retention {
	r := DefaultRetention()
	if ms := m.GetAnsweredMs(); ms > 0 {
		r.Answered = ofMillis(ms)
	}
	if ms := m.GetHeldMs(); ms > 0 {
		r.Held = ofMillis(ms)
	}
	return r
}

// ofMillis holds what exceeds all bounds to one that is improper too, in place
// of an overflow.
func ofMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(2*HeldRetention.Milliseconds()))) * time.Millisecond
}

// message returns the encoded form, nil for the default: the snapshot of a
// group that nobody configured stays as it was before there were groups.
func (r Retention) message() *grantpb.Retention {
	if r == DefaultRetention() {
		return nil
	}
	return r.ToProto()
}

// ToProto returns the encoded form.
func (r Retention) ToProto() *grantpb.Retention {
	return &grantpb.Retention{
		AnsweredMs: uint64(r.Answered.Milliseconds()),
		HeldMs:     uint64(r.Held.Milliseconds()),
	}
}

// Table returns the agreed slot table, nil while there is none.
func (m *Machine) Table() *SlotTable { return m.table }

// Retention returns how long records are kept.
func (m *Machine) Retention() Retention { return m.retention }

// Used reports whether a key was ever decided on here. A group that is used has
// its table for good.
func (m *Machine) Used() bool {
	// Records and released attempts expire only after the clock has moved.
	return m.now > 0 || len(m.records) > 0 || m.released.order.Len() > 0
}

// configure takes a slot table, once, and a retention. It changes all or
// nothing.
func (m *Machine) configure(c *grantpb.Configure) bool {
	if c.GetTable() == nil && c.GetRetention() == nil {
		return false
	}
	table, retention := m.table, m.retention
	if c.GetTable() != nil {
		var err error
		if table, err = ParseSlotTable(c.GetTable()); err != nil || !m.mayTake(table) {
			return false
		}
	}
	if c.GetRetention() != nil {
		if retention = readRetention(c.GetRetention()); !retention.Valid() {
			return false
		}
	}
	m.table, m.retention = table, retention
	return true
}

// mayTake reports whether a table is the one of this group: it never changes
// once it was agreed on, nor once a key was decided on without one.
func (m *Machine) mayTake(t *SlotTable) bool {
	if m.group >= t.groups {
		return false
	}
	if m.table == nil && !m.Used() {
		return true
	}
	held := m.effectiveTable()
	return held != nil && held.digest == t.digest
}

// effectiveTable returns the table that decides: without one the first group
// has all keys, and the others have none.
func (m *Machine) effectiveTable() *SlotTable {
	if m.table == nil && m.group == 0 {
		return onlyGroup
	}
	return m.table
}

// onlyGroup is the table of a deployment that agreed on none.
var onlyGroup = NewSlotTable(1)

// owns reports whether this group decides on a key by the table that the sender
// names. Senders that name none know of one group only.
func (m *Machine) owns(digest uint64, service uint32, key string) bool {
	t := m.effectiveTable()
	if t == nil {
		return false
	}
	if digest == 0 {
		digest = onlyGroup.digest
	}
	return digest == t.digest && t.GroupOf(service, key) == m.group
}

// CommandKey returns service and key of a command that names a key.
func CommandKey(c *grantpb.Command) (service uint32, key string, named bool) {
	switch body := c.GetBody().(type) {
	case *grantpb.Command_Acquire:
		return body.Acquire.GetService(), body.Acquire.GetKey(), true
	case *grantpb.Command_Complete:
		return body.Complete.GetService(), body.Complete.GetKey(), true
	case *grantpb.Command_Release:
		return body.Release.GetService(), body.Release.GetKey(), true
	}
	return 0, "", false
}
