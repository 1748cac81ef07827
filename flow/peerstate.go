package flow

import (
	"time"

	"eelgrasswharf.example/eelgrasswharf/servicetime"
)

const (
	// maxPeerStates bounds the agents whose last report is remembered. In a larger service
	// they are a sample.
	maxPeerStates = 256
	// peerLoadAge is the age above which the load of another agent is not used, that of the
	// reports to entry hosts.
	peerLoadAge = 250 * time.Millisecond
	// trialInterval is the time between two openings that are handed to an agent whose load
	// is unknown, in case its report was lost. It doubles, maxSilent times at most, with each
	// one that it does not report after: behind a partition the opening is lost, and its
	// caller sends a copy only after this time.
	trialInterval = 200 * time.Millisecond
	maxSilent     = 5
	// maxFutile is the number of openings that are handed on in succession without finding a
	// target with room before all count as full: as many as a flow has preferred agents. Then
	// one goes on in the time in which a full target ends a request: as often may one of them
	// have room.
	maxFutile = preferredAgents
)

// peerState is what another agent of the service has reported.
type peerState struct {
	pace       servicetime.Pace
	readsGroup bool
	paceAt     time.Duration
	// load was reported at loadAt, if loadKnown. closed: its target takes no new flows or is
	// unhealthy. handed counts the openings handed to it since.
	load      uint16
	loadKnown bool
	closed    bool
	loadAt    time.Duration
	handed    int
	// triedAt is when it was last handed an opening while its load was unknown, silent how
	// often that was since its last report.
	triedAt time.Duration
	silent  int
	heardAt time.Duration
}

// peerStates has the last reports of other agents.
type peerStates struct {
	agents map[Endpoint]*peerState
	paces  []servicetime.Pace
	// futile counts the openings handed on since an agent last reported room, to agents that
	// were not known to have any, the last one at futileAt.
	futile   int
	futileAt time.Duration
}

// PeerFrame handles what a Register or Load frame of another agent says about its target.
func (a *Agent) PeerFrame(m Frame, from Endpoint, now time.Duration) {
	if !a.serviceAgents.has(from) || from == a.self {
		return
	}
	p := a.peerStates.obtain(from, now)
	p.heardAt, p.readsGroup = now, m.ReadsGroup
	switch m.Kind {
	case Register:
		p.pace, p.paceAt = m.Pace, now
	case Load:
		p.load, p.loadAt, p.loadKnown, p.handed = m.LoadPermille, now, true, 0
		p.silent = 0
		p.closed = m.Draining || m.Unhealthy
		if !p.closed && uint32(p.load)+a.requestLoad() <= SaturatedLoad {
			a.peerStates.futile = 0
		}
	}
}

// obtain returns the state of an agent. If the table is full, it replaces the one that was not
// heard of for the longest time.
func (s *peerStates) obtain(agent Endpoint, now time.Duration) *peerState {
	if p := s.agents[agent]; p != nil {
		return p
	}
	if s.agents == nil {
		s.agents = make(map[Endpoint]*peerState)
	}
	if len(s.agents) >= maxPeerStates {
		var oldest Endpoint
		at := now
		for e, p := range s.agents {
			if p.heardAt <= at {
				oldest, at = e, p.heardAt
			}
		}
		delete(s.agents, oldest)
	}
	p := &peerState{heardAt: now}
	s.agents[agent] = p
	return p
}

// usual returns the usual service time of the targets with a valid pace, 0 if unknown.
func (s *peerStates) usual(own servicetime.Pace, now time.Duration) time.Duration {
	s.paces = append(s.paces[:0], own)
	for _, p := range s.agents {
		if p.pace != 0 && now-p.paceAt <= registrationTTL {
			s.paces = append(s.paces, p.pace)
		}
	}
	usual, _ := servicetime.Usual(s.paces)
	return usual
}

// withGroup adds the callers' group to an opening that is sent to an agent that reads it.
func (a *Agent) withGroup(v Verdict, group uint8) Verdict {
	if v.Action == Send && v.Frame.Kind == Open {
		if p := a.peerStates.agents[v.To]; p != nil && p.readsGroup {
			v.Frame.Group = group
		}
	}
	return v
}

// loadWith returns the load of the agent with those openings that were handed to it and one
// more, and false if its load is not known.
func (p *peerState) loadWith(requestLoad uint32, now time.Duration) (load uint32, known bool) {
	if p == nil || !p.loadKnown || now-p.loadAt > peerLoadAge {
		return 0, false
	}
	return uint32(p.load) + uint32(p.handed+1)*requestLoad, true
}

// anyBelow reports whether an agent is known to have a load, with one more opening, of at most
// limit.
func (s *peerStates) anyBelow(limit int64, requestLoad uint32, now time.Duration) bool {
	for _, p := range s.agents {
		if load, known := p.loadWith(requestLoad, now); known && !p.closed && int64(load) <= limit {
			return true
		}
	}
	return false
}

// silence returns how often the agent was handed an opening without a report since.
func (p *peerState) silence() int {
	if p == nil {
		return 0
	}
	return p.silent
}

// mayTry reports whether an agent of unknown load may be handed an opening.
func (p *peerState) mayTry(now time.Duration) bool {
	return p == nil || p.silent == 0 || now-p.triedAt >= trialInterval<<min(p.silent-1, maxSilent)
}

// full reports whether no target was found to have room lately.
func (s *peerStates) full(interval, now time.Duration) bool {
	return s.futile >= maxFutile && now-s.futileAt < interval
}

// recordHandedOn records that an opening is handed to an agent, of known load or not.
func (s *peerStates) recordHandedOn(agent Endpoint, known bool, requestLoad uint32, now time.Duration) {
	p := s.obtain(agent, now)
	if load, _ := p.loadWith(requestLoad, now); !known || load > SaturatedLoad {
		s.futile, s.futileAt = s.futile+1, now
	}
	if known {
		p.handed++
		return
	}
	p.silent, p.triedAt = p.silent+1, now
}
