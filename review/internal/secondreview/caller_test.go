//go:build review

package secondreview

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"eelgrasswharf.example/eelgrasswharf/flow"
	"eelgrasswharf.example/eelgrasswharf/platform"
	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

// Errors of a flow.
var (
	errReset   = errors.New("the flow was reset")
	errTimeout = errors.New("no answer in time")
)

const (
	callerPort = 21001
	// resetWindow is how far the sequence number of a reset of the system may be from the
	// caller's last acknowledgement.
	resetWindow = 76_800
	firstRetry  = 200 * time.Millisecond
	lastRetry   = 1600 * time.Millisecond
)

// openings are the pauses after each copy of an opening.
var openings = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// received is a packet that a caller has received.
type received struct {
	flow.Packet
	data   string
	sumIs0 bool
}

// caller opens flows from one loopback address.
type caller struct {
	run    *run
	router *standin.Router
	conn   *net.UDPConn
	ip     netip.Addr
	done   sync.WaitGroup
	// quiet: what is sent and answered is written to the record only.
	quiet bool

	mu    sync.Mutex
	port  uint16
	flows map[flow.Key]chan received
}

func newCaller(r *run, router *standin.Router, ip netip.Addr) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, callerPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{run: r, router: router, conn: conn, ip: ip, port: 40_000, flows: map[flow.Key]chan received{}}
	c.done.Go(c.receive)
	return c, nil
}

// note writes a line to the record, and to standard output unless the caller is quiet.
func (c *caller) note(format string, args ...any) {
	if c.quiet {
		c.run.recordLine(format, args...)
		return
	}
	c.run.note(format, args...)
}

func (c *caller) close() {
	_ = c.conn.Close()
	c.done.Wait()
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier packet
		}
		p, err := platform.PacketCodec().FromTarget(buffer[:n])
		if err != nil {
			continue
		}
		in := received{Packet: p, data: string(platform.PacketData(buffer[:n])), sumIs0: [4]byte(buffer[:4]) == [4]byte{}}
		c.mu.Lock()
		ch := c.flows[p.Key]
		c.mu.Unlock()
		select {
		case ch <- in:
		default: // unknown flow or full buffer
		}
	}
}

// entryOf returns the entry host that the router selects for a flow: the one with the highest
// hash among those in rotation.
func (c *caller) entryOf(key flow.Key) netip.Addr {
	var best netip.Addr
	var highest uint64
	for _, ip := range c.router.InRotation() {
		b := ip.As4()
		h := key.Hash(uint64(b[1])<<32 | uint64(b[2])<<16 | uint64(b[3]))
		if !best.IsValid() || h > highest {
			best, highest = ip, h
		}
	}
	return best
}

// openFlow is an open flow of a caller.
type openFlow struct {
	name   string
	caller *caller
	key    flow.Key
	in     chan received
	seq    uint32
	ack    uint32
	// answer is the last answer: the service, the instance of the target and the request.
	answer string
}

// open opens a flow. Errors: errReset, errTimeout.
func (c *caller) open(name string, public netip.AddrPort) (*openFlow, error) {
	c.mu.Lock()
	c.port++
	f := &openFlow{
		name:   name,
		caller: c,
		key:    flow.Key{Caller: flow.EndpointOf(netip.AddrPortFrom(c.ip, c.port)), Public: flow.EndpointOf(public)},
		in:     make(chan received, 64),
		seq:    rand.Uint32(),
	}
	c.flows[f.key] = f.in
	c.mu.Unlock()
	for copies, pause := range openings {
		f.send(flow.Packet{Flags: flow.SYN, Seq: f.seq, Ack: uint32(copies)}, "")
		p, ok := f.receive(pause, func(p received) bool { return p.Flags.Has(flow.SYN|flow.ACK) || p.Flags.Has(flow.RST) })
		if !ok {
			continue
		}
		if p.Flags.Has(flow.RST) {
			return nil, errReset
		}
		f.seq++
		f.ack = p.Seq + 1
		f.send(flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack}, "")
		c.note("flow %s opened by %s to %s", name, f.key.Caller, f.key.Public)
		return f, nil
	}
	return nil, errTimeout
}

// request sends a request on the flow and waits for its answer. A reset counts if its sequence
// number is one that an open flow accepts. Errors: errReset, errTimeout.
func (f *openFlow) request(id string, limit time.Duration) error {
	c := f.caller
	c.note("flow %s: request %s sent", f.name, id)
	began := time.Now()
	for pause := firstRetry; time.Since(began) < limit; pause = min(2*pause, lastRetry) {
		f.send(flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack}, id)
		p, ok := f.receive(min(pause, limit-time.Since(began)), func(p received) bool {
			return f.resets(p) || p.Length > 0 && p.Seq == f.ack
		})
		if !ok {
			continue
		}
		if f.resets(p) {
			c.run.note("flow %s: request %s got a reset after %.3f s (sum 0: %t, so one of the system's own)",
				f.name, id, time.Since(began).Seconds(), p.sumIs0)
			return errReset
		}
		f.seq += uint32(len(id))
		f.ack += uint32(p.Length)
		f.answer = p.data
		f.send(flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack}, "")
		c.note("flow %s: request %s answered after %.3f s: %q", f.name, id, time.Since(began).Seconds(), p.data)
		return nil
	}
	c.run.note("flow %s: request %s got no answer", f.name, id)
	return errTimeout
}

// resets reports whether a packet is a reset that the open flow accepts.
func (f *openFlow) resets(p received) bool {
	distance := int32(p.Seq - f.ack)
	return p.Flags.Has(flow.RST) && max(distance, -distance) <= resetWindow
}

func (f *openFlow) send(p flow.Packet, data string) {
	b := platform.AppendPacket(nil, f.key.Caller, f.key.Public, p, []byte(data))
	to := standin.PacketAddress(f.caller.entryOf(f.key))
	// A lost packet is sent again.
	_, _ = f.caller.conn.WriteToUDPAddrPort(b, to)
}

func (f *openFlow) receive(timeout time.Duration, match func(received) bool) (received, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if match(p) {
				return p, true
			}
		case <-timer.C:
			return received{}, false
		}
	}
}

// describe returns the text of a result for the record.
func describe(err error) string {
	if err == nil {
		return "answered"
	}
	return fmt.Sprint(err)
}

// targetAddress returns the IP address of the target that has answered the flow.
func (f *openFlow) targetAddress() string {
	_, instance, _ := strings.Cut(f.answer, " i-")
	address, _, _ := strings.Cut(instance, "/")
	return address
}
