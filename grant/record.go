package grant

import (
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// recordKey names a record.
type recordKey struct {
	service uint32
	key     string
}

// record is what is kept of one key. Most of the memory of a control host is
// records, so their fields lie in one allocation beside the record itself.
type record struct {
	prev, next *record
	// changed is the logical time of the last change, in milliseconds.
	changed uint64
	// data has key, attempt, digest, content type and body, one after another.
	data    string
	service uint32
	status  uint32
	// Lengths of the parts of data; the body has the rest.
	keyLength, typeLength       uint16
	attemptLength, digestLength uint8
	answered, omitted           bool
}

// newRecord packs a record whose fields are within their bounds.
func newRecord(m *grantpb.Record) *record {
	a := m.GetAnswer()
	var data strings.Builder
	data.Grow(fieldBytes(m))
	data.WriteString(m.GetKey())
	data.Write(m.GetAttempt())
	data.Write(m.GetDigest())
	data.WriteString(a.GetContentType())
	data.Write(a.GetBody())
	return &record{
		changed:       m.GetChangedMs(),
		data:          data.String(),
		service:       m.GetService(),
		status:        a.GetStatus(),
		keyLength:     uint16(len(m.GetKey())),
		typeLength:    uint16(len(a.GetContentType())),
		attemptLength: uint8(len(m.GetAttempt())),
		digestLength:  uint8(len(m.GetDigest())),
		answered:      a != nil,
		omitted:       a.GetBodyOmitted(),
	}
}

// fits reports whether the fields of an encoded record are within their bounds.
func fits(m *grantpb.Record) bool {
	return within(len(m.GetKey()), MaxKeyLength) &&
		within(len(m.GetAttempt()), MaxAttemptLength) &&
		within(len(m.GetDigest()), MaxDigestLength) &&
		len(m.GetAnswer().GetContentType()) <= MaxContentTypeLength
}

func fieldBytes(m *grantpb.Record) int {
	a := m.GetAnswer()
	return len(m.GetKey()) + len(m.GetAttempt()) + len(m.GetDigest()) + len(a.GetContentType()) + len(a.GetBody())
}

// message returns the encoded form.
func (r *record) message() *grantpb.Record {
	return &grantpb.Record{
		Service:   r.service,
		Key:       r.key(),
		Attempt:   []byte(r.attempt()),
		Digest:    []byte(r.digest()),
		Answer:    r.answer(),
		ChangedMs: r.changed,
	}
}

func (r *record) name() recordKey { return recordKey{service: r.service, key: r.key()} }

func (r *record) key() string { return r.data[:r.keyLength] }

func (r *record) attempt() string {
	return r.data[r.keyLength:][:r.attemptLength]
}

func (r *record) digest() string {
	return r.data[int(r.keyLength)+int(r.attemptLength):][:r.digestLength]
}

// answer returns the recorded answer, or nil.
func (r *record) answer() *grantpb.Answer {
	if !r.answered {
		return nil
	}
	rest := r.data[int(r.keyLength)+int(r.attemptLength)+int(r.digestLength):]
	a := &grantpb.Answer{Status: r.status, ContentType: rest[:r.typeLength], BodyOmitted: r.omitted}
	if body := rest[r.typeLength:]; body != "" {
		a.Body = []byte(body)
	}
	return a
}

// size estimates the memory of the record, in bytes.
func (r *record) size() int { return recordOverhead + len(r.data) }

// order is a list of records, oldest change first.
type order struct {
	first, last *record
	length      int
}

func (o *order) push(r *record) {
	r.prev, r.next = o.last, nil
	if o.last != nil {
		o.last.next = r
	} else {
		o.first = r
	}
	o.last = r
	o.length++
}

func (o *order) remove(r *record) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		o.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		o.last = r.prev
	}
	r.prev, r.next = nil, nil
	o.length--
}
