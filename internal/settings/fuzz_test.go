package settings_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// FuzzParse searches for texts on which the parser panics or is not deterministic.
func FuzzParse(f *testing.F) {
	for _, role := range settings.Roles() {
		text, err := settings.Example(role)
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(text))
	}
	for _, text := range []string{
		"", "\ufeff[host]\nname = a", "[host]\r\nname = a\r\n", "[a.b]\nc=d", "[host]\nname = \"\"\"\nx",
		"[host]\n=\n", "[]", "[[host]]", "[host]]\n", "key", "\"key = 1", "[host]\nname = 'a\n", "\x00[", "[DEFAULT]\na=b",
		"[service lodgement]\naddresses = ,\nslots = -1", "[host]\nname = %(name)s", "[host]\n- = 1\n- = 2",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, second := &settingspb.AgentSettings{}, &settingspb.AgentSettings{}
		err := settings.Parse("f", text, first)
		again := settings.Parse("f", text, second)
		if (err == nil) != (again == nil) || (err != nil && err.Error() != again.Error()) {
			t.Fatalf("findings differ: %v; %v", err, again)
		}
		if !proto.Equal(first, second) {
			t.Fatal("messages differ")
		}
		patch, err := settings.ParsePatch("f", text)
		if err == nil && len(patch.GetOperations()) != len(patch.GetPlaces()) {
			t.Fatal("operation without a place")
		}
	})
}
