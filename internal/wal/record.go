package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const recordMagic uint32 = 0x45475752

const (
	headerLength = 24
	saltLength   = 8
	// maxPayload is the maximum payload of one record, in bytes.
	maxPayload = 256 << 20
)

// Offsets of the fields of a record header.
const (
	magicAt      = 0
	lengthAt     = 4
	sequenceAt   = 8
	payloadSumAt = 16
	headerSumAt  = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// salt is the random seed of the checksums of a file.
type salt uint64

func (s salt) sum(data []byte) uint32 {
	var b [saltLength]byte
	binary.LittleEndian.PutUint64(b[:], uint64(s))
	return crc32.Update(crc32.Checksum(b[:], castagnoli), castagnoli, data)
}

// appendRecord appends the record of payload to dst.
func appendRecord(dst []byte, s salt, sequence uint64, payload []byte) []byte {
	var h [headerLength]byte
	binary.LittleEndian.PutUint32(h[magicAt:], recordMagic)
	binary.LittleEndian.PutUint32(h[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[sequenceAt:], sequence)
	binary.LittleEndian.PutUint32(h[payloadSumAt:], s.sum(payload))
	binary.LittleEndian.PutUint32(h[headerSumAt:], s.sum(h[:headerSumAt]))
	dst = append(dst, h[:]...)
	return append(dst, payload...)
}

// parseRecord parses the record at the start of data. The payload aliases data. ok
// is false if there is no complete and valid record.
func parseRecord(data []byte, s salt) (sequence uint64, payload []byte, ok bool) {
	if len(data) < headerLength {
		return 0, nil, false
	}
	if binary.LittleEndian.Uint32(data[magicAt:]) != recordMagic {
		return 0, nil, false
	}
	if binary.LittleEndian.Uint32(data[headerSumAt:]) != s.sum(data[:headerSumAt]) {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[lengthAt:]))
	if length > maxPayload || length > len(data)-headerLength {
		return 0, nil, false
	}
	payload = data[headerLength : headerLength+length]
	if binary.LittleEndian.Uint32(data[payloadSumAt:]) != s.sum(payload) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[sequenceAt:]), payload, true
}

// appendFirstRecord appends the first record of a file. It contains the salt; its own
// checksums use salt 0.
func appendFirstRecord(dst []byte, s salt, sequence uint64) []byte {
	var b [saltLength]byte
	binary.LittleEndian.PutUint64(b[:], uint64(s))
	return appendRecord(dst, 0, sequence, b[:])
}

// parseFirstRecord returns the salt, the sequence number and the data after the first
// record.
func parseFirstRecord(data []byte) (s salt, sequence uint64, rest []byte, ok bool) {
	sequence, payload, ok := parseRecord(data, 0)
	if !ok || len(payload) != saltLength {
		return 0, 0, nil, false
	}
	s = salt(binary.LittleEndian.Uint64(payload))
	return s, sequence, data[headerLength+saltLength:], true
}

// containsRecord reports whether a valid record starts anywhere in data.
func containsRecord(data []byte, s salt) bool {
	for at := 0; at+headerLength <= len(data); at++ {
		if _, _, ok := parseRecord(data[at:], s); ok {
			return true
		}
	}
	return false
}
