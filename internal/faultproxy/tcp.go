package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

const copyBytes = 32 << 10

// TCPRelay relays TCP connections to one host.
type TCPRelay struct {
	listener *net.TCPListener
	host     netip.AddrPort
	workers  conc.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	faults [directions]Faults
	conns  map[net.Conn]struct{}
	closed bool
}

// NewTCPRelay listens on the address and relays to the host. A TCP relay supports only the
// faults Delay and Cut.
func NewTCPRelay(listen, host netip.AddrPort) (*TCPRelay, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &TCPRelay{listener: listener, host: host, conns: make(map[net.Conn]struct{})}
	r.workers.Go(r.accept)
	return r, nil
}

// Addr returns the address that callers dial.
func (r *TCPRelay) Addr() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetFaults sets the faults of one direction, also for open connections.
func (r *TCPRelay) SetFaults(direction Direction, faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[direction] = faults
}

// CloseConnections closes all open connections.
func (r *TCPRelay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

// Close stops the relay and waits for its workers.
func (r *TCPRelay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.CloseConnections()
	r.workers.Wait()
}

func (r *TCPRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.workers.Go(func() { r.serve(conn) })
	}
}

func (r *TCPRelay) serve(callerConn net.Conn) {
	defer callerConn.Close()
	if !r.track(callerConn) {
		return
	}
	defer r.untrack(callerConn)
	hostConn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(r.host))
	if err != nil {
		return
	}
	defer hostConn.Close()
	if !r.track(hostConn) {
		return
	}
	defer r.untrack(hostConn)
	var copies conc.WaitGroup
	copies.Go(func() { r.copy(hostConn, callerConn, ToHost) })
	copies.Go(func() { r.copy(callerConn, hostConn, ToCaller) })
	copies.Wait()
}

// copy copies bytes until one end closes. During a cut it reads and discards them, so that
// the sender sees no error; the connection is unusable afterwards.
func (r *TCPRelay) copy(to, from net.Conn, direction Direction) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		faults := r.faultsFor(direction)
		if n > 0 && !faults.Cut {
			time.Sleep(faults.Delay)
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if errors.Is(err, io.EOF) && !faults.Cut {
			closeWrite(to)
			return
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (r *TCPRelay) faultsFor(direction Direction) Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[direction]
}

func (r *TCPRelay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *TCPRelay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
