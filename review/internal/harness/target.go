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

const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
	// maxRetries is how often a target sends a packet again before it gives up.
	maxRetries = 8
)

// target is a stand-in for a target beside an agent.
type target struct {
	record   *record
	service  string
	zone     string
	id       string
	address  netip.AddrPort
	outbound *net.UDPAddr
	// control is the base URL for status reports.
	control string
	// work is the time that a request runs.
	work time.Duration
	// withBorn: reports name the start of the boot.
	withBorn bool
	born     time.Time

	conn *net.UDPConn
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	flows    map[flowKey]*servedFlow
	ended    map[flowKey]time.Time
	draining bool
	seq      int
	// ran has the requests that began to run, opened when each flow's handshake ended.
	ran    map[string]time.Time
	opened map[flowKey]time.Time
	// openings has when the target took the opening packet of each flow.
	openings map[flowKey]time.Time
	resets   map[flowKey]bool
	// altered counts packets that their sender did not write so.
	altered int
}

// servedFlow is a flow at a target.
type servedFlow struct {
	key        flowKey
	openingSeq uint32
	// ownSeq is the number of the target's next byte, nextSeq that of the requester's.
	ownSeq, nextSeq uint32
	open            bool
	unacked         *packet
	unackedEnd      uint32
	retries         int
}

// startTarget starts a boot of a target.
func startTarget(t *target) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	t.conn, t.stop, t.born = conn, make(chan struct{}), time.Now()
	t.flows, t.ended, t.resets = map[flowKey]*servedFlow{}, map[flowKey]time.Time{}, map[flowKey]bool{}
	t.ran, t.opened, t.openings = map[string]time.Time{}, map[flowKey]time.Time{}, map[flowKey]time.Time{}
	t.record.line("target %s of %s starts at %s", t.id, t.service, t.address)
	t.done.Add(1)
	go t.serve()
	return nil
}

// exit ends the boot. It does not wait for a status report under way.
func (t *target) exit() {
	close(t.stop)
	_ = t.conn.Close()
	t.done.Wait()
	t.record.line("target %s exits", t.id)
}

func (t *target) serve() {
	defer t.done.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, err := t.conn.Read(buffer)
		if n == 0 || err != nil {
			select {
			case <-t.stop:
				return
			default:
				continue // an ICMP error for an earlier packet
			}
		}
		if p, ok := decode(buffer[:n]); ok {
			t.handle(p, buffer[:n])
		}
	}
}

// handle handles a packet of a requester.
func (t *target) handle(p *packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{p.src, p.dst}
	if !p.intact {
		t.altered++
		t.record.line("target %s gets an altered packet of %s", t.id, key)
		return
	}
	f := t.flows[key]
	switch {
	case p.has(flagSYN):
		t.handleOpening(f, key, p)
	case f == nil && !t.ended[key].IsZero():
		t.handleEnded(key, p)
	case f == nil, !f.open && p.ack != f.ownSeq:
		raw[atFlags] |= flagBounced
		t.send(raw)
	default:
		t.handleFlow(f, p)
	}
}

func (t *target) handleOpening(f *servedFlow, key flowKey, p *packet) {
	if f == nil || f.openingSeq != p.seq {
		f = &servedFlow{key: key, openingSeq: p.seq, ownSeq: rand.Uint32() + 1, nextSeq: p.seq + 1}
		t.flows[key] = f
		t.openings[key] = time.Now()
		delete(t.ended, key)
	}
	if !f.open {
		t.send(encode(&packet{src: key.public, dst: key.requester, flags: flagSYN | flagACK, seq: f.ownSeq - 1, ack: f.nextSeq}))
	}
}

// handleEnded answers a packet of a flow that has ended.
func (t *target) handleEnded(key flowKey, p *packet) {
	switch {
	case p.has(flagRST):
	case p.has(flagFIN):
		t.send(encode(&packet{src: key.public, dst: key.requester, flags: flagACK, seq: p.ack, ack: p.seq + uint32(len(p.data)) + 1}))
	case len(p.data) > 0:
		t.resets[key] = true
		t.record.line("target %s resets %s, which has ended", t.id, key)
		t.send(encode(&packet{src: key.public, dst: key.requester, flags: flagRST, seq: p.ack}))
	}
}

func (t *target) handleFlow(f *servedFlow, p *packet) {
	if !f.open {
		f.open = true
		t.opened[f.key] = time.Now()
		t.record.line("target %s has %s open", t.id, f.key)
	}
	if f.unacked != nil && int32(p.ack-f.unackedEnd) >= 0 {
		f.unacked = nil
	}
	switch {
	case p.has(flagRST):
		t.end(f)
	case p.has(flagFIN):
		t.end(f)
		t.sendOn(f, &packet{flags: flagFIN | flagACK, seq: f.ownSeq, ack: p.seq + uint32(len(p.data)) + 1})
	case len(p.data) == 0:
	case p.seq == f.nextSeq:
		f.nextSeq += uint32(len(p.data))
		t.run(f, string(p.data))
	}
}

func (t *target) end(f *servedFlow) {
	f.unacked = nil
	delete(t.flows, f.key)
	t.ended[f.key] = time.Now()
}

// run runs a request and answers it.
func (t *target) run(f *servedFlow, request string) {
	id := headerOf(request, "X-Request-Id")
	t.ran[id] = time.Now()
	t.record.line("target %s runs %s on %s", t.id, id, f.key)
	time.AfterFunc(t.work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.flows[f.key] != f {
			return
		}
		body := fmt.Sprintf("answer to %s", id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", t.id, len(body), body)
		f.unacked = &packet{flags: flagACK, seq: f.ownSeq, ack: f.nextSeq, data: []byte(answer)}
		f.ownSeq += uint32(len(answer))
		f.unackedEnd, f.retries = f.ownSeq, 0
		t.sendOn(f, f.unacked)
		t.retry(f, f.unacked, firstRetry)
		if t.draining {
			t.sendOn(f, &packet{flags: flagFIN | flagACK, seq: f.ownSeq, ack: f.nextSeq})
			t.end(f)
		}
	})
}

// retry sends a packet again until it is acknowledged.
func (t *target) retry(f *servedFlow, p *packet, after time.Duration) {
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if f.unacked != p || f.retries >= maxRetries {
			return
		}
		f.retries++
		t.sendOn(f, p)
		t.retry(f, p, min(2*after, lastRetry))
	})
}

func (t *target) sendOn(f *servedFlow, p *packet) {
	p.src, p.dst = f.key.public, f.key.requester
	t.send(encode(p))
}

// send sends a packet to the agent, which forwards it.
func (t *target) send(b []byte) {
	// A lost packet is sent again.
	_, _ = t.conn.WriteToUDP(b, t.outbound)
}

// headerOf returns a header of a request or response, empty without one.
func headerOf(message, name string) string {
	for _, line := range strings.Split(message, "\r\n") {
		if value, found := strings.CutPrefix(line, name+": "); found {
			return value
		}
	}
	return ""
}
