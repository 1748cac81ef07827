package grant

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// ErrInvalidSnapshot means that a snapshot does not contain a state of this machine.
var ErrInvalidSnapshot = errors.New("invalid grant snapshot")

// Machine is the state machine of one grant group. It is not safe for concurrent use.
type Machine struct {
	group int
	// table is nil until one is agreed on.
	table     *SlotTable
	retention Retention
	// now is the logical time, in milliseconds.
	now     uint64
	records map[recordKey]*record
	// held and answered have the records of each kind, oldest change first.
	held, answered recordList
	// bytes is the estimated memory of the records.
	bytes    int
	released *releasedAttempts
}

// New returns the machine of the first group. Without a slot table it owns every key.
func New() *Machine { return NewGroup(0) }

// NewGroup returns the machine of a group, numbered from 0. Without a slot table only the
// first group owns keys.
func NewGroup(group int) *Machine {
	return &Machine{
		group:     group,
		retention: DefaultRetention(),
		records:   map[recordKey]*record{},
		released:  newReleasedAttempts(),
	}
}

// Apply runs one command of the log and returns a grantpb.Result. A command that cannot be
// decoded or violates a bound changes nothing; its result has no decision and is not taken.
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
	if service, key, hasKey := CommandKey(c); hasKey && !m.ownsKey(c.GetTable(), service, key) {
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
	if !validAcquire(a) {
		return &grantpb.Result{}
	}
	if m.released.has(a.GetService(), a.GetKey(), a.GetAttempt()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_RELEASED}
	}
	if r := m.find(a.GetService(), a.GetKey()); r != nil {
		return decideExisting(r, a)
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

func validAcquire(a *grantpb.Acquire) bool {
	return inRange(len(a.GetKey()), MaxKeyLength) &&
		inRange(len(a.GetAttempt()), MaxAttemptLength) &&
		inRange(len(a.GetDigest()), MaxDigestLength)
}

func inRange(length, limit int) bool { return length > 0 && length <= limit }

// decideExisting decides on a key that has a record.
func decideExisting(r *record, a *grantpb.Acquire) *grantpb.Result {
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

// complete records the response. It also returns true for a resend of the recorded
// response.
func (m *Machine) complete(c *grantpb.Complete) bool {
	r := m.find(c.GetService(), c.GetKey())
	if r == nil || c.GetAnswer() == nil || r.attempt() != string(c.GetAttempt()) {
		return false
	}
	answer := limitAnswer(c.GetAnswer())
	if r.answered {
		recorded := r.answer()
		return proto.Equal(recorded, answer) || proto.Equal(recorded, withoutBody(answer))
	}
	if m.bytes+recordOverhead+len(answer.GetContentType())+len(answer.GetBody()) > MaxBytes {
		// The response must be recorded even if memory is short, because the request ran.
		answer = withoutBody(answer)
	}
	completed := r.message()
	completed.Answer, completed.ChangedMs = answer, m.now
	m.remove(r)
	m.add(newRecord(completed))
	return true
}

// limitAnswer returns the response as it is recorded.
func limitAnswer(a *grantpb.Answer) *grantpb.Answer {
	if len(a.GetBody()) > MaxBodyLength || len(a.GetContentType()) > MaxContentTypeLength || a.GetBodyOmitted() {
		return withoutBody(a)
	}
	return a
}

func withoutBody(a *grantpb.Answer) *grantpb.Answer {
	out := &grantpb.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), BodyOmitted: true}
	if len(out.GetContentType()) > MaxContentTypeLength {
		out.ContentType = ""
	}
	return out
}

// release releases a grant and keeps the attempt as released: its Acquire may be committed
// after the Release, or twice, and would hold the key although the attempt has ended.
func (m *Machine) release(c *grantpb.Release) bool {
	if !inRange(len(c.GetKey()), MaxKeyLength) || !inRange(len(c.GetAttempt()), MaxAttemptLength) {
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

// advance advances the logical clock and drops expired records.
func (m *Machine) advance(elapsed uint64) {
	m.now += min(elapsed, uint64(MaxAdvance.Milliseconds()))
	m.expire(&m.held, uint64(m.retention.Held.Milliseconds()))
	m.expire(&m.answered, uint64(m.retention.Answered.Milliseconds()))
	m.released.expire(m.now)
}

func (m *Machine) expire(list *recordList, retention uint64) {
	for r := list.first; r != nil && r.changed+retention <= m.now; r = list.first {
		m.remove(r)
	}
}
