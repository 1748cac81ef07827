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

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.What)
}

// Rules that the checker verifies.
const (
	RuleResponse    = "an answer belongs to its request and comes from the flow's target"
	RuleRoute       = "a flow is served by a service that some version allows"
	RuleApplied     = "an acknowledged version is in force within its bound"
	RuleNoReset     = "an open flow whose target lives is not reset"
	RuleDrain       = "nothing opens at a target once its leaving is acknowledged"
	RuleRead        = "no read answers with less than what was acknowledged before"
	RuleOneContent  = "a version has one content"
	RuleInvalid     = "what is invalid is refused"
	RuleProcessExit = "no process ends by itself"
	RuleRecovery    = "service is back within its bound"
	RuleEvacuated   = "nothing opens in a zone whose evacuation is acknowledged"
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
func (t *Checker) AddViolation(rule, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolationLocked(rule, format, args...)
}

func (t *Checker) addViolationLocked(rule, format string, args ...any) {
	t.violations = append(t.violations, Violation{At: time.Since(t.start), Rule: rule, What: fmt.Sprintf(format, args...)})
}

// Violations returns the violations so far.
func (t *Checker) Violations() []Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Violation{}, t.violations...)
}

// RecordSent records that a version with this service for changingRoute is sent. Several
// operators may send one version.
func (t *Checker) RecordSent(version int, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = max(t.sent, version)
	t.allowed[version] = append(t.allowed[version], service)
}

// RecordAcked records the acknowledgement of a version.
func (t *Checker) RecordAcked(version int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.newest(now) {
		t.acks = append(t.acks, ack{version: version, at: now})
	}
}

// NewestAcked returns the newest version acknowledged by a time.
func (t *Checker) NewestAcked(at time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest(at)
}

func (t *Checker) newest(at time.Time) int {
	newest := 0
	for _, a := range t.acks {
		if !a.at.After(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// CheckRead checks the result of a read. minVersion is the newest version that was
// acknowledged when the read started.
func (t *Checker) CheckRead(host string, minVersion, version int, content string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < minVersion {
		t.addViolationLocked(RuleRead, "%s answers with version %d, %d was acknowledged before", host, version, minVersion)
	}
	if version > t.sent {
		t.addViolationLocked(RuleRead, "%s answers with version %d, which nobody sent", host, version)
	}
	if before, known := t.content[version]; known && before != content {
		t.addViolationLocked(RuleOneContent, "version %d was %q and is %q at %s", version, before, content, host)
		return
	}
	t.content[version] = content
}

// CheckService checks the service of a new flow to changingRoute.
func (t *Checker) CheckService(service string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allows(service, 0) {
		t.addViolationLocked(RuleRoute, "served by %s, which no version allows", service)
		return
	}
	minVersion := t.newest(sentAt.Add(-applyTimeout - t.timeoutMargin))
	if t.allows(service, minVersion) || t.anyDisturbedSince(sentAt.Add(-disturbanceWindow)) {
		return
	}
	t.addViolationLocked(RuleApplied, "served by %s, which no version from %d on allows", service, minVersion)
}

// AllowsService reports whether a version from minVersion on has this service for
// changingRoute.
func (t *Checker) AllowsService(service string, minVersion int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allows(service, minVersion)
}

// allows is AllowsService with the lock held.
func (t *Checker) allows(service string, minVersion int) bool {
	for version, services := range t.allowed {
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
func (t *Checker) RecordEvacuation(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated[zone] = time.Now()
}

// RecordEvacuationEnd records that the evacuation of a zone is about to end.
func (t *Checker) RecordEvacuationEnd(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.evacuated, zone)
}

// IsEvacuated reports whether a zone is evacuated.
func (t *Checker) IsEvacuated(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, evacuated := t.evacuated[zone]
	return evacuated
}

// CheckZone checks the zone of a new flow.
func (t *Checker) CheckZone(zone string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	acked, evacuated := t.evacuated[zone]
	if !evacuated || sentAt.Before(acked.Add(applyTimeout+t.timeoutMargin)) || t.anyDisturbedSince(sentAt.Add(-disturbanceWindow)) {
		return
	}
	t.addViolationLocked(RuleEvacuated, "a flow was opened in %s %s after the acknowledgement", zone, sentAt.Sub(acked))
}

// RecordInstanceEnd records that a target instance ends.
func (t *Checker) RecordInstanceEnd(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[instance] = true
}

// RecordDisturbance records a fault on a host that lasts until the time given.
func (t *Checker) RecordDisturbance(host string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.disturbed[host]) {
		t.disturbed[host] = until
	}
}

// anyDisturbedSince reports whether any host was disturbed after a time. The lock must be
// held.
func (t *Checker) anyDisturbedSince(since time.Time) bool {
	for _, until := range t.disturbed {
		if until.After(since) {
			return true
		}
	}
	return false
}

// CheckReset checks the reset of an open flow. It is valid if the target instance has
// ended or the host of its agent was disturbed recently.
func (t *Checker) CheckReset(instance, host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended[instance] || t.disturbed[host].After(now.Add(-disturbanceWindow)) {
		return
	}
	t.addViolationLocked(RuleNoReset, "flow at %s on %s was reset", instance, host)
}
