package flow

import (
	"maps"
	"slices"
	"time"
)

const (
	// registrars is the number of agents at which a flow is registered, besides its
	// holder, so that one may be lost.
	registrars = 2
	// maxRegistered bounds the flows of other agents that an agent remembers: twice its
	// share of 40 million open flows at 12,000 targets.
	maxRegistered = 16_384
	// registrationTTL is the lifetime of a registration, refreshInterval the time after
	// which it is sent again.
	registrationTTL = 75 * time.Second
	refreshInterval = 30 * time.Second
	// MaxKeys bounds the keys of one frame: 64 take 770 bytes.
	MaxKeys = 64
)

// AppendRegistrars appends the agents of a list at which a flow is registered (rendezvous
// hashing): all hosts with the same list select the same agents, and a change of the list
// affects few flows.
func AppendRegistrars(to []Endpoint, key Key, list []Endpoint) []Endpoint {
	s := selectRegistrars(key, list)
	for _, agent := range s.agents {
		if !agent.IsZero() {
			to = append(to, agent)
		}
	}
	return to
}

// registrarSet has the agents of a list whose hashes with a flow are the highest, in
// descending order.
type registrarSet struct {
	agents [registrars]Endpoint
	hashes [registrars]uint64
}

func selectRegistrars(key Key, list []Endpoint) registrarSet {
	var s registrarSet
	for _, agent := range list {
		s.offer(key, agent)
	}
	return s
}

// offer adds an agent if its hash is among the highest.
func (s *registrarSet) offer(key Key, agent Endpoint) {
	h := key.Hash(agent.salt())
	for i, present := range s.agents {
		if present == agent {
			return
		}
		if !present.IsZero() && h <= s.hashes[i] {
			continue
		}
		copy(s.agents[i+1:], s.agents[i:registrars-1])
		copy(s.hashes[i+1:], s.hashes[i:registrars-1])
		s.agents[i], s.hashes[i] = agent, h
		return
	}
}

// includesAny reports whether any of the agents is in the set.
func (s *registrarSet) includesAny(agents map[Endpoint]bool) bool {
	for _, agent := range s.agents {
		if agents[agent] {
			return true
		}
	}
	return false
}

// salt returns the endpoint as a salt for Key.Hash.
func (e Endpoint) salt() uint64 {
	n := uint64(e.IP[0])<<40 | uint64(e.IP[1])<<32 | uint64(e.IP[2])<<24 | uint64(e.IP[3])<<16 | uint64(e.Port)
	return n * 0x9e3779b97f4a7c15
}

// registry has the registered flows of other agents.
type registry struct {
	flows map[Key]registered
}

type registered struct {
	holder Endpoint
	until  time.Duration
}

// put registers a flow. If the table is full the flow has to be found by a lookup.
func (r *registry) put(key Key, holder Endpoint, now time.Duration) {
	if r.flows == nil {
		r.flows = make(map[Key]registered)
	}
	if _, known := r.flows[key]; !known && len(r.flows) >= maxRegistered {
		return
	}
	r.flows[key] = registered{holder: holder, until: now + registrationTTL}
}

// holder returns the holder of a flow, or zero.
func (r *registry) holder(key Key) Endpoint { return r.flows[key].holder }

func (r *registry) sweep(now time.Duration) {
	for key, f := range r.flows {
		if now > f.until {
			delete(r.flows, key)
		}
	}
}

// Registration has the flows that one agent is notified of or queried for.
type Registration struct {
	To   Endpoint
	Keys []Key
}

// Register records that another agent holds flows.
func (a *Agent) Register(keys []Key, holder Endpoint, now time.Duration) {
	for _, key := range keys {
		a.registry.put(key, holder, now)
	}
}

// listChange has the agents that were added to and removed from the list since the last
// registrations. One that was removed and added again is in both.
type listChange struct {
	added   []Endpoint
	removed map[Endpoint]bool
}

// record adds a later change.
func (c *listChange) record(added, removed []Endpoint) {
	if c.removed == nil {
		c.removed = make(map[Endpoint]bool, len(removed))
	}
	gone := setOf(removed)
	maps.Copy(c.removed, gone)
	c.added = slices.DeleteFunc(c.added, func(agent Endpoint) bool { return gone[agent] })
	c.added = append(c.added, added...)
}

// DueRegistrations returns the registrations to be sent: of newly opened flows, of those that
// a change of the agent list gives another registrar, and as refresh. A change costs a hash
// for each flow and added agent, and one for each agent only for the flows of removed ones.
func (a *Agent) DueRegistrations(now time.Duration) []Registration {
	a.due = a.due[:0]
	if len(a.peers) == 0 {
		return nil
	}
	index := map[Endpoint]int{}
	for key, f := range a.flows {
		if f.stage != stageOpened || f.targetDone || f.callerDone {
			continue
		}
		before := f.registrars
		a.updateRegistrars(key, f)
		if f.registeredAt == 0 || now-f.registeredAt >= refreshInterval {
			before = registrarSet{}
			f.registeredAt = max(now, 1)
		}
		for _, to := range f.registrars.agents {
			if to != a.self && !to.IsZero() && to != before.agents[0] && to != before.agents[1] {
				a.addKey(index, to, key)
			}
		}
	}
	a.pending = listChange{}
	return a.due
}

// updateRegistrars applies the pending change of the agent list to the registrars of a flow.
func (a *Agent) updateRegistrars(key Key, f *agentFlow) {
	if f.registeredAt == 0 || f.registrars.includesAny(a.pending.removed) {
		f.registrars = selectRegistrars(key, a.serviceAgents.agents)
		return
	}
	for _, agent := range a.pending.added {
		f.registrars.offer(key, agent)
	}
}

// addKey adds a key to the batch for an agent and starts another one when it is full.
func (a *Agent) addKey(index map[Endpoint]int, to Endpoint, key Key) {
	i, known := index[to]
	if !known || len(a.due[i].Keys) >= MaxKeys {
		i = len(a.due)
		index[to] = i
		a.due = append(a.due, Registration{To: to})
	}
	a.due[i].Keys = append(a.due[i].Keys, key)
}
