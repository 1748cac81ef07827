package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os/exec"
	"strings"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// Verdicts of a patch.
const (
	Accepted    = "accepted"
	RefusedBase = "refused-base"
	Unknown     = "unknown"
	// NotApplied means that the command failed and printed no verdict: nothing
	// was submitted.
	NotApplied = "not-done"
)

// Exit statuses of the command line.
const (
	exitFailure = 1
	exitUnknown = 4
)

// Outcome is the printed outcome of a patch.
type Outcome struct {
	Verdict      string `json:"verdict"`
	Version      uint64 `json:"version"`
	VersionPatch string `json:"version_patch"`
	// Next is the command that prints an outcome that is still unknown.
	Next     string `json:"next"`
	Findings []struct {
		Place string `json:"place"`
		Text  string `json:"text"`
	} `json:"findings"`
}

// Submit submits the sections as a patch to the given operator addresses, or to
// all control hosts if none is given.
func (c *Cluster) Submit(base uint64, id string, sections []string, control ...netip.AddrPort) Outcome {
	c.t.Helper()
	args := append(c.SubmitArgs(base, id, sections...), "--json")
	return c.outcome(append(args, c.operatorFlags(control)...))
}

// Show returns the outcome of a patch.
func (c *Cluster) Show(id string, control ...netip.AddrPort) Outcome {
	c.t.Helper()
	return c.outcome(append([]string{"patch", "show", "--json", id}, c.operatorFlags(control)...))
}

// outcome runs a command that prints the outcome of a patch. It is safe for
// concurrent use.
func (c *Cluster) outcome(args []string) Outcome {
	stdout, stderr, status := c.runCommand(args)
	var o Outcome
	if status == exitFailure && len(stdout) == 0 {
		return Outcome{Verdict: NotApplied}
	}
	if err := json.Unmarshal(stdout, &o); err != nil {
		c.t.Errorf("%v: exit status %d: %v\n%s%s", args, status, err, stdout, stderr)
	}
	if (o.Verdict == Unknown) != (status == exitUnknown) || (o.Verdict == Accepted) != (status == 0) {
		c.t.Errorf("%v: exit status %d with verdict %q", args, status, o.Verdict)
	}
	return o
}

func (c *Cluster) runCommand(args []string) (stdout, stderr []byte, status int) {
	var out, errOut bytes.Buffer
	cmd := exec.Command(Binary(c.t), args...)
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Errorf("%v: %v", args, err)
	}
	return out.Bytes(), errOut.Bytes(), cmd.ProcessState.ExitCode()
}

func (c *Cluster) operatorFlags(control []netip.AddrPort) []string {
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
	return []string{
		"--control", strings.Join(addrs, ","),
		"--authority", c.operator.Authority,
		"--certificate", c.operator.Certificate,
		"--key", c.operator.PrivateKey,
	}
}

// Patch submits the sections against the latest version and returns the new
// version. It retries while no control host leads, and fails the test unless the
// patch creates the next version.
func (c *Cluster) Patch(sections ...string) uint64 {
	c.t.Helper()
	c.patches++
	id := fmt.Sprintf("patch-%d", c.patches)
	base := c.version
	o := c.SubmitUntilKnown(base, id, sections...)
	if o.Verdict != Accepted || o.Version != base+1 {
		c.t.Fatalf("patch against version %d: %+v", base, o)
	}
	return o.Version
}

// HostStatus is the printed status of a control host.
type HostStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status"`
}

// Status returns the status of each control host that responds.
func (c *Cluster) Status() []*operator.Status {
	c.t.Helper()
	stdout, _, _ := c.runCommand(append([]string{"status", "--json"}, c.operatorFlags(nil)...))
	var hosts []HostStatus
	c.must(json.Unmarshal(stdout, &hosts))
	var statuses []*operator.Status
	for _, h := range hosts {
		if h.Status != nil {
			statuses = append(statuses, h.Status)
		}
	}
	return statuses
}

// WaitActive waits until the named entry hosts and agents use the version or a
// newer one.
func (c *Cluster) WaitActive(version uint64, names ...string) {
	c.t.Helper()
	Eventually(c.t, fmt.Sprintf("version %d is active on %v", version, names), func() bool {
		active := make(map[string]bool)
		for _, host := range c.Status() {
			for _, s := range host.Subscribers {
				active[s.Name] = active[s.Name] || s.Version >= version
			}
		}
		for _, name := range names {
			if !active[name] {
				return false
			}
		}
		return true
	})
}
