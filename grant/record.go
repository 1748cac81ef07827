package grant

import (
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// recordKey identifies a record.
type recordKey struct {
	service uint32
	key     string
}

// record is the state of one key. All variable-length fields share one allocation, since
// records take most of the memory of a control host.
type record struct {
	prev, next *record
	// changed is the logical time of the last change, in milliseconds.
	changed uint64
	// data is the concatenation of key, attempt, digest, content type and body.
	data    string
	service uint32
	status  uint32
	// Lengths of the parts of data; the body is the rest.
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

// validRecord reports whether the fields of an encoded record are within their bounds.
func validRecord(m *grantpb.Record) bool {
	return inRange(len(m.GetKey()), MaxKeyLength) &&
		inRange(len(m.GetAttempt()), MaxAttemptLength) &&
		inRange(len(m.GetDigest()), MaxDigestLength) &&
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

// mapKey returns the key of the record in Machine.records.
func (r *record) mapKey() recordKey { return recordKey{service: r.service, key: r.key()} }

func (r *record) key() string { return r.data[:r.keyLength] }

func (r *record) attempt() string {
	return r.data[r.keyLength:][:r.attemptLength]
}

func (r *record) digest() string {
	return r.data[int(r.keyLength)+int(r.attemptLength):][:r.digestLength]
}

// answer returns the recorded response, or nil.
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

// recordList is a linked list of records, oldest change first.
type recordList struct {
	first, last *record
	length      int
}

func (l *recordList) push(r *record) {
	r.prev, r.next = l.last, nil
	if l.last != nil {
		l.last.next = r
	} else {
		l.first = r
	}
	l.last = r
	l.length++
}

func (l *recordList) remove(r *record) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		l.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		l.last = r.prev
	}
	r.prev, r.next = nil, nil
	l.length--
}
