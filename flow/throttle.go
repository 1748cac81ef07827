package flow

import "time"

// Throttle limits the openings that an entry host passes on while the targets of a service
// have too little room.
type Throttle interface {
	// Covers reports whether the route of a public address states an objective or a timeout.
	// The openings of other routes are neither judged nor counted.
	Covers(public Endpoint) bool
	// Judge decides on the opening of a new flow. It is called before the flow is placed,
	// since a target that a flow is placed on counts as unresponsive unless it answers. It
	// returns ReasonNoRoom if the opening is refused, a placement at a target that has room
	// with its reason, or neither if the opening is to be placed as usual.
	Judge(key Key, now time.Duration) (Placement, Reason)
	// Accepted records that a target has accepted an opening, Returned that the agent of one
	// has returned it. The service is the one that the opening was offered to.
	Accepted(key Key, service uint64, now time.Duration)
	Returned(key Key, service uint64, from Endpoint, now time.Duration)
	// WithRoom returns a target that is known to have room for an opening and is none of
	// those tried: of this service, else of another one of the route.
	WithRoom(key Key, service uint64, tried []Endpoint, now time.Duration) (Placement, bool)
}

// SetThrottle sets what limits openings, nil for none.
func (e *Entry) SetThrottle(t Throttle) { e.throttle = t }

// maxReturned bounds the agents that are remembered as having returned an opening. After more
// transmissions the copies cannot be told apart.
const maxReturned = 2

// offers tracks the transmissions of the opening of a flow, if its route is covered by the
// throttle.
type offers struct {
	covered bool
	// count is how often the opening was sent to an agent.
	count uint8
	// returnedBy has the agents that have returned it, each once: a datagram may be
	// duplicated on its way.
	returnedBy    [maxReturned]Endpoint
	returnedCount uint8
	// accepted: a target has accepted it. again: it was offered again after it was returned.
	accepted, again bool
}

// place chooses the target of an opening that has none. The throttle judges the openings of new
// flows. A copy of an opening, which its Ack shows, may have been passed on by another entry
// host, so that a reset could end a flow that a target holds: it is placed. So is everything
// while nothing may be reset.
func (e *Entry) place(f *entryFlow, p Packet, now time.Duration) (Placement, Reason) {
	if f == nil && p.Ack == 0 && e.throttle != nil && e.throttle.Covers(p.Key.Public) && e.MayReset(now) {
		if placed, reason := e.throttle.Judge(p.Key, now); reason != "" {
			return placed, reason
		}
	}
	return e.placer.Place(p.Key, Endpoint{}, now)
}

// firstOffer returns the state of an opening that is sent to its first target.
func (e *Entry) firstOffer(key Key) offers {
	return offers{covered: e.throttle != nil && e.throttle.Covers(key.Public), count: 1}
}

// recordAccepted reports the first acceptance of an opening to the throttle.
func (e *Entry) recordAccepted(f *entryFlow, key Key, now time.Duration) {
	if f.offers.covered && !f.offers.accepted {
		f.offers.accepted = true
		e.throttle.Accepted(key, f.candidates[0].service, now)
	}
}

// recordReturned reports a returned opening to the throttle. A frame without a service is from
// an agent of an earlier release, which returns an opening after 450 ms.
func (e *Entry) recordReturned(f *entryFlow, m Frame, key Key, service uint64, from Endpoint, now time.Duration) {
	o := &f.offers
	if !o.covered || m.Service == 0 || contains(o.returnedBy[:o.returnedCount], from) {
		return
	}
	if int(o.returnedCount) < len(o.returnedBy) {
		o.returnedBy[o.returnedCount] = from
		o.returnedCount++
	}
	e.throttle.Returned(key, service, from, now)
}

// returnedByAll reports whether every transmission of the opening was returned. Agents hand an
// opening on and keep nothing of it, so that the agent that returns it may be none that this
// host has sent it to.
func (f *entryFlow) returnedByAll() bool {
	return f.offers.covered && !f.offers.accepted && f.offers.returnedCount >= f.offers.count
}

// offerAgain offers a returned opening that no target holds to another target that is known
// to have room, once. The agent may hand it on only if its target starts draining.
func (e *Entry) offerAgain(f *entryFlow, key Key, first candidate, now time.Duration) (Verdict, bool) {
	o := &f.offers
	if o.returnedCount == 0 || o.again || o.accepted {
		return Verdict{}, false
	}
	tried := append(e.all[:0], first.agent)
	tried = append(tried, o.returnedBy[:o.returnedCount]...)
	e.all = tried
	placed, ok := e.throttle.WithRoom(key, first.service, tried, now)
	if !ok {
		return Verdict{}, false
	}
	o.again = true
	o.count = o.returnedCount + 1
	f.candidates[0], f.count = candidate{agent: placed.Agent, service: placed.Service}, 1
	v := e.offer(placed, ReasonOfferedAgain)
	v.Frame.Hops, v.Frame.Alternate = maxBusyHops, placed.Agent
	return v, true
}
