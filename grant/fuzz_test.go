package grant_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/grant"
)

// FuzzApply applies two arbitrary commands, with a snapshot in between. The restored
// replica must behave alike.
func FuzzApply(f *testing.F) {
	encode := func(m proto.Message) []byte {
		data, err := proto.Marshal(m)
		must(f, err)
		return data
	}
	f.Add(encode(acquire("k", "one", "d")), encode(release("k", "one")))
	f.Add(encode(release("k", "one")), encode(acquire("k", "one", "d")))
	f.Add(encode(acquire("k", "one", "d")), encode(advance(1<<63)))
	f.Add([]byte{0xff}, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m, replica := grant.New(), grant.New()
		m.Apply(1, first)
		must(t, replica.Restore(snapshot(t, m)))
		if !bytes.Equal(m.Apply(2, second), replica.Apply(2, second)) {
			t.Fatal("the restored replica returns another result")
		}
		if !bytes.Equal(snapshot(t, m), snapshot(t, replica)) {
			t.Fatal("the restored replica has another state")
		}
	})
}

func snapshot(t *testing.T, m *grant.Machine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	must(t, err)
	return data
}
