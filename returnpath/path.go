package returnpath

import (
	"net/netip"
	"time"
)

const (
	// MaxPathHosts is the number of entry hosts that a flow remembers.
	MaxPathHosts = 4
	// FailoverDatagrams is the number of datagrams sent without a received one after
	// which a flow may fail over to its next entry host.
	FailoverDatagrams = 4
	// FailoverTimeout must also have passed since the last received datagram, as a
	// burst within one round trip is no sign of a dead path.
	FailoverTimeout = 150 * time.Millisecond
)

// Path holds the entry hosts of one flow, the one to use next first. The zero value is
// empty. A Path is not safe for concurrent use.
type Path struct {
	hosts [MaxPathHosts]netip.AddrPort
	count uint8
	// unanswered counts the datagrams sent since the last received one, up to
	// FailoverDatagrams.
	unanswered uint16
	// failovers counts the failovers since the last received datagram.
	failovers    uint16
	lastReceived time.Duration
}

// RecordReceived records that a datagram of the flow came through the entry host. now
// is any monotonic time.
func (p *Path) RecordReceived(entry netip.AddrPort, now time.Duration) {
	p.unanswered = 0
	p.failovers = 0
	p.lastReceived = now
	p.toFront(entry)
}

// Next returns the entry host for the next datagram and counts the datagram. After
// FailoverDatagrams and FailoverTimeout without a received datagram, each datagram goes
// through another entry host: a QUIC sender backs off, so several datagrams per entry
// host could take longer than the caller's timeout. ok is false if no entry host is
// known. exhausted is set once every remembered entry host was tried without success.
func (p *Path) Next(now time.Duration) (entry netip.AddrPort, exhausted, ok bool) {
	if p.count == 0 {
		return netip.AddrPort{}, true, false
	}
	if p.unanswered >= FailoverDatagrams && now-p.lastReceived >= FailoverTimeout {
		p.rotate()
	}
	if p.unanswered < FailoverDatagrams {
		p.unanswered++
	}
	return p.hosts[0], p.failovers >= uint16(p.count), true
}

// rotate moves the first entry host to the end.
func (p *Path) rotate() {
	front := p.hosts[0]
	copy(p.hosts[:p.count], p.hosts[1:p.count])
	p.hosts[p.count-1] = front
	if p.failovers < ^uint16(0) {
		p.failovers++
	}
}

// toFront moves the entry host to the front and drops the last one of a full path.
func (p *Path) toFront(entry netip.AddrPort) {
	at := int(p.count)
	for i := range int(p.count) {
		if p.hosts[i] == entry {
			at = i
			break
		}
	}
	if at == int(p.count) && p.count < MaxPathHosts {
		p.count++
	}
	at = min(at, MaxPathHosts-1)
	copy(p.hosts[1:at+1], p.hosts[:at])
	p.hosts[0] = entry
}
