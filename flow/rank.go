package flow

// preferredAgents is the number of agents that a search asks for a flow because its opening was
// most likely placed on them: two for each of the placements and forwards of an opening, and
// as many again for agents that were added since.
const preferredAgents = 8

// rankSalt makes ranks independent of the registrars of a flow.
const rankSalt = 0x5bd1e9955bd1e995

// Ranking orders the agents of a service for one flow (rendezvous hashing). New flows are
// placed on the agents that rank highest, so that they are found there by any host that knows
// the flow and the list of agents only.
type Ranking uint64

// Ranking returns the order of agents for a flow.
func (k Key) Ranking() Ranking { return Ranking(k.Hash(rankSalt)) }

// Rank returns the rank of an agent; higher ones come first.
func (r Ranking) Rank(agent Endpoint) uint64 {
	h := uint64(r) ^ agent.salt()
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// AppendPreferred appends the agents of a list that rank highest for a flow, the highest
// first.
func AppendPreferred(to []Endpoint, key Key, list []Endpoint) []Endpoint {
	ranking := key.Ranking()
	var agents [preferredAgents]Endpoint
	var ranks [preferredAgents]uint64
	count := 0
	for _, agent := range list {
		rank := ranking.Rank(agent)
		if count == preferredAgents && rank <= ranks[count-1] {
			continue
		}
		if count < preferredAgents {
			count++
		}
		i := count - 1
		for ; i > 0 && ranks[i-1] < rank; i-- {
			agents[i], ranks[i] = agents[i-1], ranks[i-1]
		}
		agents[i], ranks[i] = agent, rank
	}
	return append(to, agents[:count]...)
}
