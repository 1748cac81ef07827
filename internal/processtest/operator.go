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

// Verdicts of the command line about a patch.
const (
	Accepted    = "accepted"
	RefusedBase = "refused-base"
	Unknown     = "unknown"
	// NotApplied is no verdict of the command line: it printed none and said
	// that nothing was submitted.
	NotApplied = "not-done"
)

// Exit statuses of the command line.
const (
	exitFailure = 1
	exitUnknown = 4
)

// Outcome is what the command line tells about a patch.
type Outcome struct {
	Verdict      string `json:"verdict"`
	Version      uint64 `json:"version"`
	VersionPatch string `json:"version_patch"`
	// Next is the command that tells an outcome that is not known.
	Next     string `json:"next"`
	Findings []struct {
		Place string `json:"place"`
		Text  string `json:"text"`
	} `json:"findings"`
}

// Submit submits the sections as a patch, by the command line, to the control
// hosts with these operator addresses, or to all of them if none is named.
func (c *Cluster) Submit(base uint64, id string, sections []string, control ...netip.AddrPort) Outcome {
	c.t.Helper()
	args := append(c.SubmitArgs(base, id, sections...), "--json")
	return c.outcome(append(args, c.operatorFlags(control)...))
}

// Show asks what became of a patch.
func (c *Cluster) Show(id string, control ...netip.AddrPort) Outcome {
	c.t.Helper()
	return c.outcome(append([]string{"patch", "show", "--json", id}, c.operatorFlags(control)...))
}

// outcome runs a command that tells the outcome of a patch. It is safe for
// concurrent use.
func (c *Cluster) outcome(args []string) Outcome {
	stdout, stderr, status := c.run(args)
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

func (c *Cluster) run(args []string) (stdout, stderr []byte, status int) {
	var out, problems bytes.Buffer
	cmd := exec.Command(Binary(c.t), args...)
	cmd.Stdout = &out
	cmd.Stderr = &problems
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Errorf("%v: %v", args, err)
	}
	return out.Bytes(), problems.Bytes(), cmd.ProcessState.ExitCode()
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

// Patch submits the sections against the newest version, again while no control
// host leads, and fails the test unless they become the next one, which it
// returns.
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

// HostStatus is what one control host says of itself.
type HostStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status"`
}

// Status asks each control host for its view; those that do not answer are
// left out.
func (c *Cluster) Status() []*operator.Status {
	c.t.Helper()
	stdout, _, _ := c.run(append([]string{"status", "--json"}, c.operatorFlags(nil)...))
	var hosts []HostStatus
	c.must(json.Unmarshal(stdout, &hosts))
	var all []*operator.Status
	for _, h := range hosts {
		if h.Status != nil {
			all = append(all, h.Status)
		}
	}
	return all
}

// WaitActive waits until the named entry hosts and agents act on the version.
func (c *Cluster) WaitActive(version uint64, names ...string) {
	c.t.Helper()
	Eventually(c.t, fmt.Sprintf("version %d is in force on %v", version, names), func() bool {
		acting := make(map[string]bool)
		for _, host := range c.Status() {
			for _, s := range host.Subscribers {
				acting[s.Name] = acting[s.Name] || s.Version >= version
			}
		}
		for _, name := range names {
			if !acting[name] {
				return false
			}
		}
		return true
	})
}
