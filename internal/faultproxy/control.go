package faultproxy

import "net/netip"

// SetHosts replaces the hosts that receive datagrams of callers. Replies of removed hosts
// still return to their callers.
func (r *Relay) SetHosts(hosts ...netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append([]netip.AddrPort(nil), hosts...)
}

// UseRoundRobin sends the datagrams of each caller to the hosts in turn instead of at
// random.
func (r *Relay) UseRoundRobin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roundRobin = true
}

// SetFaults sets the faults of one direction for all hosts that SetHostFaults has not set.
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

// Cut drops all datagrams in both directions without an error at either end.
func (r *Relay) Cut() {
	r.SetFaults(ToHost, Faults{Cut: true})
	r.SetFaults(ToCaller, Faults{Cut: true})
}

// Heal removes all faults. Flows cut by CutFlows and CutFlow stay cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaults = [directions]Faults{}
	clear(r.faults)
}

// CutFlows permanently drops the datagrams of all present callers in the given directions.
// Callers from other ports are not affected.
func (r *Relay) CutFlows(dirs ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		for _, direction := range dirs {
			f.cut[direction] = true
		}
	}
}

// CutFlow permanently drops the datagrams of one caller in the given directions.
func (r *Relay) CutFlow(caller netip.AddrPort, dirs ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[caller]; ok {
		for _, direction := range dirs {
			f.cut[direction] = true
		}
	}
}

// Counts returns the datagram counts of one path in one direction.
func (r *Relay) Counts(host netip.AddrPort, direction Direction) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[pathKey{host, direction}]
}

// Flows returns the number of callers in the flow table.
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

// Record drops earlier copies and keeps copies of the next delivered datagrams, at most
// limit per direction.
func (r *Relay) Record(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLimit = limit
	r.recorded = [directions][][]byte{}
}

// Recorded returns the recorded datagrams of a direction.
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
