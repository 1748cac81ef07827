package agentd

import (
	"net/netip"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/reason"
)

// loadedFrom is the load, in per mille, from which a target hands new flows
// on: all slots are taken and half as many requests wait.
const loadedFrom = 1500

// handOn decides where first packets go that this target does not take.
type handOn struct {
	self     identity
	counters *counters
	leaving  func() bool
	state    func() targetState
	targets  func() []*controlpb.TargetRecord
	// evacuated reports whether the targets of a failure domain, domain being the own
	// one, get no new flows.
	evacuated func(failureDomain string) bool
	domain    string
}

// elsewhere returns the frame address to which a first packet is handed on.
func (o *handOn) elsewhere(h *frame.Header) (netip.AddrPort, bool) {
	why := o.why(h)
	if why == reason.None {
		return netip.AddrPort{}, false
	}
	if h.Hops >= maxHops {
		o.counters.count(reason.FlowHops)
		return netip.AddrPort{}, false
	}
	to, ok := o.pick(h, why)
	if !ok {
		o.counters.count(reason.FlowNoAlternate)
		return netip.AddrPort{}, false
	}
	o.counters.count(why)
	return to, true
}

// why tells whether the target takes the flow itself. For its load alone it
// passes a flow on only once, to the alternate: two loaded targets would
// otherwise send it to and fro.
func (o *handOn) why(h *frame.Header) reason.Code {
	if o.evacuated(o.domain) {
		return reason.FlowEvacuated
	}
	if o.leaving() {
		return reason.FlowLeaving
	}
	state := o.state()
	loaded := state.present >= loadedFrom || state.ill
	if loaded && h.Hops == 0 && o.usable(h.Alternate) {
		return reason.FlowLoaded
	}
	return reason.None
}

// pick returns the alternate that the entry host named or, once that was
// tried, a serving target that this agent knows.
func (o *handOn) pick(h *frame.Header, why reason.Code) (netip.AddrPort, bool) {
	if h.Hops == 0 && o.usable(h.Alternate) && (why == reason.FlowLoaded || !o.knownLeaving(h.Alternate)) {
		return h.Alternate, true
	}
	serving := o.serving()
	if len(serving) == 0 {
		return netip.AddrPort{}, false
	}
	return serving[callerHash(h.Caller)%uint64(len(serving))], true
}

func (o *handOn) usable(a netip.AddrPort) bool {
	return a.IsValid() && a != o.self.address
}

// knownLeaving reports whether this agent knows that the target at the
// address takes no new flows.
func (o *handOn) knownLeaving(a netip.AddrPort) bool {
	for _, record := range o.targets() {
		if record.GetAddress() == a.String() {
			return record.GetState() != controlpb.TargetState_TARGET_STATE_SERVING ||
				o.evacuated(record.GetFailureDomain())
		}
	}
	return false
}

// serving returns the frame addresses of other serving targets of the service,
// those that are well if there are any.
func (o *handOn) serving() []netip.AddrPort {
	var well, ill []netip.AddrPort
	for _, record := range o.targets() {
		address, ok := o.candidate(record)
		switch {
		case !ok:
		case record.GetIll():
			ill = append(ill, address)
		default:
			well = append(well, address)
		}
	}
	if len(well) > 0 {
		return well
	}
	return ill
}

func (o *handOn) candidate(record *controlpb.TargetRecord) (netip.AddrPort, bool) {
	other := record.GetService() == o.self.serviceNumber && record.GetNumber() != o.self.number
	newer := record.GetNumber() == o.self.number && record.GetIncarnation() > o.self.incarnation
	if record.GetService() != o.self.serviceNumber || !(other || newer) {
		return netip.AddrPort{}, false
	}
	if record.GetState() != controlpb.TargetState_TARGET_STATE_SERVING || o.evacuated(record.GetFailureDomain()) {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(record.GetAddress())
	return address, err == nil && o.usable(address)
}

// callerHash spreads callers over targets; a caller's repeated first packet
// gets the same one (FNV-1a).
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
