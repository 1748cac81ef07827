package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
	"eelgrasswharf.example/eelgrasswharf/raft"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func findings(t *testing.T, err error) []string {
	t.Helper()
	is := is.New(t)
	is.Helper()
	var found settings.Findings
	is.True(errors.As(err, &found)) // expected findings
	return strings.Split(found.Error(), "\n")
}

func TestAllFindingsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.Join([]string{
		"[host]",                        // 1
		"name = entry 1",                // 2
		"failure_domian = oke-ado",      // 3
		"just words",                    // 4
		"[metrcs]",                      // 5
		"listen = 127.0.0.1:0",          // 6
		"[log]",                         // 7
		"format = xml",                  // 8
		"level = loud",                  // 9
		"level = info",                  // 10
		"[forwarding]",                  // 11
		"frame_listen = localhost:7200", // 12
		"workers = 0",                   // 13
		"free_ports = yes",              // 14
		"agent_networks = 192.0.2.0/24, 192.0.2.0/99", // 15
	}, "\n")
	err := settings.Parse("entry.ini", []byte(text), &settingspb.EntrySettings{})
	is.Equal(findings(t, err), []string{
		`entry.ini:1: host.failure_domain: required key is missing`,
		`entry.ini:1: keys.authority: required key is missing`,
		`entry.ini:1: keys.certificate: required key is missing`,
		`entry.ini:1: keys.private_key: required key is missing`,
		`entry.ini:1: keys.data_secrets: required key is missing`,
		`entry.ini:1: control.addresses: required key is missing`,
		`entry.ini:2: host.name: "entry 1" may hold letters, digits, '-', '_' and '.' only`,
		`entry.ini:3: host.failure_domian: unknown key; did you mean "failure_domain"?`,
		`entry.ini:4: expected a section, key = value or a comment`,
		`entry.ini:5: metrcs: unknown section; did you mean "metrics"?`,
		`entry.ini:8: log.format: "xml" is not one of json, console`,
		`entry.ini:9: log.level: "loud" is not one of debug, info, warn, error`,
		`entry.ini:10: log.level: duplicate key`,
		`entry.ini:12: forwarding.frame_listen: "localhost:7200" is not an address of the form ip:port`,
		`entry.ini:13: forwarding.workers: must be at least 1`,
		`entry.ini:14: forwarding.free_ports: "yes" is neither true nor false`,
		`entry.ini:15: forwarding.agent_networks: "192.0.2.0/99" is not a network of the form ip/bits`,
	})
}

func TestInvalidLinesDoNotHideOthers(t *testing.T) {
	is := is.New(t)
	text := "stray = 1\n[]\n[host\n[DEFAULT]\n[host]\n\"name\" = a\nregion = `x\n[host]\n"
	err := settings.Parse("f", []byte(text), &settingspb.EntrySettings{})
	got := strings.Join(findings(t, err), "\n")
	for _, want := range []string{
		"f:1: stray: key outside of a section",
		"f:2: the section has no name",
		"f:3: the section has no closing bracket",
		"f:4: the section name DEFAULT is reserved",
		"f:6: a key name may not be quoted",
		"f:7: host.region: multi-line values are not supported",
		"f:8: host: duplicate section",
	} {
		is.True(strings.Contains(got, want)) // expected finding
	}
}

func TestDissimilarNameGetsNoSuggestion(t *testing.T) {
	is := is.New(t)
	err := settings.Parse("f", []byte("[host]\nname = a\nfailure_domain = b\n[elsewhere]\n"), &settingspb.ControlSettings{})
	got := strings.Join(findings(t, err), "\n")
	is.True(strings.Contains(got, "f:4: elsewhere: unknown section\n") || strings.HasSuffix(got, "f:4: elsewhere: unknown section"))
}

func TestExampleIsAccepted(t *testing.T) {
	for _, role := range settings.Roles() {
		t.Run(string(role), func(t *testing.T) {
			is := is.New(t)
			text, err := settings.Example(role)
			is.NoErr(err)
			path := write(t, text)
			detected, err := settings.DetectRole(path)
			is.NoErr(err)
			is.Equal(detected, role)
			m, err := settings.NewMessage(role)
			is.NoErr(err)
			is.NoErr(settings.Check(path, m))
		})
	}
}

// Guards against commented-out keys in the example whose default is rejected.
func TestExampleDefaultsAreAccepted(t *testing.T) {
	for _, role := range settings.Roles() {
		t.Run(string(role), func(t *testing.T) {
			is := is.New(t)
			text, err := settings.Example(role)
			is.NoErr(err)
			m, err := settings.NewMessage(role)
			is.NoErr(err)
			is.NoErr(settings.Parse("f", []byte(strings.ReplaceAll(text, "\n;", "\n")), m))
		})
	}
}

func TestExampleContainsSchemaComments(t *testing.T) {
	is := is.New(t)
	text, err := settings.Example(settings.RoleEntry)
	is.NoErr(err)
	is.True(strings.Contains(text, "# Failure domain of the host.\nfailure_domain = "))
	is.True(strings.Contains(text, "# Lowest level written: debug, info, warn or error. Default info.\n;level = info"))
}

func TestDefaultsAndRelativePaths(t *testing.T) {
	is := is.New(t)
	text, err := settings.Example(settings.RoleControl)
	is.NoErr(err)
	path := write(t, text)
	m := &settingspb.ControlSettings{}
	is.NoErr(settings.Check(path, m))
	is.Equal(m.GetReplica().GetTickMs(), uint32(50))
	is.Equal(m.GetLog().GetLevel(), "info")
	is.Equal(m.GetReplica().GetDataFolder(), filepath.Join(filepath.Dir(path), "data"))
	is.Equal(len(m.GetReplica().GetInitialVoters()), 3)
}

