package processtest

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// configGroup is the name of the configuration group.
const configGroup = "config"

// States of a replica in its group.
const (
	stateLeader   = "leads"
	stateFollower = "follows"
)

// Leader waits until a control host leads the configuration group and returns it.
func (c *Cluster) Leader() *Control {
	c.t.Helper()
	return c.waitLeader(configGroup)
}

func (c *Cluster) waitLeader(name string) *Control {
	c.t.Helper()
	var leader *Control
	Eventually(c.t, "a control host leads "+name, func() bool {
		leader = nil
		for _, host := range c.Status() {
			for _, group := range host.Groups {
				if group.Group == name && group.State == stateLeader {
					leader = c.controlNamed(host.Host)
				}
			}
		}
		return leader != nil
	})
	return leader
}

func (c *Cluster) controlNamed(name string) *Control {
	for _, host := range c.controls {
		if host.name == name {
			return host
		}
	}
	return nil
}

// Others returns the other control hosts.
func (h *Control) Others() []*Control {
	all := slices.Clone(h.cluster.controls)
	return slices.DeleteFunc(all, func(o *Control) bool { return o == h })
}

// isLearner reports whether the host is a learner and follower in all its groups.
func (h *Control) isLearner() bool {
	status := h.Status()
	if status == nil {
		return false
	}
	for _, group := range status.Groups {
		learner := slices.ContainsFunc(group.Members, func(m operator.MemberStatus) bool {
			return m.Name == h.name && m.Learner
		})
		if !learner || group.State != stateFollower {
			return false
		}
	}
	return len(status.Groups) > 0
}

// RemoveDataDir removes the data directory of a stopped host.
func (h *Control) RemoveDataDir() {
	h.cluster.t.Helper()
	h.cluster.must(os.RemoveAll(h.settings.Replica.DataFolder))
}

// Replace removes the host's previous replicas from all groups and adds its new
// ones as voters. The process must run with an empty data directory.
func (h *Control) Replace() {
	h.cluster.t.Helper()
	h.Remove()
	h.Join()
}

// Remove removes the host's replicas from all groups.
func (h *Control) Remove() {
	h.cluster.t.Helper()
	h.cluster.changeMembers("remove", h.name)
}

// Join adds the host's replicas to all groups as voters.
func (h *Control) Join() {
	c := h.cluster
	c.t.Helper()
	c.changeMembers("add", h.peerAddress().String())
	c.changeMembers("promote", h.name)
}

// JoinUntil requests to add the host until it logs the message.
func (h *Control) JoinUntil(message string) {
	c := h.cluster
	c.t.Helper()
	Eventually(c.t, h.name+" logs "+message, func() bool {
		c.runCommand(append([]string{"replica", "add", h.peerAddress().String()}, c.operatorFlags(nil)...))
		return strings.Contains(h.Output(), message)
	})
}

// changeMembers repeats a membership change until it succeeds. Changes are
// idempotent.
func (c *Cluster) changeMembers(change, argument string) {
	c.t.Helper()
	var output []byte
	args := append([]string{"replica", change, argument}, c.operatorFlags(nil)...)
	Eventually(c.t, fmt.Sprintf("replica %s %s", change, argument), func() bool {
		stdout, stderr, status := c.runCommand(args)
		output = append(stdout, stderr...)
		return status == 0
	})
	c.t.Logf("replica %s %s: %s", change, argument, output)
}

// SubmitUntilKnown submits a patch with the same id until its outcome is known.
func (c *Cluster) SubmitUntilKnown(base uint64, id string, sections ...string) Outcome {
	c.t.Helper()
	var o Outcome
	Eventually(c.t, "the outcome of "+id+" is known", func() bool {
		o = c.Submit(base, id, sections)
		return o.Verdict != Unknown && o.Verdict != NotApplied
	})
	if o.Verdict == Accepted && o.Version > c.version {
		c.version = o.Version
	}
	return o
}
