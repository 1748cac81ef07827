package processtest

import (
	"net/netip"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// activeVersionMessage is the log message of a subscriber that activates a
// version.
const activeVersionMessage = "configuration version in use"

// SegmentPattern matches the segment files of a replicated log.
const SegmentPattern = "*.wal"

// ActiveVersions returns the versions that the process has activated, in order.
func (p *Process) ActiveVersions() []uint64 {
	var versions []uint64
	for _, line := range p.log.linesWith(activeVersionMessage) {
		versions = append(versions, line.Version)
	}
	return versions
}

// Client returns a client of the operators' API at the given addresses, or at
// those of all control hosts if none is given.
func (c *Cluster) Client(control ...netip.AddrPort) *operator.Client {
	c.t.Helper()
	creds, err := keys.Load(c.operator)
	c.must(err)
	var addrs []string
	for _, host := range c.controls {
		addrs = append(addrs, host.Operator.String())
	}
	if len(control) > 0 {
		addrs = nil
		for _, addr := range control {
			addrs = append(addrs, addr.String())
		}
	}
	client := operator.NewClient(addrs, creds)
	c.t.Cleanup(client.Close)
	return client
}

// OperatorRelay starts a relay in front of the host's operator address.
func (h *Control) OperatorRelay() *faultproxy.TCPRelay {
	c := h.cluster
	c.t.Helper()
	relay, err := faultproxy.NewTCPRelay(netip.AddrPortFrom(c.ip, 0), h.Operator)
	c.must(err)
	c.t.Cleanup(relay.Close)
	return relay
}

// ConfigLogBytes returns the size of the host's configuration log.
func (h *Control) ConfigLogBytes() int64 {
	c := h.cluster
	c.t.Helper()
	var total int64
	for _, path := range h.ConfigFiles(SegmentPattern) {
		info, err := os.Stat(path)
		if os.IsNotExist(err) {
			continue // removed after a snapshot
		}
		c.must(err)
		total += info.Size()
	}
	return total
}

// Status returns the status of this host, or nil if it does not respond.
func (h *Control) Status() *operator.Status {
	h.cluster.t.Helper()
	for _, s := range h.cluster.Status() {
		if s.Host == h.name {
			return s
		}
	}
	return nil
}

// LogCount returns the number of log lines with the message.
func (p *Process) LogCount(message string) int { return p.log.count(message) }

// Output returns the complete output of the process.
func (p *Process) Output() string { return p.log.output() }

// LimitFileSize makes writes fail that extend a file beyond the limit, as on a
// full file system.
func (p *Process) LimitFileSize(bytes int64) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: uint64(bytes), Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		p.t.Fatalf("limit the file size of %s: %v", p.Name, err)
	}
}

// ConfigFiles returns the paths of the files in the data directory of the
// configuration group that match the pattern.
func (h *Control) ConfigFiles(pattern string) []string {
	c := h.cluster
	c.t.Helper()
	paths, err := filepath.Glob(filepath.Join(h.settings.Replica.DataFolder, configGroup, pattern))
	c.must(err)
	return paths
}
