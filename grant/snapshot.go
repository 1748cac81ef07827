package grant

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// recordsField is the field number of State.records.
const recordsField = 2

func (m *Machine) find(service uint32, key string) *record {
	return m.records[recordKey{service: service, key: key}]
}

// recordList returns the list that a record belongs to.
func (m *Machine) recordList(r *record) *recordList {
	if r.answered {
		return &m.answered
	}
	return &m.held
}

func (m *Machine) add(r *record) {
	m.records[r.mapKey()] = r
	m.recordList(r).push(r)
	m.bytes += r.size()
}

func (m *Machine) remove(r *record) {
	m.recordList(r).remove(r)
	delete(m.records, r.mapKey())
	m.bytes -= r.size()
}

// Len returns the number of held and of answered records.
func (m *Machine) Len() (held, answered int) { return m.held.length, m.answered.length }

// Usage returns the usage of MaxRecords and of MaxBytes, in percent.
func (m *Machine) Usage() (records, memory int) {
	const percent = 100
	return len(m.records) * percent / MaxRecords, m.bytes * percent / MaxBytes
}

// Now returns the logical time in milliseconds.
func (m *Machine) Now() uint64 { return m.now }

// Snapshot returns the encoded state, a grantpb.State.
func (m *Machine) Snapshot() ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	data := make([]byte, 0, m.encodedSize())
	data, err := options.MarshalAppend(data, &grantpb.State{NowMs: m.now})
	if err != nil {
		return nil, errors.Wrap(err, "encode grant state")
	}
	// Records are encoded one by one, since a message with all of them would double the
	// memory.
	for _, list := range []*recordList{&m.held, &m.answered} {
		for r := list.first; r != nil; r = r.next {
			encoded, err := options.Marshal(r.message())
			if err != nil {
				return nil, errors.Wrap(err, "encode grant record")
			}
			data = protowire.AppendTag(data, recordsField, protowire.BytesType)
			data = protowire.AppendBytes(data, encoded)
		}
	}
	other := &grantpb.State{Released: m.released.all(), Retention: m.retention.message()}
	if m.table != nil {
		other.Table = m.table.ToProto()
	}
	data, err = options.MarshalAppend(data, other)
	if err != nil {
		return nil, errors.Wrap(err, "encode grant state")
	}
	return data, nil
}

// encodedSize estimates the size of a snapshot, in bytes. The estimate is slightly high,
// because growing the buffer would copy it.
func (m *Machine) encodedSize() int {
	const recordHeader, other = 40, 1 << 10
	fields := m.bytes - len(m.records)*recordOverhead
	return fields + len(m.records)*recordHeader + other
}

// Restore replaces the state by a snapshot. On ErrInvalidSnapshot the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var state grantpb.State
	if err := proto.Unmarshal(data, &state); err != nil {
		return errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	restored := NewGroup(m.group)
	restored.now = state.GetNowMs()
	restored.retention = parseRetention(state.GetRetention())
	if state.GetTable() != nil {
		table, err := ParseSlotTable(state.GetTable())
		if err != nil {
			return errors.Wrap(ErrInvalidSnapshot, err.Error())
		}
		restored.table = table
	}
	for _, r := range state.GetRecords() {
		if !validRecord(r) {
			return errors.Wrap(ErrInvalidSnapshot, "a record exceeds its bounds")
		}
		restored.add(newRecord(r))
	}
	for _, r := range state.GetReleased() {
		restored.released.add(r)
	}
	*m = *restored
	return nil
}
