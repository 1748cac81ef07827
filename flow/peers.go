package flow

// SetPeers sets the agents that openings may be forwarded to, and the agents of all
// targets of the service including this one, self, each once. The agent keeps peers.
func (a *Agent) SetPeers(peers, serviceAgents []Endpoint, self Endpoint) {
	after := setOf(serviceAgents)
	var added, removed []Endpoint
	for _, agent := range serviceAgents {
		if !a.serviceAgents.has(agent) {
			added = append(added, agent)
		}
	}
	for _, agent := range a.serviceAgents.agents {
		if !after[agent] {
			removed = append(removed, agent)
		}
	}
	a.ChangePeers(peers, self, added, removed)
}

// ChangePeers is SetPeers for a caller that knows which agents of the service were added and
// removed.
func (a *Agent) ChangePeers(peers []Endpoint, self Endpoint, added, removed []Endpoint) {
	a.peers, a.self = peers, self
	if len(added)+len(removed) == 0 {
		return
	}
	a.pending.record(added, removed)
	for _, agent := range removed {
		if position, known := a.serviceAgents.remove(agent); known {
			a.lookups.removeAgent(agent, position, len(a.serviceAgents.agents))
		}
	}
	for _, agent := range added {
		a.serviceAgents.add(agent)
		a.lookups.addAgent(len(a.serviceAgents.agents))
	}
}

func setOf(agents []Endpoint) map[Endpoint]bool {
	out := make(map[Endpoint]bool, len(agents))
	for _, agent := range agents {
		out[agent] = true
	}
	return out
}
