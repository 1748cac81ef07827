package faultproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

const (
	defaultMaxFlows   = 4096
	maxDatagram       = 65535
	maxPending        = 65536
	socketBufferBytes = 4 << 20
)

// Options configures a Relay.
type Options struct {
	// Listen is the front address. Port 0 means a free port.
	Listen netip.AddrPort
	// Hosts receive the datagrams of callers.
	Hosts []netip.AddrPort
	// Rand is the source of randomness for faults and hosts.
	Rand *rand.Rand
	// Delay returns the one-way delay added to every datagram from and to a caller
	// with that IP address. It must not block. Nil adds none.
	Delay func(caller netip.Addr) time.Duration
	// MaxFlows bounds the flow table; when it is full, the least recently used flow is
	// evicted. Default 4096.
	MaxFlows int
}

// Counts are the datagram counts of one path in one direction.
type Counts struct {
	// Received counts datagrams received for the path.
	Received int
	// Delivered counts datagrams forwarded, including duplicates.
	Delivered int
	// Lost counts datagrams dropped by faults.
	Lost int
}

// pathKey identifies one direction of the path to one host.
type pathKey struct {
	host      netip.AddrPort
	direction Direction
}

// Relay relays datagrams between callers and hosts.
type Relay struct {
	front    *net.UDPConn
	maxFlows int
	delay    func(caller netip.Addr) time.Duration
	workers  conc.WaitGroup

	// mu guards the fields below. No other lock is acquired while it is held.
	mu       sync.Mutex
	random   *rand.Rand
	hosts    []netip.AddrPort
	defaults [directions]Faults
	faults   map[pathKey]Faults
	counts   map[pathKey]Counts
	flows    map[netip.AddrPort]*flow
	pending  int
	closed   bool
	// recorded holds up to recordLimit datagrams per direction.
	recorded    [directions][][]byte
	recordLimit int
	// roundRobin replaces the random selection of hosts.
	roundRobin bool
}

// flow is the state of one caller address.
type flow struct {
	caller   netip.AddrPort
	upstream *net.UDPConn
	lastUsed time.Time
	// callerDelay is the one-way delay of the caller's IP address.
	callerDelay time.Duration
	cut         [directions]bool
	// sent counts the datagrams sent to hosts.
	sent int
}

// NewRelay listens on the front address and starts to relay.
func NewRelay(opts Options) (*Relay, error) {
	front, err := listenUDP(opts.Listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		front:    front,
		maxFlows: opts.MaxFlows,
		delay:    opts.Delay,
		random:   opts.Rand,
		hosts:    append([]netip.AddrPort(nil), opts.Hosts...),
		faults:   make(map[pathKey]Faults),
		counts:   make(map[pathKey]Counts),
		flows:    make(map[netip.AddrPort]*flow),
	}
	if r.maxFlows == 0 {
		r.maxFlows = defaultMaxFlows
	}
	if r.delay == nil {
		r.delay = noDelay
	}
	r.workers.Go(r.readCallers)
	return r, nil
}

func noDelay(netip.Addr) time.Duration { return 0 }

func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// Best effort: smaller buffers only cause additional loss.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addr returns the front address.
func (r *Relay) Addr() netip.AddrPort {
	return r.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close stops the relay and waits for its workers.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.flows {
		f.upstream.Close()
	}
	r.mu.Unlock()
	r.front.Close()
	r.workers.Wait()
}

func (r *Relay) readCallers() {
	buf := make([]byte, maxDatagram)
	for {
		n, caller, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.toHost(caller, buf[:n])
	}
}

// toHost sends one datagram of a caller to a host.
func (r *Relay) toHost(caller netip.AddrPort, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.hosts) == 0 {
		return
	}
	f := r.flowLocked(caller)
	if f == nil {
		return
	}
	host := r.hosts[r.random.IntN(len(r.hosts))]
	if r.roundRobin {
		host = r.hosts[f.sent%len(r.hosts)]
	}
	f.sent++
	r.sendLocked(pathKey{host, ToHost}, f, f.upstream, host, datagram)
}

func (r *Relay) readHosts(f *flow) {
	buf := make([]byte, maxDatagram)
	for {
		n, host, err := f.upstream.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.toCaller(f, host, buf[:n])
	}
}

// toCaller sends one datagram of a host to the caller of the flow.
func (r *Relay) toCaller(f *flow, host netip.AddrPort, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.sendLocked(pathKey{host, ToCaller}, f, r.front, f.caller, datagram)
}

// sendLocked sends a datagram subject to the faults of its path.
func (r *Relay) sendLocked(key pathKey, f *flow, from *net.UDPConn, to netip.AddrPort, datagram []byte) {
	counts := r.counts[key]
	defer func() { r.counts[key] = counts }()
	counts.Received++
	delays := r.faultsLocked(key).delays(r.random)
	if f.cut[key.direction] {
		delays = nil
	}
	if len(delays) == 0 {
		counts.Lost++
		return
	}
	f.lastUsed = time.Now()
	r.recordLocked(key.direction, datagram)
	for _, delay := range delays {
		counts.Delivered++
		r.deliverLocked(from, to, datagram, delay+f.callerDelay)
	}
}

// deliverLocked sends a datagram after the delay. A failed send drops it.
func (r *Relay) deliverLocked(from *net.UDPConn, to netip.AddrPort, datagram []byte, delay time.Duration) {
	if delay == 0 {
		_, _ = from.WriteToUDPAddrPort(datagram, to)
		return
	}
	if r.pending >= maxPending {
		return
	}
	r.pending++
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() {
		_, _ = from.WriteToUDPAddrPort(delayed, to)
		r.mu.Lock()
		r.pending--
		r.mu.Unlock()
	})
}

// flowLocked returns the flow of the caller and creates it if needed. It returns nil if no
// socket can be opened for it.
func (r *Relay) flowLocked(caller netip.AddrPort) *flow {
	if f, ok := r.flows[caller]; ok {
		return f
	}
	for len(r.flows) >= r.maxFlows {
		r.evictOldestLocked()
	}
	upstream, err := listenUDP(netip.AddrPortFrom(r.Addr().Addr(), 0))
	if err != nil {
		return nil
	}
	f := &flow{
		caller: caller, upstream: upstream, lastUsed: time.Now(),
		callerDelay: r.delay(caller.Addr().Unmap()),
	}
	r.flows[caller] = f
	r.workers.Go(func() { r.readHosts(f) })
	return f
}

func (r *Relay) evictOldestLocked() {
	var oldest *flow
	for _, f := range r.flows {
		if oldest == nil || f.lastUsed.Before(oldest.lastUsed) {
			oldest = f
		}
	}
	oldest.upstream.Close()
	delete(r.flows, oldest.caller)
}
