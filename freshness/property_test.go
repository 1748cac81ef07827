package freshness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/freshness"
	_ "eelgrasswharf.example/eelgrasswharf/internal/fixedseed"
)

// condition is what befalls a control host of the model.
type condition int

const (
	healthy condition = iota
	// cut off from the quorum, but not from the subscriber: it reports that it is isolated.
	cut
	// stuck hosts confirm nothing and do not know it.
	stuck
	// down hosts send nothing.
	down
)

// faults are the conditions that strike gives.
var faults = []condition{cut, stuck, down}

// Times of the model in seconds.
const (
	step            = 0.05
	confirmInterval = 0.4
	heartbeat       = 0.75
	isolatedAfter   = 1.5
	dialTimeout     = 0.4
	reconnect       = 0.1
	// inForce is the time in which a change has to be in force.
	inForce = 3.0
	// stable is the time without an event after which this holds.
	stable = 4.0
)

// modelHost is a control host.
type modelHost struct {
	condition   condition
	version     uint64
	confirmedAt float64
}

func (h *modelHost) state(now float64) freshness.State {
	age := now - h.confirmedAt
	return freshness.State{
		Version: h.version, Confirmed: true, Age: time.Duration(age * float64(time.Second)),
		Isolated: h.condition == cut && age >= isolatedAfter,
	}
}

// model has a subscriber and the control hosts that it moves around in a ring.
type model struct {
	hosts   []*modelHost
	tracker *freshness.Tracker
	random  *rand.Rand
	// committed is the newest version, committedAt has when each was committed.
	committed   uint64
	committedAt []float64
	// host is the index of the subscriber's host, connected whether it is subscribed.
	host      int
	connected bool
	// nextAttempt is when it next dials, heartbeatAt when the next heartbeat is due.
	nextAttempt, heartbeatAt float64
	inUse                    uint64
	lastEvent                float64
}

// advance runs one step.
func (m *model) advance(now float64) {
	for _, h := range m.hosts {
		if h.condition == healthy && now-h.confirmedAt >= confirmInterval {
			h.confirmedAt, h.version = now, m.committed
		}
	}
	m.subscribe(now)
	h := m.hosts[m.host]
	if m.connected && h.condition != down && (now >= m.heartbeatAt || h.version > m.inUse) {
		m.heartbeatAt = now + heartbeat
		m.inUse = max(m.inUse, h.version)
		m.tracker.Observe(h.state(now), m.inUse, at(now))
	}
	if move, _ := m.tracker.Decide(at(now)); move {
		m.tracker.Moved(at(now), m.jitter)
		m.tracker.Closed()
		m.connected, m.nextAttempt = false, now+reconnect
		m.host = (m.host + 1) % len(m.hosts)
	}
}

// subscribe dials one host after another.
func (m *model) subscribe(now float64) {
	if m.connected || now < m.nextAttempt {
		return
	}
	if m.hosts[m.host].condition == down {
		m.host = (m.host + 1) % len(m.hosts)
		m.nextAttempt = now + dialTimeout
		return
	}
	m.connected, m.heartbeatAt = true, now
	m.tracker.Opened(at(now))
}

func (m *model) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*m.random.Float64()))
}

// versionAt returns the version committed by a time.
func (m *model) versionAt(t float64) uint64 {
	version := uint64(0)
	for i, committed := range m.committedAt {
		if committed <= t {
			version = uint64(i + 1)
		}
	}
	return version
}

// strike gives a minority of the hosts, or none, other conditions.
func (m *model) strike(rt *rapid.T, now float64) {
	for _, h := range m.hosts {
		h.condition = healthy
	}
	for range rapid.IntRange(0, (len(m.hosts)-1)/2).Draw(rt, "struck") {
		h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(rt, "host")]
		h.condition = rapid.SampledFrom(faults).Draw(rt, "condition")
	}
	m.lastEvent = now
}

// While a quorum works and nothing has happened to a control host for a while, no process
// that reaches them all acts on a version older than the bound, whatever the others suffer.
func TestVersionIsInForceInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{tracker: freshness.NewTracker(freshness.Options{}), random: rand.New(rand.NewPCG(1, 2))}
		for range rapid.IntRange(3, 7).Draw(rt, "hosts") {
			m.hosts = append(m.hosts, &modelHost{})
		}
		m.host = rapid.IntRange(0, len(m.hosts)-1).Draw(rt, "first")
		nextEvent, nextChange := 0.0, 0.0
		for i := range 800 {
			now := float64(i) * step
			if now >= nextEvent {
				m.strike(rt, now)
				nextEvent = now + rapid.Float64Range(0.5, 12).Draw(rt, "until the next event")
			}
			if now >= nextChange {
				m.committed++
				m.committedAt = append(m.committedAt, now)
				nextChange = now + rapid.Float64Range(0.2, 4).Draw(rt, "until the next change")
			}
			m.advance(now)
			if want := m.versionAt(now - inForce); now-m.lastEvent >= stable && m.inUse < want {
				rt.Fatalf("at %.2f s version %d is in use, version %d was committed %.2f s before; hosts %v, at host %d",
					now, m.inUse, want, now-m.committedAt[want-1], m.conditions(), m.host)
			}
		}
	})
}

func (m *model) conditions() []condition {
	var all []condition
	for _, h := range m.hosts {
		all = append(all, h.condition)
	}
	return all
}
