package grant

import (
	"bytes"
	"container/list"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// ErrState tells that a snapshot does not hold a state of this machine.
var ErrState = errors.New("snapshot holds no grant state")

type recordKey struct {
	service uint32
	key     string
}

// Machine is the state machine of grants. It is not safe for use by several
// goroutines.
type Machine struct {
	now     uint64
	records map[recordKey]*list.Element
	// held and answered have the records of each kind in the order of their
	// last change, oldest first.
	held     *list.List
	answered *list.List
	bytes    int
	released *releasedAttempts
}

// New returns a machine without records, at logical time 0.
func New() *Machine {
	return &Machine{
		records:  map[recordKey]*list.Element{},
		held:     list.New(),
		answered: list.New(),
		released: newReleasedAttempts(),
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
	r := &grantpb.Record{
		Service:   a.GetService(),
		Key:       a.GetKey(),
		Attempt:   a.GetAttempt(),
		Digest:    a.GetDigest(),
		ChangedMs: m.now,
	}
	if len(m.records) >= MaxRecords || m.bytes+size(r) > MaxBytes {
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
func again(r *grantpb.Record, a *grantpb.Acquire) *grantpb.Result {
	if !bytes.Equal(r.GetDigest(), a.GetDigest()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_MISMATCH}
	}
	if r.GetAnswer() != nil {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_ANSWERED, Answer: r.GetAnswer()}
	}
	if bytes.Equal(r.GetAttempt(), a.GetAttempt()) {
		return &grantpb.Result{Decision: grantpb.Decision_DECISION_GRANTED}
	}
	return &grantpb.Result{Decision: grantpb.Decision_DECISION_HELD}
}

// complete records the answer. It reports true also for a resend that carries
// the recorded answer.
func (m *Machine) complete(c *grantpb.Complete) bool {
	r := m.find(c.GetService(), c.GetKey())
	if r == nil || c.GetAnswer() == nil || !bytes.Equal(r.GetAttempt(), c.GetAttempt()) {
		return false
	}
	answer := bounded(c.GetAnswer())
	if r.GetAnswer() != nil {
		return proto.Equal(r.GetAnswer(), answer) || proto.Equal(r.GetAnswer(), omitted(answer))
	}
	if m.bytes+size(&grantpb.Record{Answer: answer}) > MaxBytes {
		// The answer has to be taken whatever the room: the request ran.
		answer = omitted(answer)
	}
	m.remove(r)
	m.add(&grantpb.Record{
		Service:   r.GetService(),
		Key:       r.GetKey(),
		Attempt:   r.GetAttempt(),
		Digest:    r.GetDigest(),
		Answer:    answer,
		ChangedMs: m.now,
	})
	return true
}

// bounded returns the answer as it is recorded.
func bounded(a *grantpb.Answer) *grantpb.Answer {
	if len(a.GetBody()) > MaxBody || len(a.GetContentType()) > MaxContentType || a.GetBodyOmitted() {
		return omitted(a)
	}
	return a
}

func omitted(a *grantpb.Answer) *grantpb.Answer {
	out := &grantpb.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), BodyOmitted: true}
	if len(out.GetContentType()) > MaxContentType {
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
	if r == nil || r.GetAnswer() != nil || !bytes.Equal(r.GetAttempt(), c.GetAttempt()) {
		return false
	}
	m.remove(r)
	return true
}

// advance moves the logical clock and drops the records that expired.
func (m *Machine) advance(elapsed uint64) {
	m.now += min(elapsed, uint64(MaxAdvance.Milliseconds()))
	m.expire(m.held, uint64(HeldRetention.Milliseconds()))
	m.expire(m.answered, uint64(AnsweredRetention.Milliseconds()))
	m.released.expire(m.now)
}

func (m *Machine) expire(order *list.List, retention uint64) {
	for e := order.Front(); e != nil; e = order.Front() {
		r := record(e)
		if r.GetChangedMs()+retention > m.now {
			return
		}
		m.remove(r)
	}
}
