package processtest

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Freeze stops the process (SIGSTOP) until Thaw. When it returns, no thread of
// it runs any more.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	Eventually(p.t, p.Name+" stands still", func() bool { return !p.Running() || p.stopped() })
}

// stopped tells whether each thread of the process is stopped.
func (p *Process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		// The state comes after the name, which stands in brackets.
		state := stat[bytes.LastIndexByte(stat, ')')+1:]
		if err != nil || !bytes.HasPrefix(state, []byte(" T")) {
			return false
		}
	}
	return true
}

// ReceiveQueueBytes returns how much (in bytes, as the system counts it) waits in the
// buffer of the newest agent's frame socket.
func (t *Target) ReceiveQueueBytes() uint64 {
	c := t.service.cluster
	c.t.Helper()
	table, err := os.ReadFile("/proc/net/udp")
	c.must(err)
	for line := range strings.Lines(string(table)) {
		// Number, local address, remote address, state, tx_queue:rx_queue.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != procAddress(t.FrameAddr) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseUint(queue, 16, 64)
		c.must(err)
		return bytes
	}
	c.t.Fatalf("no frame socket of %s", t.Name)
	return 0
}

// procAddress writes an IPv4 address and port as the tables of /proc/net do, on
// a little-endian machine.
func procAddress(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
