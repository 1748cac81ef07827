package returnpath

import (
	"net/netip"
	"time"
)

const (
	// MaxPathHosts is the number of entry hosts that a flow remembers.
	MaxPathHosts = 4
	// FailoverDatagrams is the number of datagrams sent with nothing heard
	// after which a flow may move to its next entry host.
	FailoverDatagrams = 4
	// FailoverTimeout must also have passed since the last datagram was heard: a
	// burst within one round trip is no sign of a dead path.
	FailoverTimeout = 150 * time.Millisecond
)

// Path holds the entry hosts that one flow was heard through, the one to use
// next in front. The zero value is empty. It is not safe for use by several
// goroutines at once.
type Path struct {
	hosts  [MaxPathHosts]netip.AddrPort
	count  uint8
	silent uint16
	// moves counts how often the path moved on since it last heard anything.
	moves uint16
	since time.Duration
}

// RecordReceived records that a datagram of the flow came through the entry host. now
// is the time on any monotonic scale.
func (p *Path) RecordReceived(entry netip.AddrPort, now time.Duration) {
	p.silent = 0
	p.moves = 0
	p.since = now
	p.toFront(entry)
}

// Next returns the entry host for the next datagram and counts the datagram.
// Once SilentDatagrams were sent and SilentTime passed with nothing heard, each
// datagram goes through another entry host until something is heard: QUIC then
// sends ever more rarely, and a path that waited for several datagrams on each
// entry host would outlast its caller's patience. ok is false when no entry host is
// known. exhausted is set once every remembered entry host was tried in vain.
func (p *Path) Next(now time.Duration) (entry netip.AddrPort, exhausted, ok bool) {
	if p.count == 0 {
		return netip.AddrPort{}, true, false
	}
	if p.silent >= FailoverDatagrams && now-p.since >= FailoverTimeout {
		p.rotate()
	}
	if p.silent < FailoverDatagrams {
		p.silent++
	}
	return p.hosts[0], p.moves >= uint16(p.count), true
}

// rotate moves the front entry host to the end.
func (p *Path) rotate() {
	front := p.hosts[0]
	copy(p.hosts[:p.count], p.hosts[1:p.count])
	p.hosts[p.count-1] = front
	if p.moves < ^uint16(0) {
		p.moves++
	}
}

// toFront puts the entry host first; the oldest one falls out of a full path.
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
