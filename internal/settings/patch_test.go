package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

func TestPatchPlaces(t *testing.T) {
	is := is.New(t)
	text := "# two steps\n[service lodgement]\naddresses = 192.0.2.1:443, 192.0.2.2:443\nslots = 4\n" +
		"strategy = two_choices\nbroken_flow_weight = 3.5\n\n[remove old]\n[release 192.0.2.9:443]\n"
	patch, err := settings.ParsePatch("p.ini", []byte(text))
	is.NoErr(err)
	is.Equal(patch.GetPlaces(), []string{"p.ini:2", "p.ini:8", "p.ini:9"})
	put := patch.GetOperations()[0].GetPutService()
	is.Equal(put.GetName(), "lodgement")
	is.Equal(put.GetAddresses(), []string{"192.0.2.1:443", "192.0.2.2:443"})
	is.Equal(put.GetSlots(), uint32(4))
	is.Equal(put.GetPolicy().GetStrategy(), configpb.Strategy_STRATEGY_TWO_CHOICES)
	is.Equal(put.GetPolicy().GetBrokenFlowWeight(), 3.5)
	is.Equal(patch.GetOperations()[1].GetRemoveService(), "old")
	is.Equal(patch.GetOperations()[2].GetReleaseAddress(), "192.0.2.9:443")
}

func TestPatchFindings(t *testing.T) {
	is := is.New(t)
	text := "[service lodgement]\nnumber = 3\nslot = 4\naddresses = 192.0.2.1\n" +
		"[remove old]\nslots = 1\n[removed new]\n[service]\n[service a/b]\n" +
		"[release 192.0.2.9]\n"
	_, err := settings.ParsePatch("p.ini", []byte(text))
	is.Equal(findings(t, err), []string{
		`p.ini:1, service "lodgement", slots: a target needs at least one slot`,
		`p.ini:2: service lodgement.number: unknown key`,
		`p.ini:3: service lodgement.slot: unknown key; did you mean "slots"?`,
		`p.ini:4: service lodgement.addresses: "192.0.2.1" is not an address of the form ip:port`,
		`p.ini:6: remove old.slots: a remove section has no keys`,
		`p.ini:7: removed new: unknown section, known are [service NAME], [remove NAME] and [release IP:PORT]; did you mean "remove"?`,
		`p.ini:8: service: the section has no service name`,
		`p.ini:9: service a/b: "a/b" may hold letters, digits, '-', '_' and '.' only`,
		`p.ini:10: release 192.0.2.9: "192.0.2.9" is not an address of the form ip:port`,
	})
}

// Guards against syntax errors that hide findings of content, and against findings on the
// content of values that did not parse.
func TestPatchFindingsOfSyntaxAndContent(t *testing.T) {
	is := is.New(t)
	text := "[service lodgement]\naddresses = 192.0.2.1:443\nslot = 4\nramp_ms = 99999999\n" +
		"[service certificates]\naddresses = 192.0.2.1:443\nslots = many\nimbalance_weight = none\n" +
		"[service Itinerary]\naddresses = 192.0.2.3\nslots = 4\n" +
		"[remove old]\n"
	want := []string{
		`p.ini:1, service "lodgement", slots: a target needs at least one slot`,
		`p.ini:3: service lodgement.slot: unknown key; did you mean "slots"?`,
		`p.ini:4: service lodgement.ramp_ms: the ramp is at most 3600000 ms`,
		`p.ini:6: service certificates.addresses: "192.0.2.1:443": the address belongs to service "lodgement"`,
		`p.ini:7: service certificates.slots: "many" is not a whole number from 0 to 4294967295`,
		`p.ini:8: service certificates.imbalance_weight: "none" is not a number`,
		`p.ini:9, service "Itinerary", name: the name has bytes other than a-z, 0-9 and '-'`,
		`p.ini:10: service Itinerary.addresses: "192.0.2.3" is not an address of the form ip:port`,
	}
	_, err := settings.ParsePatch("p.ini", []byte(text))
	is.Equal(findings(t, err), want)

	path := filepath.Join(t.TempDir(), "p.ini")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	checked := findings(t, settings.CheckPatch(path))
	is.Equal(len(checked), len(want))

	// Without syntax errors only CheckPatch checks the content.
	is.NoErr(os.WriteFile(path, []byte("[service lodgement]\naddresses = 192.0.2.1:443\n[remove old]\n"), 0o600))
	_, err = settings.LoadPatch(path)
	is.NoErr(err)
	is.Equal(findings(t, settings.CheckPatch(path)), []string{path + `:1, service "lodgement", slots: a target needs at least one slot`})
}

func TestEmptyPatch(t *testing.T) {
	is := is.New(t)
	_, err := settings.ParsePatch("p.ini", []byte("# nothing\n"))
	is.Equal(len(findings(t, err)), 1)
}

func TestFormatServiceRoundTrip(t *testing.T) {
	is := is.New(t)
	want := &configpb.Service{
		Name: "lodgement", Addresses: []string{"192.0.2.1:443", "192.0.2.2:443"}, Slots: 4,
		Policy: &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH, ImbalanceWeight: 0.25},
	}
	patch, err := settings.ParsePatch("p.ini", []byte(settings.FormatService(want)))
	is.NoErr(err)
	is.True(proto.Equal(patch.GetOperations()[0].GetPutService(), want))
}
