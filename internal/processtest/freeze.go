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

// Freeze stops the process (SIGSTOP) until Thaw. It returns once all threads are
// stopped.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	Eventually(p.t, p.Name+" is stopped", func() bool { return !p.Running() || p.isStopped() })
}

// isStopped reports whether all threads of the process are stopped.
func (p *Process) isStopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		// The state follows the name, which is in parentheses.
		state := stat[bytes.LastIndexByte(stat, ')')+1:]
		if err != nil || !bytes.HasPrefix(state, []byte(" T")) {
			return false
		}
	}
	return true
}

// ReceiveQueueBytes returns the bytes queued at the frame socket of the latest
// agent, including the kernel's overhead.
func (t *Target) ReceiveQueueBytes() uint64 {
	c := t.service.cluster
	c.t.Helper()
	table, err := os.ReadFile("/proc/net/udp")
	c.must(err)
	for line := range strings.Lines(string(table)) {
		// Number, local address, remote address, state, tx_queue:rx_queue.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != procNetAddress(t.FrameAddr) {
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

// procNetAddress formats an IPv4 address and port as /proc/net does on a
// little-endian machine.
func procNetAddress(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
