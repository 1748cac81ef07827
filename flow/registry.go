package flow

import "time"

const (
	// registrars is the number of agents at which a flow is registered, besides its
	// holder, so that one may be lost.
	registrars = 2
	// maxRegistered bounds the flows of other agents that an agent remembers.
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
	var first, second Endpoint
	var firstHash, secondHash uint64
	for _, agent := range list {
		h := key.Hash(agent.salt())
		switch {
		case first.IsZero() || h > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = agent, h
		case second.IsZero() || h > secondHash:
			second, secondHash = agent, h
		}
	}
	for _, agent := range [registrars]Endpoint{first, second} {
		if !agent.IsZero() {
			to = append(to, agent)
		}
	}
	return to
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

// DueRegistrations returns the registrations to be sent: of newly opened flows, after a
// change of the agent list, and as refresh.
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
		if f.registeredAt != 0 && f.registeredVersion == a.listVersion && now-f.registeredAt < refreshInterval {
			continue
		}
		f.registeredAt, f.registeredVersion = max(now, 1), a.listVersion
		a.registrarScratch = AppendRegistrars(a.registrarScratch[:0], key, a.serviceAgents)
		for _, to := range a.registrarScratch {
			if to != a.self {
				a.addKey(index, to, key)
			}
		}
	}
	return a.due
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
