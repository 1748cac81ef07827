package flow

import "time"

// Located handles a Located frame, by which an agent names the holder of a flow. The packet of
// the search is forwarded to the holder.
func (e *Entry) Located(m Frame, from Endpoint, now time.Duration) {
	f := e.flows[m.Key]
	if f == nil || f.confirmed && f.candidates[0].agent != m.Alternate {
		return
	}
	f.recordLocated(m.Alternate, from)
	if f.count > 0 {
		return
	}
	f.lastSeen, f.asked = now, nil
	f.candidates[0], f.count, f.confirmed = candidate{agent: m.Alternate}, 1, true
	f.probedAt = max(now, 1)
}

// recordLocated records which agents name the holder of the flow. Their own targets do not
// hold it.
func (f *entryFlow) recordLocated(holder, from Endpoint) {
	if f.holder != holder {
		f.holder, f.locatedBy = holder, nil
	}
	if !contains(f.locatedBy, from) && len(f.locatedBy) < maxDenials {
		f.locatedBy = append(f.locatedBy, from)
	}
}

// recordDenied records that the target of an agent does not hold the flow. If that agent was
// named as the holder, those that named it do not hold the flow either.
func (f *entryFlow) recordDenied(agent Endpoint) {
	f.addDenied(agent)
	if agent != f.holder {
		return
	}
	for _, from := range f.locatedBy {
		f.addDenied(from)
	}
	f.locatedBy = nil
}

func (f *entryFlow) addDenied(agent Endpoint) {
	if !contains(f.denied, agent) && len(f.denied) < maxDenials {
		f.denied = append(f.denied, agent)
	}
}
