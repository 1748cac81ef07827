package config_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// FuzzApply applies an arbitrary command and checks that a snapshot preserves the state.
func FuzzApply(f *testing.F) {
	seeds := []*configpb.Command{
		{Body: &configpb.Command_Patch{Patch: patch("p", 0, put(service("a", "192.0.2.1:443")), remove("b"))}},
		{Body: &configpb.Command_Patch{Patch: patch("p", 7, put(nil))}},
		{Body: &configpb.Command_Patch{Patch: &configpb.Patch{Operations: []*configpb.Operation{nil}}}},
		{Body: &configpb.Command_Register{Register: &configpb.RegisterTarget{Service: "a", Target: "t", Process: []byte{1}}}},
	}
	for _, s := range seeds {
		data, err := proto.Marshal(s)
		must(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, command []byte) {
		m := config.New()
		first, _ := proto.Marshal(&configpb.Command{Body: &configpb.Command_Patch{
			Patch: patch("base", 0, put(service("a", "192.0.2.9:443"))),
		}})
		m.Apply(1, first)
		m.Apply(2, command)
		m.Apply(3, command)
		before, err := m.Snapshot()
		must(t, err)
		replica := config.New()
		must(t, replica.Restore(before))
		after, err := replica.Snapshot()
		if err != nil || string(before) != string(after) {
			t.Fatal("the snapshot changed the state", err)
		}
	})
}
