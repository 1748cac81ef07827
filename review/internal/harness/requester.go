package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// openWaits are the times after each copy of an opening packet.
var openWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

const firstPort = 40000

// requester is a stand-in for a requester.
type requester struct {
	record *record
	router *router
	ip     netip.Addr
	conn   *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*flow
	// altered counts packets that their sender did not write so.
	altered int
}

// flow is a flow of a requester.
type flow struct {
	from *requester
	key  flowKey
	in   chan *packet
	// seq is the number of the next byte to send, ack that of the next one to receive.
	seq, ack uint32
	// server is the stamp of the target that has answered, lastAt the time of the last packet sent.
	server string
	lastAt time.Time
	// idleFor is the longest time without a packet of the flow.
	idleFor time.Duration

	mu sync.Mutex
	// resetAt is when a reset arrived, with its checksum.
	resetAt  time.Time
	resetSum uint32
}

// newRequester opens the socket of a requester.
func newRequester(ip netip.Addr, port uint16, router *router, r *record) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	q := &requester{record: r, router: router, ip: ip, conn: conn, port: firstPort, flows: map[flowKey]*flow{}}
	go q.receive()
	return q, nil
}

func (q *requester) close() { _ = q.conn.Close() }

func (q *requester) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := q.conn.Read(buffer)
		if err != nil && strings.Contains(err.Error(), "closed") {
			return
		}
		if p, ok := decode(buffer[:max(n, 0)]); ok {
			q.dispatch(p)
		}
	}
}

func (q *requester) dispatch(p *packet) {
	q.mu.Lock()
	f := q.flows[flowKey{p.dst, p.src}]
	ownReset := p.has(flagRST) && p.sum == 0
	if !p.intact && !ownReset {
		q.altered++
	}
	q.mu.Unlock()
	if f == nil || !p.intact && !ownReset {
		return
	}
	if p.has(flagRST) {
		f.mu.Lock()
		if f.resetAt.IsZero() {
			f.resetAt, f.resetSum = time.Now(), p.sum
			q.record.line("requester gets a reset of %s, sum %#x", f.key, p.sum)
		}
		f.mu.Unlock()
	}
	select {
	case f.in <- p:
	default: // like a full buffer: the sender sends the packet again
	}
}

// open opens a flow, nil if that fails.
func (q *requester) open(public netip.AddrPort) *flow {
	q.mu.Lock()
	q.port++
	f := &flow{
		from: q, key: flowKey{netip.AddrPortFrom(q.ip, q.port), public},
		in: make(chan *packet, 64), seq: rand.Uint32(),
	}
	q.flows[f.key] = f
	q.mu.Unlock()
	for copies, wait := range openWaits {
		f.send(&packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		p := f.await(wait, func(p *packet) bool { return p.has(flagSYN|flagACK) || p.has(flagRST) })
		if p == nil {
			continue
		}
		if p.has(flagRST) {
			return nil
		}
		f.seq, f.ack = f.seq+1, p.seq+1
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return f
	}
	return nil
}

// result is the outcome of a request.
type result string

const (
	resultOK       result = "answered"
	resultReset    result = "reset"
	resultTimeout  result = "no answer in time"
	resultMismatch result = "foreign answer"
)

// kind is a kind of requests on a site's sheet.
type kind struct {
	name, method string
	// routeType, timeoutMs, aimMs and priority are those of its route.
	routeType                  string
	timeoutMs, aimMs, priority int
	bodyBytes                  int
	// limit is the requester's time limit.
	limit time.Duration
}

func (k *kind) request(id string, host netip.AddrPort) string {
	body := strings.Repeat("x", k.bodyBytes)
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		k.method, k.name, host, id, len(body), body)
}

// do sends a request and waits for the answer.
func (f *flow) do(k *kind, id string) result {
	request := k.request(id, f.key.public)
	deadline := time.Now().Add(k.limit)
	f.from.record.line("requester sends %s on %s", id, f.key)
	for wait := firstRetry; time.Now().Before(deadline); wait = min(2*wait, lastRetry) {
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(request)})
		p := f.await(min(wait, time.Until(deadline)), func(p *packet) bool {
			return p.has(flagRST) || len(p.data) > 0 && p.seq == f.ack
		})
		switch {
		case p == nil:
			continue
		case p.has(flagRST):
			f.from.record.line("requester: %s on %s: %s", id, f.key, resultReset)
			return resultReset
		}
		f.seq += uint32(len(request))
		f.ack += uint32(len(p.data))
		f.server = headerOf(string(p.data), "X-Server-Stamp")
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
		if !strings.HasSuffix(string(p.data), "answer to "+id) {
			return resultMismatch
		}
		f.from.record.line("requester: %s on %s: %s by %s", id, f.key, resultOK, f.server)
		return resultOK
	}
	f.from.record.line("requester: %s on %s: %s", id, f.key, resultTimeout)
	return resultTimeout
}

// wasReset returns when the flow was reset, and whether the system sent the reset.
func (f *flow) wasReset() (at time.Time, bySystem bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resetAt, f.resetSum == 0
}

// send sends a packet to the entry host that the router selects now.
func (f *flow) send(p *packet) {
	p.src, p.dst = f.key.requester, f.key.public
	now := time.Now()
	if !f.lastAt.IsZero() {
		f.idleFor = max(f.idleFor, now.Sub(f.lastAt))
	}
	f.lastAt = now
	_, _ = f.from.conn.WriteToUDPAddrPort(encode(p), f.from.router.pick(f.key))
}

// await returns the next packet that matches, nil if none does in time.
func (f *flow) await(limit time.Duration, match func(*packet) bool) *packet {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if match(p) {
				return p
			}
		case <-timer.C:
			return nil
		}
	}
}
