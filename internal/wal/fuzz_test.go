package wal

import (
	"bytes"
	"testing"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

const fuzzSalt salt = 0x1234567890abcdef

// FuzzRecord feeds arbitrary bytes to the record decoder and checks that what
// it takes for a record encodes to the same bytes.
func FuzzRecord(f *testing.F) {
	it := &items{
		mark:      &raftpb.Snapshot{Index: 3, Term: 1},
		hardState: &raftpb.HardState{Term: 2, Vote: &raftpb.ReplicaID{Name: "b", Incarnation: 7}, Commit: 3},
		entries:   entries(2, 4, 6),
	}
	payload, err := it.encode(nil)
	must(f, err)
	whole := appendRecord(nil, fuzzSalt, 5, payload)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(bytes.Clone(whole), whole...))
	f.Add(appendRecord(nil, fuzzSalt, 1, nil))
	f.Add(appendFirstRecord(nil, fuzzSalt, 1))
	f.Add(appendRecord(nil, fuzzSalt, 9, []byte{0x0a, 0xff}))
	f.Add(make([]byte, headerLength))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRecord(t, data, fuzzSalt)
		if s, _, rest, ok := parseFirstRecord(data); ok {
			checkRecord(t, rest, s)
		}
		if it, err := decodeItems(data); err == nil {
			checkItems(t, it)
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
	if it, err := decodeItems(payload); err == nil {
		checkItems(t, it)
	}
}

func checkItems(t *testing.T, it *items) {
	encoded, err := it.encode(nil)
	if err != nil {
		return // a text field that is not UTF-8 does not encode
	}
	again, err := decodeItems(encoded)
	if err != nil {
		t.Fatalf("items do not decode again: %v", err)
	}
	if len(again.entries) != len(it.entries) {
		t.Fatalf("%d entries became %d", len(it.entries), len(again.entries))
	}
}
