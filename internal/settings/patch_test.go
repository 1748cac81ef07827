package settings_test

import (
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
		`p.ini:2: service lodgement.number: unknown key`,
		`p.ini:3: service lodgement.slot: unknown key; did you mean "slots"?`,
		`p.ini:4: service lodgement.addresses: "192.0.2.1" is not an address of the form ip:port`,
		`p.ini:6: remove old.slots: a section that removes has no keys`,
		`p.ini:7: removed new: unknown section, known are [service NAME], [remove NAME] and [release IP:PORT]; did you mean "remove"?`,
		`p.ini:8: service: the section names no service`,
		`p.ini:9: service a/b: "a/b" may hold letters, digits, '-', '_' and '.' only`,
		`p.ini:10: release 192.0.2.9: "192.0.2.9" is not an address of the form ip:port`,
	})
}

func TestEmptyPatch(t *testing.T) {
	is := is.New(t)
	_, err := settings.ParsePatch("p.ini", []byte("# nothing\n"))
	is.Equal(len(findings(t, err)), 1)
}

func TestFormattedServiceReadsBack(t *testing.T) {
	is := is.New(t)
	want := &configpb.Service{
		Name: "lodgement", Addresses: []string{"192.0.2.1:443", "192.0.2.2:443"}, Slots: 4,
		Policy: &configpb.Policy{Strategy: configpb.Strategy_STRATEGY_HASH, ImbalanceWeight: 0.25},
	}
	patch, err := settings.ParsePatch("p.ini", []byte(settings.FormatService(want)))
	is.NoErr(err)
	is.True(proto.Equal(patch.GetOperations()[0].GetPutService(), want))
}
