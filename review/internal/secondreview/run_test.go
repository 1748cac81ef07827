//go:build review

package secondreview

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	startTimeout = 20 * time.Second
	orderTimeout = 5 * time.Second
	// requestTime is the time limit of a request, stopTime is grace_s.
	requestTime = 3 * time.Second
	stopTime    = 6 * time.Second
	// applyTime is config_apply_ms of the settings of small deployments.
	applyTime = 3 * time.Second
)

// run is one run of a case.
type run struct {
	// trouble is set if the disruption is played.
	trouble bool
	// dir has the settings, disks and logs of the processes.
	dir     string
	wrapper string

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newRun(record string, trouble bool) (*run, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "second-review-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, record: file, began: time.Now()}
	if r.wrapper, err = writeWrapper(dir); err != nil {
		return nil, err
	}
	r.note("disruption played: %t", trouble)
	return r, nil
}

func (r *run) close() {
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// note writes a line with the time since the start to the record and to standard output.
func (r *run) note(format string, args ...any) { fmt.Println(r.recordLine(format, args...)) }

// recordLine writes a line with the time since the start to the record only, and returns it.
func (r *run) recordLine(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
	return line
}

// noteRuns records how many requests each target has run.
func (r *run) noteRuns(targets []*standin.Target) {
	for _, t := range targets {
		r.recordLine("target %s has run %d requests", t.Instance(), t.Served())
	}
}

// writeWrapper writes a program that replaces itself by the command that the deploy file has
// for the role in its second argument. The stand-in starts processes by it.
func writeWrapper(dir string) (string, error) {
	var deploy struct {
		Roles map[string]struct{ Run string }
	}
	if _, err := toml.DecodeFile(filepath.Join("deploy", "system.toml"), &deploy); err != nil {
		return "", err
	}
	root, err := os.Getwd()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "#!/bin/sh\ncd '%s' || exit 1\ncase \"$2\" in\n", root)
	for name, role := range deploy.Roles {
		fmt.Fprintf(&b, "%s) exec %s ;;\n", name, role.Run)
	}
	b.WriteString("esac\nexit 1\n")
	path := filepath.Join(dir, "role")
	return path, os.WriteFile(path, []byte(b.String()), 0o700)
}

// freeAddresses returns loopback addresses at which no process listens at the ports of the
// stand-in.
func freeAddresses(count int) ([]netip.Addr, error) {
	for range 50 {
		base := [4]byte{127, byte(20 + rand.IntN(200)), byte(rand.IntN(250)), 0}
		var out []netip.Addr
		for i := range count {
			base[3] = byte(i + 1)
			out = append(out, netip.AddrFrom4(base))
		}
		if isFree(out[0]) {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func isFree(ip netip.Addr) bool {
	listener, err := net.Listen("tcp", standin.OperatorAddress(ip).String())
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// limits are the limits of a configuration.
type limits struct {
	idleTimeout time.Duration
}

// document encodes a configuration with these limits.
func document(c standin.Config, l limits) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(c.Document(), &fields); err != nil {
		return nil, err
	}
	fields["limits"] = map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
		"idle_timeout_ms": l.idleTimeout.Milliseconds(),
	}
	return json.Marshal(fields)
}

// apply sends a configuration until it is acknowledged.
func (r *run) apply(d *standin.Deployment, c standin.Config, l limits, timeout time.Duration) error {
	body, err := document(c, l)
	if err != nil {
		return err
	}
	if err := d.ReplaceDocument(body, timeout); err != nil {
		return fmt.Errorf("config version %d: %w", c.Version, err)
	}
	r.note("config version %d acknowledged, idle_timeout_ms %d", c.Version, l.idleTimeout.Milliseconds())
	return nil
}

// awaitReady waits until all entry hosts are in rotation.
func awaitReady(d *standin.Deployment) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if d.Router.ReadyCount() == len(d.EntryHosts) {
			return nil
		}
	}
	return fmt.Errorf("%d of %d entry hosts are ready", d.Router.ReadyCount(), len(d.EntryHosts))
}
