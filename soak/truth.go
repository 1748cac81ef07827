package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyBound is how long after its acknowledgement a version is in force: the
	// platform's 3 s, and what a busy machine adds.
	applyBound = 6 * time.Second
	// touchWindow is how long after a fault a promise that holds only for hosts in
	// touch is not checked: the platform's 4 s, and a target's lease of 1.2 s.
	touchWindow = 6 * time.Second
)

// Violation is a promise that was seen broken.
type Violation struct {
	At   time.Duration
	Rule string
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.What)
}

// Rules that are checked.
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

// Checker is what has been acknowledged and done so far, against which all that is seen
// is held. All methods may be called concurrently.
type Checker struct {
	began time.Time
	// patience is added to the bound after which a version is in force.
	patience time.Duration

	mu         sync.Mutex
	violations []Violation
	// acks has, in order, when each newest version was acknowledged. sent is the
	// highest version sent.
	acks []ack
	sent int
	// content is what was read of each version.
	content map[int]string
	// allowed has the services that each version sent allows to the route that changes.
	allowed map[int][]string
	// ended has the lives of targets that have ended, disturbed until when each host
	// is, or was, disturbed by a fault.
	ended     map[string]bool
	disturbed map[string]time.Time
	// evacuated has when the evacuation of each zone was acknowledged that was not taken
	// back since.
	evacuated map[string]time.Time
}

type ack struct {
	version int
	at      time.Time
}

// NewChecker returns one that knows nothing. Patience is added to bounds of time.
func NewChecker(began time.Time, patience time.Duration) *Checker {
	return &Checker{
		began: began, patience: patience, content: map[int]string{}, allowed: map[int][]string{},
		ended: map[string]bool{}, disturbed: map[string]time.Time{}, evacuated: map[string]time.Time{},
	}
}

// AddViolation notes a violation.
func (t *Checker) AddViolation(rule, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breakLocked(rule, format, args...)
}

func (t *Checker) breakLocked(rule, format string, args ...any) {
	t.violations = append(t.violations, Violation{At: time.Since(t.began), Rule: rule, What: fmt.Sprintf(format, args...)})
}

// Violations returns what was broken so far.
func (t *Checker) Violations() []Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Violation{}, t.violations...)
}

// RecordSent notes that a version is sent that allows these services to the route that
// changes. Several operators may send one version.
func (t *Checker) RecordSent(version int, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = max(t.sent, version)
	t.allowed[version] = append(t.allowed[version], service)
}

// RecordAcked notes that a version was acknowledged.
func (t *Checker) RecordAcked(version int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.newest(now) {
		t.acks = append(t.acks, ack{version: version, at: now})
	}
}

// NewestAcked returns the newest version that was acknowledged at a time.
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

// CheckRead holds an answer to a read that began when some version was the newest
// acknowledged.
func (t *Checker) CheckRead(host string, least, version int, content string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < least {
		t.breakLocked(RuleRead, "%s answers with version %d, %d was acknowledged before", host, version, least)
	}
	if version > t.sent {
		t.breakLocked(RuleRead, "%s answers with version %d, which nobody sent", host, version)
	}
	if before, known := t.content[version]; known && before != content {
		t.breakLocked(RuleOneContent, "version %d was %q and is %q at %s", version, before, content, host)
		return
	}
	t.content[version] = content
}

// CheckService holds the service that a flow to the route that changes was opened with.
func (t *Checker) CheckService(service string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allows(service, 0) {
		t.breakLocked(RuleRoute, "served by %s, which no version allows", service)
		return
	}
	least := t.newest(sent.Add(-applyBound - t.patience))
	if t.allows(service, least) || t.anyDisturbedSince(sent.Add(-touchWindow)) {
		return
	}
	t.breakLocked(RuleApplied, "served by %s, which no version from %d on allows", service, least)
}

// AllowsService reports whether a version from least on allows a service to the route that
// changes.
func (t *Checker) AllowsService(service string, least int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allows(service, least)
}

// allows reports whether a version from least on allows a service. The lock is held.
func (t *Checker) allows(service string, least int) bool {
	for version, services := range t.allowed {
		if version < least {
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

// RecordEvacuation notes that the evacuation of a zone was acknowledged.
func (t *Checker) RecordEvacuation(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated[zone] = time.Now()
}

// RecordEvacuationEnd notes that the evacuation of a zone is to be taken back.
func (t *Checker) RecordEvacuationEnd(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.evacuated, zone)
}

// IsEvacuated reports whether the evacuation of a zone stands.
func (t *Checker) IsEvacuated(zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, evacuated := t.evacuated[zone]
	return evacuated
}

// CheckZone holds the zone that a flow was opened in.
func (t *Checker) CheckZone(zone string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	acked, evacuated := t.evacuated[zone]
	if !evacuated || sent.Before(acked.Add(applyBound+t.patience)) || t.anyDisturbedSince(sent.Add(-touchWindow)) {
		return
	}
	t.breakLocked(RuleEvacuated, "a flow was opened in %s %s after the acknowledgement", zone, sent.Sub(acked))
}

// RecordInstanceEnd notes that a life of a target ends now.
func (t *Checker) RecordInstanceEnd(life string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[life] = true
}

// RecordDisturbance notes that a host is disturbed by a fault until some time.
func (t *Checker) RecordDisturbance(host string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.disturbed[host]) {
		t.disturbed[host] = until
	}
}

// anyDisturbedSince reports whether any host was disturbed after a time. The lock is held.
func (t *Checker) anyDisturbedSince(since time.Time) bool {
	for _, until := range t.disturbed {
		if until.After(since) {
			return true
		}
	}
	return false
}

// CheckReset holds that a caller was told that an open flow is gone. It is owed where the
// target has ended, and allowed where the host of its agent was disturbed lately.
func (t *Checker) CheckReset(life, host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended[life] || t.disturbed[host].After(now.Add(-touchWindow)) {
		return
	}
	t.breakLocked(RuleNoReset, "flow at %s on %s was reset", life, host)
}
