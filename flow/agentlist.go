package flow

// agentList has the agents of a service, each once.
type agentList struct {
	agents []Endpoint
	// position is the index of each agent.
	position map[Endpoint]int
	digest   uint64
}

// Digest identifies a list of agents, independent of their order.
func Digest(agents []Endpoint) uint64 {
	var sum uint64
	for _, agent := range agents {
		sum += agent.Digest()
	}
	return sum
}

// Digest is the part of an agent in the digest of a list: their sum.
func (e Endpoint) Digest() uint64 { return Key{Caller: e}.Hash(0) }

func (l *agentList) add(agent Endpoint) {
	if l.position == nil {
		l.position = make(map[Endpoint]int)
	}
	l.position[agent] = len(l.agents)
	l.agents = append(l.agents, agent)
	l.digest += agent.Digest()
}

// remove removes an agent: the last one takes its position. It returns the position, or false
// if the agent is not in the list.
func (l *agentList) remove(agent Endpoint) (position int, known bool) {
	position, known = l.position[agent]
	if !known {
		return 0, false
	}
	last := len(l.agents) - 1
	l.agents[position] = l.agents[last]
	l.position[l.agents[position]] = position
	l.agents = l.agents[:last]
	delete(l.position, agent)
	l.digest -= agent.Digest()
	return position, true
}

// has reports whether an agent is in the list.
func (l *agentList) has(agent Endpoint) bool {
	_, known := l.position[agent]
	return known
}
