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

// actingMessage is the log message of a subscriber that goes to a version.
const actingMessage = "configuration version in use"

// SegmentPattern matches the segments of a log.
const SegmentPattern = "*.wal"

// ActiveVersions returns the versions that the process has acted on, in order.
func (p *Process) ActiveVersions() []uint64 {
	var versions []uint64
	for _, line := range p.log.find(actingMessage) {
		versions = append(versions, line.Version)
	}
	return versions
}

// Client returns a client of the operators' API at these addresses, or at
// those of all control hosts if none is named.
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

// OperatorRelay puts a relay in front of the host's operator address.
func (h *Control) OperatorRelay() *faultproxy.TCPRelay {
	c := h.cluster
	c.t.Helper()
	relay, err := faultproxy.NewTCPRelay(netip.AddrPortFrom(c.ip, 0), h.Operator)
	c.must(err)
	c.t.Cleanup(relay.Close)
	return relay
}

// ConfigLogBytes returns how much log of the configuration the host has written.
func (h *Control) ConfigLogBytes() int64 {
	c := h.cluster
	c.t.Helper()
	var sum int64
	for _, path := range h.ConfigFiles(SegmentPattern) {
		info, err := os.Stat(path)
		if os.IsNotExist(err) {
			continue // removed behind a snapshot
		}
		c.must(err)
		sum += info.Size()
	}
	return sum
}

// Status asks this host for its view of itself; nil if it does not answer.
func (h *Control) Status() *operator.Status {
	h.cluster.t.Helper()
	for _, s := range h.cluster.Status() {
		if s.Host == h.name {
			return s
		}
	}
	return nil
}

// LogCount returns how many log lines have the message.
func (p *Process) LogCount(message string) int { return p.log.count(message) }

// Output returns all that the process has written.
func (p *Process) Output() string { return p.log.text() }

// LimitFileSize lets every write of the process that would make a file longer
// than this fail, as on a file system that is full.
func (p *Process) LimitFileSize(bytes int64) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: uint64(bytes), Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		p.t.Fatalf("limit the file size of %s: %v", p.Name, err)
	}
}

// ConfigFiles returns the paths of the files in the data folder of the configuration
// that match the pattern.
func (h *Control) ConfigFiles(pattern string) []string {
	c := h.cluster
	c.t.Helper()
	paths, err := filepath.Glob(filepath.Join(h.settings.Replica.DataFolder, configGroup, pattern))
	c.must(err)
	return paths
}
