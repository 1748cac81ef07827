package grant

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// ErrInvalidSnapshot tells that a snapshot does not hold a state of this machine.
var ErrInvalidSnapshot = errors.New("snapshot holds no grant state")

// Machine is the state machine of one group of grants. It is not safe for use
// by several goroutines.
type Machine struct {
	group int
	// table is nil while none was agreed on.
	table     *SlotTable
	retention Retention
	now       uint64
	records   map[recordKey]*record
	// held and answered have the records of each kind in the order of their
	// last change.
	held, answered order
	bytes          int
	released       *releasedAttempts
}

// New returns the machine of the first group, without records, at logical time
// 0. Without a slot table it takes every key.
func New() *Machine { return NewGroup(0) }

// NewGroup returns the machine of a group, numbered from 0. One other than the
// first takes no key until it has a slot table.
func NewGroup(group int) *Machine {
	return &Machine{
		group:     group,
		retention: DefaultRetention(),
		records:   map[recordKey]*record{},
		released:  newReleasedAttempts(),
	}
}

// Apply runs one command of the log and returns a grantpb.Result. A command
// that is unreadable or breaks a bound changes nothing; its result carries no
// decision and is not taken.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c grantpb.Command
	result := &grantpb.Result{}
	if err := proto.Unmarshal(command, &c); err == nil {
		result = m.run(&c)
	}
	// Marshalling fails only for invalid UTF-8, which Unmarshal refuses.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	return data
}

func (m *Machine) run(c *grantpb.Command) *grantpb.Result {
	if service, key, named := CommandKey(c); named && !m.owns(c.GetTable(), service, key) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_TABLE}
	}
	switch body := c.GetBody().(type) {
	case *grantpb.Command_Acquire:
		return m.acquire(body.Acquire)
	case *grantpb.Command_Complete:
		return &grantpb.Result{Taken: m.complete(body.Complete)}
	case *grantpb.Command_Release:
		return &grantpb.Result{Taken: m.release(body.Release)}
	case *grantpb.Command_Advance:
		m.advance(body.Advance.GetElapsedMs())
		return &grantpb.Result{Taken: true}
	case *grantpb.Command_Configure:
		return &grantpb.Result{Taken: m.configure(body.Configure)}
	}
	return &grantpb.Result{}
}

func (m *Machine) acquire(a *grantpb.Acquire) *grantpb.Result {
	if !proper(a) {
		return &grantpb.Result{}
	}
	if m.released.has(a.GetService(), a.GetKey(), a.GetAttempt()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_RELEASED}
	}
	if r := m.find(a.GetService(), a.GetKey()); r != nil {
		return again(r, a)
	}
	r := newRecord(&grantpb.Record{
		Service:   a.GetService(),
		Key:       a.GetKey(),
		Attempt:   a.GetAttempt(),
		Digest:    a.GetDigest(),
		ChangedMs: m.now,
	})
	if len(m.records) >= MaxRecords || m.bytes+r.size() > MaxBytes {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_FULL}
	}
	m.add(r)
	return &grantpb.Result{Decision: grantpb.Decision_DECISION_GRANTED}
}

func proper(a *grantpb.Acquire) bool {
	return within(len(a.GetKey()), MaxKeyLength) &&
		within(len(a.GetAttempt()), MaxAttemptLength) &&
		within(len(a.GetDigest()), MaxDigestLength)
}

func within(length, limit int) bool { return length > 0 && length <= limit }

// again decides on a key that has a record.
func again(r *record, a *grantpb.Acquire) *grantpb.Result {
	if r.digest() != string(a.GetDigest()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_MISMATCH}
	}
	if r.answered {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_ANSWERED, Answer: r.answer()}
	}
	if r.attempt() == string(a.GetAttempt()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_GRANTED}
	}
	return &grantpb.Result{Decision: grantpb.Decision_DECISION_HELD}
}

// complete records the answer. It reports true also for a resend that carries
// the recorded answer.
func (m *Machine) complete(c *grantpb.Complete) bool {
	r := m.find(c.GetService(), c.GetKey())
	if r == nil || c.GetAnswer() == nil || r.attempt() != string(c.GetAttempt()) {
		return false
	}
	answer := bounded(c.GetAnswer())
	if r.answered {
		held := r.answer()
		return proto.Equal(held, answer) || proto.Equal(held, omitted(answer))
	}
	if m.bytes+recordOverhead+len(answer.GetContentType())+len(answer.GetBody()) > MaxBytes {
		// The answer has to be taken whatever the room: the request ran.
		answer = omitted(answer)
	}
	done := r.message()
	done.Answer, done.ChangedMs = answer, m.now
	m.remove(r)
	m.add(newRecord(done))
	return true
}

// bounded returns the answer as it is recorded.
func bounded(a *grantpb.Answer) *grantpb.Answer {
	if len(a.GetBody()) > MaxBodyLength || len(a.GetContentType()) > MaxContentTypeLength || a.GetBodyOmitted() {
		return omitted(a)
	}
	return a
}

func omitted(a *grantpb.Answer) *grantpb.Answer {
	out := &grantpb.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), BodyOmitted: true}
	if len(out.GetContentType()) > MaxContentTypeLength {
		out.ContentType = ""
	}
	return out
}

// release gives a right back and remembers the attempt: its Acquire may be
// committed later than its Release, or twice, and would hold the key for an
// attempt that nobody makes.
func (m *Machine) release(c *grantpb.Release) bool {
	if !within(len(c.GetKey()), MaxKeyLength) || !within(len(c.GetAttempt()), MaxAttemptLength) {
		return false
	}
	m.released.add(&grantpb.Released{
		Service:    c.GetService(),
		Key:        c.GetKey(),
		Attempt:    c.GetAttempt(),
		ReleasedMs: m.now,
	})
	r := m.find(c.GetService(), c.GetKey())
	if r == nil || r.answered || r.attempt() != string(c.GetAttempt()) {
		return false
	}
	m.remove(r)
	return true
}

// advance moves the logical clock and drops the records that expired.
func (m *Machine) advance(elapsed uint64) {
	m.now += min(elapsed, uint64(MaxAdvance.Milliseconds()))
	m.expire(&m.held, uint64(m.retention.Held.Milliseconds()))
	m.expire(&m.answered, uint64(m.retention.Answered.Milliseconds()))
	m.released.expire(m.now)
}

func (m *Machine) expire(o *order, retention uint64) {
	for r := o.first; r != nil && r.changed+retention <= m.now; r = o.first {
		m.remove(r)
	}
}
