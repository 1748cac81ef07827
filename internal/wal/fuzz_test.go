package wal

import (
	"bytes"
	"testing"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

const fuzzSalt salt = 0x1234567890abcdef

// FuzzRecord decodes arbitrary bytes and checks that a valid record encodes to the
// same bytes.
func FuzzRecord(f *testing.F) {
	rec := &logRecord{
		snapshotMeta: &raftpb.Snapshot{Index: 3, Term: 1},
		hardState:    &raftpb.HardState{Term: 2, Vote: &raftpb.ReplicaID{Name: "b", Incarnation: 7}, Commit: 3},
		entries:      entries(2, 4, 6),
	}
	payload, err := rec.encode(nil)
	must(f, err)
	record := appendRecord(nil, fuzzSalt, 5, payload)
	f.Add(record)
	f.Add(record[:len(record)-1])
	f.Add(append(bytes.Clone(record), record...))
	f.Add(appendRecord(nil, fuzzSalt, 1, nil))
	f.Add(appendFirstRecord(nil, fuzzSalt, 1))
	f.Add(appendRecord(nil, fuzzSalt, 9, []byte{0x0a, 0xff}))
	f.Add(make([]byte, headerLength))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRecord(t, data, fuzzSalt)
		if s, _, rest, ok := parseFirstRecord(data); ok {
			checkRecord(t, rest, s)
		}
		if rec, err := decodeLogRecord(data); err == nil {
			checkLogRecord(t, rec)
		}
	})
}

func checkRecord(t *testing.T, data []byte, s salt) {
	sequence, payload, ok := parseRecord(data, s)
	if !ok {
		return
	}
	again := appendRecord(nil, s, sequence, payload)
	if !bytes.HasPrefix(data, again) {
		t.Fatalf("record does not encode to itself: %x", data)
	}
	if rec, err := decodeLogRecord(payload); err == nil {
		checkLogRecord(t, rec)
	}
}

func checkLogRecord(t *testing.T, rec *logRecord) {
	encoded, err := rec.encode(nil)
	if err != nil {
		return // a string that is not UTF-8 does not encode
	}
	again, err := decodeLogRecord(encoded)
	if err != nil {
		t.Fatalf("record does not decode again: %v", err)
	}
	if len(again.entries) != len(rec.entries) {
		t.Fatalf("%d entries became %d", len(rec.entries), len(again.entries))
	}
}
