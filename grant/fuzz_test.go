package grant_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/grant"
)

// FuzzApply applies any two commands. The state survives a snapshot, and a
// replica that was restored goes on alike.
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
		m, twin := grant.New(), grant.New()
		m.Apply(1, first)
		must(t, twin.Restore(snapshot(t, m)))
		if !bytes.Equal(m.Apply(2, second), twin.Apply(2, second)) {
			t.Fatal("the restored replica answers otherwise")
		}
		if !bytes.Equal(snapshot(t, m), snapshot(t, twin)) {
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
