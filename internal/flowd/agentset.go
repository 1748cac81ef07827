package flowd

import (
	"slices"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
)

// agentSet has the agents of the targets of a view by service. A change costs what changed.
type agentSet struct {
	services map[uint32]*agentList
	// uses has each agent with the number of its targets. They may be of several services:
	// an address may be reused while the former target is still listed.
	uses map[flow.Endpoint]int
}

// agentList has the agents of one service, each once, in no order.
type agentList struct {
	agents []flow.Endpoint
	// entries has the position of each agent and the number of its targets.
	entries map[flow.Endpoint]agentEntry
	// digest is the flow.Digest of agents.
	digest uint64
}

type agentEntry struct {
	position, targets int
}

// agentChange has the agents that a change has added and removed.
type agentChange struct {
	added, removed []flow.Endpoint
	// invalid has the new records without a valid address.
	invalid []*controlpb.TargetRecord
}

func newAgentSet() agentSet {
	return agentSet{services: map[uint32]*agentList{}, uses: map[flow.Endpoint]int{}}
}

// apply removes and adds targets; a changed one is in both lists. Targets are added first, so
// that the agent of a changed one stays.
func (s *agentSet) apply(deleted, put []*controlpb.TargetRecord) agentChange {
	var change agentChange
	for _, record := range put {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			change.invalid = append(change.invalid, record)
			continue
		}
		if agent := flow.EndpointOf(t.Address); s.add(t.Service, agent) {
			change.added = append(change.added, agent)
		}
	}
	for _, record := range deleted {
		t, err := subscriber.TargetOf(record)
		if err != nil {
			continue // it was never added
		}
		if agent := flow.EndpointOf(t.Address); s.remove(t.Service, agent) {
			change.removed = append(change.removed, agent)
		}
	}
	return change
}

// add adds a target of an agent. It reports whether the agent is new.
func (s *agentSet) add(service uint32, agent flow.Endpoint) bool {
	l := s.services[service]
	if l == nil {
		l = &agentList{entries: map[flow.Endpoint]agentEntry{}}
		s.services[service] = l
	}
	l.add(agent)
	s.uses[agent]++
	return s.uses[agent] == 1
}

// remove removes a target of an agent. It reports whether it was the agent's last one.
func (s *agentSet) remove(service uint32, agent flow.Endpoint) bool {
	l := s.services[service]
	if l == nil || !l.remove(agent) {
		return false
	}
	if len(l.agents) == 0 {
		delete(s.services, service)
	}
	s.uses[agent]--
	if s.uses[agent] > 0 {
		return false
	}
	delete(s.uses, agent)
	return true
}

func (l *agentList) add(agent flow.Endpoint) {
	entry, known := l.entries[agent]
	if !known {
		entry.position = len(l.agents)
		l.agents = append(l.agents, agent)
		l.digest += agent.Digest()
	}
	entry.targets++
	l.entries[agent] = entry
}

// remove removes a target of an agent. It returns false if the agent has none.
func (l *agentList) remove(agent flow.Endpoint) bool {
	entry, known := l.entries[agent]
	if !known {
		return false
	}
	entry.targets--
	if entry.targets > 0 {
		l.entries[agent] = entry
		return true
	}
	last := l.agents[len(l.agents)-1]
	l.agents[entry.position] = last
	moved := l.entries[last]
	moved.position = entry.position
	l.entries[last] = moved
	l.agents = l.agents[:len(l.agents)-1]
	delete(l.entries, agent)
	l.digest -= agent.Digest()
	return true
}

// allIn reports whether all agents of the list are among some.
func (l *agentList) allIn(agents []flow.Endpoint) bool {
	if len(l.agents) > len(agents) {
		return false
	}
	return !slices.ContainsFunc(l.agents, func(agent flow.Endpoint) bool { return !slices.Contains(agents, agent) })
}

// ofService returns the agents of a service. The list is valid until the next change.
func (s *agentSet) ofService(service uint32) []flow.Endpoint {
	if l := s.services[service]; l != nil {
		return l.agents
	}
	return nil
}

// has reports whether an agent has a target.
func (s *agentSet) has(agent flow.Endpoint) bool { return s.uses[agent] > 0 }

// len returns the number of agents.
func (s *agentSet) len() int { return len(s.uses) }
