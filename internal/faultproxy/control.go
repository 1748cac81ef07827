package faultproxy

import "net/netip"

// SetHosts replaces the hosts that receive datagrams of callers. Replies of
// hosts that are no longer among them still return to their callers.
func (r *Relay) SetHosts(hosts ...netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append([]netip.AddrPort(nil), hosts...)
}

// UseRoundRobin sends each datagram of a caller to the host after the one that got
// the last, in place of one chosen at random.
func (r *Relay) UseRoundRobin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inTurn = true
}

// SetFaults sets the faults of one direction for all hosts without faults of
// their own.
func (r *Relay) SetFaults(direction Direction, faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaults[direction] = faults
}

// SetHostFaults sets the faults of one direction of the path to one host.
func (r *Relay) SetHostFaults(host netip.AddrPort, direction Direction, faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[pathKey{host, direction}] = faults
}

// Cut loses everything in both directions, without a sign to either end.
func (r *Relay) Cut() {
	r.SetFaults(ToHost, Faults{Cut: true})
	r.SetFaults(ToCaller, Faults{Cut: true})
}

// Heal removes all faults, but leaves stale flows stale.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaults = [directions]Faults{}
	clear(r.faults)
}

// CutFlows makes the flows of all callers known by now stale in the given
// directions: their datagrams are lost for good, while a caller that comes
// from another port gets through.
func (r *Relay) CutFlows(ways ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		for _, direction := range ways {
			f.stale[direction] = true
		}
	}
}

// CutFlow makes the flow of one caller stale in the given directions.
func (r *Relay) CutFlow(caller netip.AddrPort, ways ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[caller]; ok {
		for _, direction := range ways {
			f.stale[direction] = true
		}
	}
}

// Counts tells what was done with the datagrams of one path.
func (r *Relay) Counts(host netip.AddrPort, direction Direction) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[pathKey{host, direction}]
}

// Flows returns the number of callers in the table.
func (r *Relay) Flows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flows)
}

func (r *Relay) faultsLocked(key pathKey) Faults {
	if faults, ok := r.faults[key]; ok {
		return faults
	}
	return r.defaults[key.direction]
}

// Record keeps copies of the next datagrams that are delivered, at most limit
// of each direction, and forgets earlier ones.
func (r *Relay) Record(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLimit = limit
	r.recorded = [directions][][]byte{}
}

// Recorded returns the datagrams that were kept of a direction.
func (r *Relay) Recorded(direction Direction) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([][]byte(nil), r.recorded[direction]...)
}

func (r *Relay) recordLocked(direction Direction, datagram []byte) {
	if len(r.recorded[direction]) < r.recordLimit {
		r.recorded[direction] = append(r.recorded[direction], append([]byte(nil), datagram...))
	}
}
