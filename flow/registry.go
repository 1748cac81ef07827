package flow

import "time"

const (
	// Registrars is how many agents know where a flow lives, besides its own: one of
	// them may be lost.
	registrars = 2
	// maxRegistered bounds the flows of others that an agent remembers: twice its
	// share of 40 million open flows at 12,000 targets. An entry takes 66 bytes (BenchmarkRegistry).
	maxRegistered = 16_384
	// registeredFor is how long an agent remembers where a flow of another one lives
	// without being told again, and refreshAfter when it is told.
	registeredFor = 75 * time.Second
	refreshAfter  = 30 * time.Second
	// MaxKeys bounds the flows of one Register frame: 64 make 770 bytes.
	MaxKeys = 64
)

// AppendRegistrars appends the agents of a list that are to know where a flow lives:
// those whose addresses hash highest with its key, so that everybody who knows the same
// list names the same ones, and a change of the list moves few flows.
func AppendRegistrars(to []Endpoint, key Key, list []Endpoint) []Endpoint {
	var first, second Endpoint
	var most, next uint64
	for _, agent := range list {
		h := key.Hash(agent.salt())
		switch {
		case first.IsZero() || h > most:
			second, next = first, most
			first, most = agent, h
		case second.IsZero() || h > next:
			second, next = agent, h
		}
	}
	for _, agent := range [registrars]Endpoint{first, second} {
		if !agent.IsZero() {
			to = append(to, agent)
		}
	}
	return to
}

// salt mixes an endpoint into a number for Key.Hash.
func (e Endpoint) salt() uint64 {
	n := uint64(e.IP[0])<<40 | uint64(e.IP[1])<<32 | uint64(e.IP[2])<<24 | uint64(e.IP[3])<<16 | uint64(e.Port)
	return n * 0x9e3779b97f4a7c15
}

// registry remembers where flows of other agents live.
type registry struct {
	flows map[Key]registered
}

type registered struct {
	holder Endpoint
	until  time.Duration
}

// put notes where a flow lives. If there is no room the flow is found by asking all
// agents.
func (r *registry) put(key Key, holder Endpoint, now time.Duration) {
	if r.flows == nil {
		r.flows = make(map[Key]registered)
	}
	if _, known := r.flows[key]; !known && len(r.flows) >= maxRegistered {
		return
	}
	r.flows[key] = registered{holder: holder, until: now + registeredFor}
}

// holder returns where a flow lives, or zero.
func (r *registry) holder(key Key) Endpoint { return r.flows[key].holder }

func (r *registry) sweep(now time.Duration) {
	for key, f := range r.flows {
		if now > f.until {
			delete(r.flows, key)
		}
	}
}

// Registration is what an agent tells another one: that it holds these flows.
type Registration struct {
	To   Endpoint
	Keys []Key
}

// Register takes in that another agent holds flows.
func (a *Agent) Register(keys []Key, holder Endpoint, now time.Duration) {
	for _, key := range keys {
		a.registry.put(key, holder, now)
	}
}

// DueRegistrations returns the registrations that are to be sent: of flows that have opened, whose
// registrars have changed, or that were registered a while ago.
func (a *Agent) DueRegistrations(now time.Duration) []Registration {
	a.due = a.due[:0]
	if len(a.peers) == 0 {
		return nil
	}
	index := map[Endpoint]int{}
	for key, f := range a.flows {
		if f.stage != opened || f.targetDone || f.callerDone {
			continue
		}
		if f.registeredAt != 0 && f.registeredIn == a.listed && now-f.registeredAt < refreshAfter {
			continue
		}
		f.registeredAt, f.registeredIn = max(now, 1), a.listed
		a.chosen = AppendRegistrars(a.chosen[:0], key, a.all)
		for _, to := range a.chosen {
			if to != a.self {
				a.add(index, to, key)
			}
		}
	}
	return a.due
}

// add puts a key into the registration for an agent, and begins another one when that
// is full.
func (a *Agent) add(index map[Endpoint]int, to Endpoint, key Key) {
	i, known := index[to]
	if !known || len(a.due[i].Keys) >= MaxKeys {
		i = len(a.due)
		index[to] = i
		a.due = append(a.due, Registration{To: to})
	}
	a.due[i].Keys = append(a.due[i].Keys, key)
}