func TestLoadChecksFiles(t *testing.T) {
	is := is.New(t)
	text, err := settings.Example(settings.RoleEntry)
	is.NoErr(err)
	path := write(t, text)
	found := findings(t, settings.Load(path, &settingspb.EntrySettings{}))
	is.Equal(len(found), 4) // the four files of [keys]
	is.True(strings.Contains(found[0], "keys.authority"))
	is.True(strings.HasSuffix(found[0], "cannot be read: no such file or directory"))

	dir := filepath.Join(filepath.Dir(path), "keys")
	is.NoErr(os.Mkdir(dir, 0o700))
	for _, name := range []string{"authority.pem", "entry-1.pem", "entry-1.key.pem", "data-secrets"} {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), nil, 0o600))
	}
	is.NoErr(settings.Load(path, &settingspb.EntrySettings{}))
}

func TestDataFolderBelowFile(t *testing.T) {
	is := is.New(t)
	text, err := settings.Example(settings.RoleControl)
	is.NoErr(err)
	path := write(t, strings.Replace(text, "data_folder = data", "data_folder = file.ini/data", 1))
	got := strings.Join(findings(t, settings.Load(path, &settingspb.ControlSettings{})), "\n")
	is.True(strings.Contains(got, "replica.data_folder"))
}

func TestPercentSignIsNotExpanded(t *testing.T) {
	is := is.New(t)
	m := &settingspb.EntrySettings{}
	_ = settings.Parse("f", []byte("[keys]\nauthority = %(name)s#1 # comment\n"), m)
	is.Equal(m.GetKeys().GetAuthority(), "%(name)s#1")
}

func TestUnreadableFile(t *testing.T) {
	is := is.New(t)
	err := settings.Load(filepath.Join(t.TempDir(), "missing.ini"), &settingspb.EntrySettings{})
	is.True(errors.Is(err, os.ErrNotExist))
}

func TestUnknownRole(t *testing.T) {
	is := is.New(t)
	_, err := settings.Example("broker")
	is.True(errors.Is(err, settings.ErrUnknownRole))
	_, err = settings.DetectRole(filepath.Join(t.TempDir(), "missing.ini"))
	is.True(errors.Is(err, os.ErrNotExist))
}

// Guards against a misspelled role section that hides all other findings.
func TestRoleIsDetectedFromMisspelledSection(t *testing.T) {
	for section, role := range map[string]settings.Role{
		"replca": settings.RoleControl, "forwading": settings.RoleEntry, "agnet": settings.RoleAgent, "stie": settings.RoleExperiment,
	} {
		t.Run(section, func(t *testing.T) {
			is := is.New(t)
			detected, err := settings.DetectRole(write(t, "[host]\nname = a\n["+section+"]\n"))
			is.NoErr(err)
			is.Equal(detected, role)
		})
	}
}

func TestMissingRoleIsFinding(t *testing.T) {
	is := is.New(t)
	path := write(t, "just words\n[host]\nname = a\n[metrcs]\n")
	_, err := settings.DetectRole(path)
	is.Equal(findings(t, err), []string{
		path + ":1: expected a section, key = value or a comment",
		path + ":1: no section identifies the role: [replica], [forwarding], [agent] or [site]",
	})
}

func TestInitialVoters(t *testing.T) {
	is := is.New(t)
	example, err := settings.Example(settings.RoleControl)
	is.NoErr(err)
	otherHost := strings.Replace(example, "name = control-1", "name = control-9", 1)
	m := &settingspb.ControlSettings{}
	found := findings(t, settings.Parse("f", []byte(otherHost), m))
	is.Equal(len(found), 1)
	is.True(strings.Contains(found[0], `this host, "control-9", is not a voter`))
	joining := strings.Replace(otherHost, ";join = false", "join = true", 1)
	is.NoErr(settings.Parse("f", []byte(joining), &settingspb.ControlSettings{}))
	twice := strings.Replace(example, "control-2=", "control-3=", 1)
	found = findings(t, settings.Parse("f", []byte(twice), &settingspb.ControlSettings{}))
	is.True(strings.Contains(found[0], `duplicate voter "control-3"`))
	many := example
	for i := range raft.MaxVoters {
		many = strings.Replace(many, "control-2=", fmt.Sprintf("extra-%d=192.0.2.9:7100, control-2=", i), 1)
	}
	found = findings(t, settings.Parse("f", []byte(many), &settingspb.ControlSettings{}))
	is.Equal(len(found), 1)
	is.True(strings.Contains(found[0], "at most 7 are supported"))
}

func TestUnauthenticatedNeedsNoKeyFiles(t *testing.T) {
	is := is.New(t)
	text := "[host]\nname = a\nfailure_domain = d\n[keys]\nunauthenticated = true\n" +
		"[replica]\ndata_folder = data\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0\n"
	is.NoErr(settings.Parse("control.ini", []byte(text), &settingspb.ControlSettings{}))
	entry := "[host]\nname = a\nfailure_domain = d\n[keys]\nunauthenticated = true\n[control]\naddresses = 127.0.0.1:1\n" +
		"[forwarding]\nframe_listen = 127.0.0.1:0\nagent_networks = 127.0.0.0/8\n"
	err := settings.Parse("entry.ini", []byte(entry), &settingspb.EntrySettings{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "entry.ini:5: keys.unauthenticated"))
}
