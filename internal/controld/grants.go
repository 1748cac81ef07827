package controld

import (
	"fmt"
	"sync"
	"sync/atomic"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

// grantGroup returns the replicated log of a grant group, numbered from 0.
func grantGroup(index int) controlpb.Group {
	return controlpb.Group_GROUP_GRANT + controlpb.Group(index)
}

// grantIndex is the inverse of grantGroup.
func grantIndex(group controlpb.Group) int {
	return int(group - controlpb.Group_GROUP_GRANT)
}

// groupName returns the name of a replicated log for operators, which is also its
// subdirectory of the data directory.
func groupName(group controlpb.Group) string {
	switch group {
	case controlpb.Group_GROUP_CONFIG:
		return "config"
	case controlpb.Group_GROUP_GRANT:
		return "grant"
	}
	return fmt.Sprintf("grant-%d", grantIndex(group)+1)
}

// grantState makes the state machine of a grant group safe for concurrent reads while the
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

// grantView is a copy of the counts and settings of a grant group at one time.
type grantView struct {
	held, answered int
	// records and bytes are the usage of grant.MaxRecords and grant.MaxBytes, in percent.
	records, bytes int
	// table is nil until a slot table is agreed on.
	table     *grant.SlotTable
	retention grant.Retention
	// used is set once any key was decided.
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

// grantGroups has the state of each grant group. It is constant once the replicas are open.
type grantGroups struct {
	states []*grantState
	// finalTable caches the table once it is final, so that requests take no lock of the first
	// group.
	finalTable atomic.Pointer[grant.SlotTable]
}

func newGrantGroups() *grantGroups { return &grantGroups{} }

func (g *grantGroups) add() {
	g.states = append(g.states, &grantState{machine: grant.NewGroup(len(g.states))})
}

func (g *grantGroups) at(index int) *grantState { return g.states[index] }

func (g *grantGroups) count() int { return len(g.states) }

// table returns the slot table that maps keys to groups on this host, nil if there is none
// yet. A stale table is harmless: a group refuses commands that were routed by any other
// table than the agreed one.
func (g *grantGroups) table() *grant.SlotTable {
	if table := g.finalTable.Load(); table != nil {
		return table
	}
	first := g.at(0).view()
	table := first.table
	if table == nil && first.used {
		table = onlyGroup
	}
	if table != nil {
		g.finalTable.Store(table)
		return table
	}
	if g.count() == 1 {
		return onlyGroup
	}
	return nil
}

// onlyGroup is the table of a deployment without an agreed one.
var onlyGroup = grant.NewSlotTable(1)

// requiredCount returns the number of groups to open: the agreed one, else that of the settings.
func (g *grantGroups) requiredCount(settings uint32) int {
	configured := max(int(settings), 1)
	if g.count() == 0 {
		return configured
	}
	first := g.at(0).view()
	switch {
	case first.table != nil:
		return first.table.Groups()
	case first.used:
		return 1
	}
	return configured
}
