package grant

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// Retention is how long records are kept, in logical time.
type Retention struct {
	// Answered starts at the response, Held at the grant if there is no response.
	Answered, Held time.Duration
}

// DefaultRetention returns the retention of a group that was not configured.
func DefaultRetention() Retention {
	return Retention{Answered: AnsweredRetention, Held: HeldRetention}
}

// Valid reports whether the retention is within its bounds.
func (r Retention) Valid() bool {
	return r.Answered >= MinAnsweredRetention && r.Answered <= AnsweredRetention &&
		r.Held >= MinHeldRetention && r.Held <= HeldRetention
}

func parseRetention(m *grantpb.Retention) Retention {
	r := DefaultRetention()
	if ms := m.GetAnsweredMs(); ms > 0 {
		r.Answered = durationFromMillis(ms)
	}
	if ms := m.GetHeldMs(); ms > 0 {
		r.Held = durationFromMillis(ms)
	}
	return r
}

// durationFromMillis limits the result to twice HeldRetention, which is invalid, to avoid
// an overflow.
func durationFromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(2*HeldRetention.Milliseconds()))) * time.Millisecond
}

// message returns the encoded form, nil for the default. Snapshots of groups that were not
// configured stay compatible with earlier releases.
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

// Table returns the agreed slot table, or nil.
func (m *Machine) Table() *SlotTable { return m.table }

// Retention returns how long records are kept.
func (m *Machine) Retention() Retention { return m.retention }

// Used reports whether any key was ever decided. From then on the slot table is final.
func (m *Machine) Used() bool {
	// The clock has advanced before anything expires.
	return m.now > 0 || len(m.records) > 0 || m.released.order.Len() > 0
}

// configure sets the slot table, once, and the retention. It applies all or nothing.
func (m *Machine) configure(c *grantpb.Configure) bool {
	if c.GetTable() == nil && c.GetRetention() == nil {
		return false
	}
	table, retention := m.table, m.retention
	if c.GetTable() != nil {
		var err error
		if table, err = ParseSlotTable(c.GetTable()); err != nil || !m.acceptsTable(table) {
			return false
		}
	}
	if c.GetRetention() != nil {
		if retention = parseRetention(c.GetRetention()); !retention.Valid() {
			return false
		}
	}
	m.table, m.retention = table, retention
	return true
}

// acceptsTable reports whether a table can be set: it is final once it was agreed on or a
// key was decided without one.
func (m *Machine) acceptsTable(t *SlotTable) bool {
	if m.group >= t.groups {
		return false
	}
	if m.table == nil && !m.Used() {
		return true
	}
	effective := m.effectiveTable()
	return effective != nil && effective.digest == t.digest
}

// effectiveTable returns the agreed table. Without one the first group owns all keys and
// the others own none.
func (m *Machine) effectiveTable() *SlotTable {
	if m.table == nil && m.group == 0 {
		return onlyGroup
	}
	return m.table
}

// onlyGroup is the table of a deployment without an agreed one.
var onlyGroup = NewSlotTable(1)

// ownsKey reports whether this group owns a key in the sender's table. A sender without a
// table assumes a single group.
func (m *Machine) ownsKey(digest uint64, service uint32, key string) bool {
	t := m.effectiveTable()
	if t == nil {
		return false
	}
	if digest == 0 {
		digest = onlyGroup.digest
	}
	return digest == t.digest && t.GroupOf(service, key) == m.group
}

// CommandKey returns the service and key of a command, if it has them.
func CommandKey(c *grantpb.Command) (service uint32, key string, hasKey bool) {
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
