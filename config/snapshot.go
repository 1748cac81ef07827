package config

import (
	"crypto/sha256"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Digest returns the SHA-256 of a patch's identifier, base version and operations. It omits
// the places, since the same patch may be sent again from a file that was moved.
func Digest(p *configpb.Patch) []byte {
	content := &configpb.Patch{Id: p.GetId(), BaseVersion: p.GetBaseVersion(), Operations: p.GetOperations()}
	// A patch has no map fields, so the encoding is deterministic. Marshalling fails only
	// for invalid UTF-8.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	sum := sha256.Sum256(data)
	return sum[:]
}

// Current returns the newest version. It must not be modified.
func (m *Machine) Current() *configpb.Configuration { return m.current }

// VersionPatch returns the identifier of the patch that created the current version, empty
// if no patch did.
func (m *Machine) VersionPatch() string { return m.versionPatch }

// Version returns a version of the history, or nil.
func (m *Machine) Version(version uint64) *configpb.Configuration {
	oldest := m.history[0].GetVersion()
	if version < oldest || version > m.current.GetVersion() {
		return nil
	}
	return m.history[version-oldest]
}

// RouteTableDocument returns the operator's document of the active route table, or nil. It
// must not be modified.
func (m *Machine) RouteTableDocument() []byte { return m.document }

// Outcome returns the outcome of a patch, or nil if it is unknown.
func (m *Machine) Outcome(id string) *configpb.Outcome { return m.outcomes.find(id) }

// Target returns the identity with a target number, or nil.
func (m *Machine) Target(number uint32) *configpb.TargetIdentity { return m.targets.byNumber(number) }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	state := &configpb.State{
		Configuration:     m.current,
		Outcomes:          m.outcomes.list(),
		Targets:           m.targets.list(),
		LastServiceNumber: m.lastService,
		LastTargetNumber:  m.targets.lastNumber,
		VersionPatch:      m.versionPatch,
		Document:          m.document,
		EvacuationOrders:  m.orders.list,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration state")
	}
	return data, nil
}

// Restore replaces the state by a snapshot. On ErrInvalidSnapshot the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var state configpb.State
	if err := proto.Unmarshal(data, &state); err != nil {
		return errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	if state.GetConfiguration() == nil {
		return ErrInvalidSnapshot
	}
	m.outcomes = newOutcomes()
	for _, o := range state.GetOutcomes() {
		m.outcomes.add(o)
	}
	m.targets = restoreTargets(state.GetTargets(), state.GetLastTargetNumber())
	m.lastService = state.GetLastServiceNumber()
	m.document = state.GetDocument()
	m.orders = handledOrders{list: state.GetEvacuationOrders()}
	m.history = nil
	m.publish(state.GetConfiguration(), state.GetVersionPatch())
	return nil
}
