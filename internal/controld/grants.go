package controld

import (
	"fmt"
	"sync"
	"sync/atomic"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

// grantGroup returns the replicated log of a group of grants, numbered from 0.
func grantGroup(index int) controlpb.Group {
	return controlpb.Group_GROUP_GRANT + controlpb.Group(index)
}

// grantIndex is the inverse of grantGroup.
func grantIndex(group controlpb.Group) int {
	return int(group - controlpb.Group_GROUP_GRANT)
}

// groupName names a replicated log towards operators. It is the subfolder of
// the data folder, too.
func groupName(group controlpb.Group) string {
	switch group {
	case controlpb.Group_GROUP_CONFIG:
		return "config"
	case controlpb.Group_GROUP_GRANT:
		return "grant"
	}
	return fmt.Sprintf("grant-%d", grantIndex(group)+1)
}

// grantState lets the state machine of a group of grants be read while the
// replica applies commands.
type grantState struct {
	mu      sync.Mutex
	machine *grant.Machine
}

// Apply implements replica.StateMachine.
func (s *grantState) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Apply(index, command)
}

// Snapshot implements replica.StateMachine.
func (s *grantState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (s *grantState) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Restore(snapshot)
}

// grantView is what is read of a group of grants.
type grantView struct {
	held, answered int
	// records and bytes are how much of the bounds is taken, in percent.
	records, bytes int
	// table is nil while none was agreed on.
	table     *grant.SlotTable
	retention grant.Retention
	// used says that a key was decided on.
	used bool
}

func (s *grantState) view() grantView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := grantView{table: s.machine.Table(), retention: s.machine.Retention(), used: s.machine.Used()}
	v.held, v.answered = s.machine.Len()
	v.records, v.bytes = s.machine.Usage()
	return v
}

// grantGroups has the state of each group of grants. It does not change once
// the replicas are open.
type grantGroups struct {
	states []*grantState
	// fixed is the table once it can't change any more, so that no request
	// waits for the first group unless its key belongs there.
	fixed atomic.Pointer[grant.SlotTable]
}

func newGrantGroups() *grantGroups { return &grantGroups{} }

func (g *grantGroups) add() {
	g.states = append(g.states, &grantState{machine: grant.NewGroup(len(g.states))})
}

func (g *grantGroups) at(index int) *grantState { return g.states[index] }

func (g *grantGroups) count() int { return len(g.states) }

// table returns the slot table by which this host chooses the group of a key,
// nil if it knows none. A group refuses what was chosen by another table than
// the agreed one, so a host that lags behind can't do harm.
func (g *grantGroups) table() *grant.SlotTable {
	if table := g.fixed.Load(); table != nil {
		return table
	}
	first := g.at(0).view()
	table := first.table
	if table == nil && first.used {
		table = onlyGroup
	}
	if table != nil {
		g.fixed.Store(table)
		return table
	}
	if g.count() == 1 {
		return onlyGroup
	}
	return nil
}

// onlyGroup is the table of a deployment that agreed on none.
var onlyGroup = grant.NewSlotTable(1)

// wanted returns how many groups this host has to open: what the first one
// agreed on, else what the settings ask for.
func (g *grantGroups) wanted(settings uint32) int {
	asked := max(int(settings), 1)
	if g.count() == 0 {
		return asked
	}
	first := g.at(0).view()
	switch {
	case first.table != nil:
		return first.table.Groups()
	case first.used:
		return 1
	}
	return asked
}
