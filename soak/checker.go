package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyTimeout bounds the time from the acknowledgement of a version until it is
	// active.
	applyTimeout = 6 * time.Second
	// disturbanceWindow is the time after a fault in which guarantees for connected hosts
	// are not checked.
	disturbanceWindow = 6 * time.Second
)

// Violation is an observed violation of a rule.
type Violation struct {
	At   time.Duration
	Rule string
	What string
}

// String returns the violation as one line of output.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.What)
}

// Rules that the checker verifies.
const (
	RuleResponse    = "a response belongs to its request and comes from the flow's target"
	RuleRoute       = "a flow is served by a service that some version allows"
	RuleApplied     = "an acknowledged version is active within its bound"
	RuleNoReset     = "an open flow is not reset while its target instance runs"
	RuleDrain       = "no flow opens at a target once its draining is acknowledged"
	RuleRead        = "no read returns an older version than acknowledged before"
	RuleOneContent  = "a version has one content"
	RuleInvalid     = "a configuration is refused if and only if it is invalid"
	RuleProcessExit = "no process exits unexpectedly"
	RuleRecovery    = "full service recovers within its bound"
	RuleEvacuated   = "no flow opens in a zone once its evacuation is acknowledged"
)

// Checker records acknowledged changes and injected faults, and checks observations
// against them. All methods may be called concurrently.
type Checker struct {
	start time.Time
	// timeoutMargin is added to applyTimeout.
	timeoutMargin time.Duration

	mu         sync.Mutex
	violations []Violation
	// acks lists, in order, the time at which each new highest version was acknowledged.
	// sent is the highest version sent.
	acks []ack
	sent int
	// content is the content read of each version.
	content map[int]string
	// allowed maps each version sent to its services for changingRoute.
	allowed map[int][]string
	// ended contains the target instances that have ended, disturbed the end of the last
	// fault on each host.
	ended     map[string]bool
	disturbed map[string]time.Time
	// evacuated maps each evacuated zone to the time of the acknowledgement.
	evacuated map[string]time.Time
}

type ack struct {
	version int
	at      time.Time
}

// NewChecker returns an empty checker. The margin is added to applyTimeout.
func NewChecker(start time.Time, timeoutMargin time.Duration) *Checker {
	return &Checker{
		start: start, timeoutMargin: timeoutMargin, content: map[int]string{}, allowed: map[int][]string{},
		ended: map[string]bool{}, disturbed: map[string]time.Time{}, evacuated: map[string]time.Time{},
	}
}

// AddViolation records a violation.
func (c *Checker) AddViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(rule, format, args...)
}

func (c *Checker) addViolationLocked(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: time.Since(c.start), Rule: rule, What: fmt.Sprintf(format, args...)})
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation{}, c.violations...)
}

// RecordSent records that a version with this service for changingRoute is sent. Several
// operators may send one version.
func (c *Checker) RecordSent(version int, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = max(c.sent, version)
	c.allowed[version] = append(c.allowed[version], service)
}

// RecordAcked records the acknowledgement of a version.
func (c *Checker) RecordAcked(version int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.newest(now) {
		c.acks = append(c.acks, ack{version: version, at: now})
	}
}

// NewestAcked returns the newest version acknowledged by a time.
func (c *Checker) NewestAcked(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest(at)
}

func (c *Checker) newest(at time.Time) int {
	newest := 0
	for _, a := range c.acks {
		if !a.at.After(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// CheckRead checks the result of a read. minVersion is the newest version that was
// acknowledged when the read started.
func (c *Checker) CheckRead(host string, minVersion, version int, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < minVersion {
		c.addViolationLocked(RuleRead, "%s returned version %d, %d was acknowledged before", host, version, minVersion)
	}
	if version > c.sent {
		c.addViolationLocked(RuleRead, "%s returned version %d, which was never sent", host, version)
	}
	if before, known := c.content[version]; known && before != content {
		c.addViolationLocked(RuleOneContent, "version %d was %q and is %q at %s", version, before, content, host)
		return
	}
	c.content[version] = content
}

// CheckService checks the service of a new flow to changingRoute.
func (c *Checker) CheckService(service string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(service, 0) {
		c.addViolationLocked(RuleRoute, "served by %s, which no version allows", service)
		return
	}
	minVersion := c.newest(sentAt.Add(-applyTimeout - c.timeoutMargin))
	if c.allows(service, minVersion) || c.anyDisturbedSince(sentAt.Add(-disturbanceWindow)) {
		return
	}
	c.addViolationLocked(RuleApplied, "served by %s, which no version from %d on allows", service, minVersion)
}

// AllowsService reports whether a version from minVersion on has this service for
// changingRoute.
func (c *Checker) AllowsService(service string, minVersion int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(service, minVersion)
}

// allows is AllowsService with the lock held.
func (c *Checker) allows(service string, minVersion int) bool {
	for version, services := range c.allowed {
		if version < minVersion {
			continue
		}
		for _, s := range services {
			if s == service {
				return true
			}
		}
	}
	return false
}

// RecordEvacuation records that the evacuation of a zone was acknowledged.
func (c *Checker) RecordEvacuation(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[zone] = time.Now()
}

// RecordEvacuationEnd records that the evacuation of a zone is about to end.
func (c *Checker) RecordEvacuationEnd(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, zone)
}

// IsEvacuated reports whether a zone is evacuated.
func (c *Checker) IsEvacuated(zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, evacuated := c.evacuated[zone]
	return evacuated
}

// CheckZone checks the zone of a new flow.
func (c *Checker) CheckZone(zone string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	acked, evacuated := c.evacuated[zone]
	if !evacuated || sentAt.Before(acked.Add(applyTimeout+c.timeoutMargin)) || c.anyDisturbedSince(sentAt.Add(-disturbanceWindow)) {
		return
	}
	c.addViolationLocked(RuleEvacuated, "a flow was opened in %s %s after the acknowledgement", zone, sentAt.Sub(acked))
}

// RecordInstanceEnd records that a target instance ends.
func (c *Checker) RecordInstanceEnd(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[instance] = true
}

// RecordDisturbance records a fault on a host that lasts until the time given.
func (c *Checker) RecordDisturbance(host string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disturbed[host]) {
		c.disturbed[host] = until
	}
}

// anyDisturbedSince reports whether any host was disturbed after a time. The lock must be
// held.
func (c *Checker) anyDisturbedSince(since time.Time) bool {
	for _, until := range c.disturbed {
		if until.After(since) {
			return true
		}
	}
	return false
}

// CheckReset checks the reset of an open flow. It is valid if the target instance has
// ended or the host of its agent was disturbed recently. Planned work is no disturbance.
func (c *Checker) CheckReset(instance, host string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended[instance] || c.disturbed[host].After(now.Add(-disturbanceWindow)) {
		return
	}
	c.addViolationLocked(RuleNoReset, "flow at %s on %s was reset", instance, host)
}
