package agentd

import (
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// overloadThreshold is the load, in per mille, from which a target redirects new
// flows: all slots are in use and half as many requests are queued.
const overloadThreshold = 1500

// redirector decides whether and where first packets are redirected.
type redirector struct {
	self       identity
	counters   *counters
	isDraining func() bool
	state      func() targetState
	targets    func() []*controlpb.TargetRecord
	// evacuated reports whether targets of a failure domain get no new flows. domain
	// is the one of this target.
	evacuated func(failureDomain string) bool
	domain    string
}

// redirectAddress returns the frame address to which a first packet is redirected.
func (r *redirector) redirectAddress(h *frame.Header) (netip.AddrPort, bool) {
	redirectReason := r.redirectReason(h)
	if redirectReason == reason.None {
		return netip.AddrPort{}, false
	}
	if h.Hops >= maxHops {
		r.counters.count(reason.FlowHops)
		return netip.AddrPort{}, false
	}
	to, ok := r.pick(h, redirectReason)
	if !ok {
		r.counters.count(reason.FlowNoAlternate)
		return netip.AddrPort{}, false
	}
	r.counters.count(redirectReason)
	return to, true
}

// redirectReason returns why a first packet is redirected, None if it is not. Because
// of load, a flow is redirected only on its first hop, so that two loaded targets do
// not send it back and forth.
func (r *redirector) redirectReason(h *frame.Header) reason.Code {
	if r.evacuated(r.domain) {
		return reason.FlowEvacuated
	}
	if r.isDraining() {
		return reason.FlowLeaving
	}
	state := r.state()
	overloaded := state.currentLoad >= overloadThreshold || state.unhealthy
	if overloaded && h.Hops == 0 && r.usable(h.Alternate) {
		return reason.FlowLoaded
	}
	return reason.None
}

// pick returns the alternate named by the entry host or, for a later hop or a
// draining alternate, a known serving target.
func (r *redirector) pick(h *frame.Header, why reason.Code) (netip.AddrPort, bool) {
	if h.Hops == 0 && r.usable(h.Alternate) && (why == reason.FlowLoaded || !r.knownDraining(h.Alternate)) {
		return h.Alternate, true
	}
	servingPeers := r.servingPeers()
	if len(servingPeers) == 0 {
		return netip.AddrPort{}, false
	}
	return servingPeers[callerHash(h.Caller)%uint64(len(servingPeers))], true
}

func (r *redirector) usable(a netip.AddrPort) bool {
	return a.IsValid() && a != r.self.address
}

// knownDraining reports whether the target at the address is known to accept no new
// flows.
func (r *redirector) knownDraining(a netip.AddrPort) bool {
	for _, record := range r.targets() {
		if record.GetAddress() == a.String() {
			return record.GetState() != controlpb.TargetState_TARGET_STATE_SERVING ||
				r.evacuated(record.GetFailureDomain())
		}
	}
	return false
}

// servingPeers returns the frame addresses of other serving targets of the service,
// only healthy ones if there are any.
func (r *redirector) servingPeers() []netip.AddrPort {
	var healthy, unhealthy []netip.AddrPort
	for _, record := range r.targets() {
		address, ok := r.candidate(record)
		switch {
		case !ok:
		case record.GetIll():
			unhealthy = append(unhealthy, address)
		default:
			healthy = append(healthy, address)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return unhealthy
}

func (r *redirector) candidate(record *controlpb.TargetRecord) (netip.AddrPort, bool) {
	other := record.GetService() == r.self.serviceNumber && record.GetNumber() != r.self.number
	newer := record.GetNumber() == r.self.number && record.GetIncarnation() > r.self.incarnation
	if record.GetService() != r.self.serviceNumber || !(other || newer) {
		return netip.AddrPort{}, false
	}
	if record.GetState() != controlpb.TargetState_TARGET_STATE_SERVING || r.evacuated(record.GetFailureDomain()) {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	return address, err == nil && r.usable(address)
}

// callerHash distributes callers over targets (FNV-1a). A retransmitted first packet
// gets the same target.
func callerHash(a netip.AddrPort) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	ip := a.Addr().As16()
	for _, b := range ip {
		hash = (hash ^ uint64(b)) * prime
	}
	hash = (hash ^ uint64(a.Port()&0xff)) * prime
	return (hash ^ uint64(a.Port()>>8)) * prime
}
