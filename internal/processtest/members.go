package processtest

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// configGroup is the name of the replicated log of the configuration.
const configGroup = "config"

// States of a replica in its group.
const (
	leads   = "leads"
	follows = "follows"
)

// Leader waits until one control host leads the configuration and returns it.
func (c *Cluster) Leader() *Control {
	c.t.Helper()
	return c.leaderOf(configGroup)
}

func (c *Cluster) leaderOf(name string) *Control {
	c.t.Helper()
	var leader *Control
	Eventually(c.t, "a control host leads "+name, func() bool {
		leader = nil
		for _, host := range c.Status() {
			for _, group := range host.Groups {
				if group.Group == name && group.State == leads {
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

// Others returns the control hosts besides this one.
func (h *Control) Others() []*Control {
	all := slices.Clone(h.cluster.controls)
	return slices.DeleteFunc(all, func(o *Control) bool { return o == h })
}

// learns tells whether the host follows all groups and has a vote in none.
func (h *Control) learns() bool {
	status := h.Status()
	if status == nil {
		return false
	}
	for _, group := range status.Groups {
		learner := slices.ContainsFunc(group.Members, func(m operator.MemberStatus) bool {
			return m.Name == h.name && m.Learner
		})
		if !learner || group.State != follows {
			return false
		}
	}
	return len(status.Groups) > 0
}

// RemoveDataDir removes the data folder of a host whose process has ended.
func (h *Control) RemoveDataDir() {
	h.cluster.t.Helper()
	h.cluster.must(os.RemoveAll(h.settings.Replica.DataFolder))
}

// Replace takes the host's former replicas out of all groups and gives its
// new ones a vote, by the command line. The host's process runs on an empty
// data folder.
func (h *Control) Replace() {
	h.cluster.t.Helper()
	h.Remove()
	h.Join()
}

// Remove takes the host's replicas out of all groups.
func (h *Control) Remove() {
	h.cluster.t.Helper()
	h.cluster.member("remove", h.name)
}

// Join gives the host's replicas a vote in all groups.
func (h *Control) Join() {
	c := h.cluster
	c.t.Helper()
	c.member("add", h.peerAddress().String())
	c.member("promote", h.name)
}

// JoinUntil asks for the host to be added until it logs the message.
func (h *Control) JoinUntil(message string) {
	c := h.cluster
	c.t.Helper()
	Eventually(c.t, h.name+" says "+message, func() bool {
		c.run(append([]string{"replica", "add", h.peerAddress().String()}, c.operatorFlags(nil)...))
		return strings.Contains(h.Output(), message)
	})
}

// member changes the members until the change is made; a change that could not
// be made yet is safe to repeat.
func (c *Cluster) member(change, argument string) {
	c.t.Helper()
	var output []byte
	args := append([]string{"replica", change, argument}, c.operatorFlags(nil)...)
	Eventually(c.t, fmt.Sprintf("replica %s %s", change, argument), func() bool {
		stdout, stderr, status := c.run(args)
		output = append(stdout, stderr...)
		return status == 0
	})
	c.t.Logf("replica %s %s: %s", change, argument, output)
}

// SubmitUntilKnown submits a patch under one identifier until its outcome is known.
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
