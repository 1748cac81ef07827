package grant

import (
	"container/list"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

func record(e *list.Element) *grantpb.Record { return e.Value.(*grantpb.Record) }

func keyOf(r *grantpb.Record) recordKey {
	return recordKey{service: r.GetService(), key: r.GetKey()}
}

// size estimates the memory of a record, in bytes.
func size(r *grantpb.Record) int {
	fields := len(r.GetKey()) + len(r.GetAttempt()) + len(r.GetDigest())
	answer := len(r.GetAnswer().GetBody()) + len(r.GetAnswer().GetContentType())
	return recordOverhead + fields + answer
}

func (m *Machine) find(service uint32, key string) *grantpb.Record {
	if e, ok := m.records[recordKey{service: service, key: key}]; ok {
		return record(e)
	}
	return nil
}

// order returns the list that a record belongs to.
func (m *Machine) order(r *grantpb.Record) *list.List {
	if r.GetAnswer() != nil {
		return m.answered
	}
	return m.held
}

func (m *Machine) add(r *grantpb.Record) {
	m.records[keyOf(r)] = m.order(r).PushBack(r)
	m.bytes += size(r)
}

func (m *Machine) remove(r *grantpb.Record) {
	m.order(r).Remove(m.records[keyOf(r)])
	delete(m.records, keyOf(r))
	m.bytes -= size(r)
}

// Len returns the number of records, held and answered.
func (m *Machine) Len() (held, answered int) { return m.held.Len(), m.answered.Len() }

// Now returns the logical time in milliseconds.
func (m *Machine) Now() uint64 { return m.now }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	state := &grantpb.State{
		NowMs:    m.now,
		Records:  make([]*grantpb.Record, 0, len(m.records)),
		Released: m.released.all(),
	}
	for _, order := range []*list.List{m.held, m.answered} {
		for e := order.Front(); e != nil; e = e.Next() {
			state.Records = append(state.Records, record(e))
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode grant state")
	}
	return data, nil
}

// Restore replaces the state by a snapshot. On ErrState the machine is
// unchanged.
func (m *Machine) Restore(data []byte) error {
	var state grantpb.State
	if err := proto.Unmarshal(data, &state); err != nil {
		return errors.Wrap(ErrState, err.Error())
	}
	*m = *New()
	m.now = state.GetNowMs()
	for _, r := range state.GetRecords() {
		m.add(r)
	}
	for _, r := range state.GetReleased() {
		m.released.add(r)
	}
	return nil
}
