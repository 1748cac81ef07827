package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
)

// result is the exit status and the output of one command.
type result struct {
	status         int
	stdout, stderr string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status := cli.Main(context.Background(), args, &stdout, &stderr)
	return result{status, stdout.String(), stderr.String()}
}

// expect runs a command and checks its exit status.
func expect(t *testing.T, status int, args ...string) result {
	t.Helper()
	got := run(t, args...)
	is.New(t).Equal(got.status, status)
	return got
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// newKeys creates the keys of a deployment and returns their directory.
func newKeys(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	expect(t, cli.ExitOK, "keys", "init", dir)
	return dir
}

func TestUsageErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown command":        {"controll"},
		"unknown flag":           {"entry", "--sttings", "a"},
		"no settings":            {"entry"},
		"too few args":           {"config", "check"},
		"unknown role":           {"config", "example", "broker"},
		"missing flags":          {"patch", "submit", "p.ini"},
		"bad key role":           {"keys", "issue", "folder", "broker", "b"},
		"bad secret":             {"keys", "secret", "prefer", "folder", "x"},
		"bad fault":              {"backend", "--service", "s", "--target", "t", "--fault-health", "odd"},
		"bad log level":          {"dev", "--log-level", "loud"},
		"bad plot of load":       {"load", "--service", "s", "--address", "127.0.0.1:1", "--authority", "a", "--plot", "run.gif"},
		"bad plot of dev":        {"dev", "--duration", "1s", "--plot", "run"},
		"bad plot of experiment": {"experiment", "experiment.ini", "--plot", "run.gif"},
		"events, no plot":        {"load", "--service", "s", "--address", "127.0.0.1:1", "--authority", "a", "--events", "e"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := expect(t, cli.ExitUsage, args...)
			is.True(strings.HasPrefix(got.stderr, "eelgrasswharf"))
			is.Equal(strings.Count(got.stderr, "\n"), 1) // one line
		})
	}
}

func TestEveryCommandHasHelpWithExample(t *testing.T) {
	for _, args := range []string{
		"", "control", "entry", "agent", "config", "config check", "config example", "config show",
		"patch", "patch submit", "patch show", "status", "replica", "replica add", "replica promote",
		"replica remove", "grants", "grants retention", "keys", "keys init", "keys issue", "keys secret", "keys secret add",
		"keys secret prefer", "keys secret remove", "keys authority", "keys authority add",
		"keys authority prefer", "keys authority remove", "keys inspect", "backend", "load", "dev", "experiment",
		"measure",
	} {
		t.Run(args, func(t *testing.T) {
			is := is.New(t)
			got := expect(t, cli.ExitOK, append(strings.Fields(args), "--help")...)
			is.True(strings.Contains(got.stdout, "Examples:\n  "))
		})
	}
}

func TestConfigExampleIsAccepted(t *testing.T) {
	for _, role := range []string{"control", "entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			example := expect(t, cli.ExitOK, "config", "example", role)
			path := write(t, example.stdout)
			got := expect(t, cli.ExitOK, "config", "check", path)
			got = expect(t, cli.ExitOK, "config", "check", "--json", path)
			var report struct {
				Role     string
				Findings []struct{ Place, Text string }
			}
			is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
			is.Equal(report.Role, role)
			is.Equal(len(report.Findings), 0)
		})
	}
}

func TestConfigCheckFindings(t *testing.T) {
	is := is.New(t)
	example := run(t, "config", "example", "entry").stdout
	path := write(t, strings.Replace(example, "failure_domain = oke-ado", "failure_domian = oke-ado", 1))
	got := expect(t, cli.ExitFailure, "config", "check", path)
	is.True(strings.Contains(got.stdout, path+":"))
	is.True(strings.Contains(got.stdout, `did you mean "failure_domain"?`))
	is.Equal(got.stderr, "")
	got = expect(t, cli.ExitFailure, "config", "check", "--json", path)
	is.True(strings.Contains(got.stdout, `"place": "`+path))
	got = expect(t, cli.ExitFailure, "config", "check", "--role", "agent", path)
	got = expect(t, cli.ExitFailure, "config", "check", filepath.Join(t.TempDir(), "missing.ini"))
	is.Equal(strings.Count(got.stderr, "\n"), 1)
}

func TestConfigCheckOfPatches(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"put":               {"[service lodgement]\naddresses = 192.0.2.80:443\nslots = 4\n", cli.ExitOK},
		"put without slots": {"[service lodgement]\naddresses = 192.0.2.80:443\n", cli.ExitFailure},
		"remove":            {"[remove lodgement]\n", cli.ExitOK},
		"release":           {"[release 192.0.2.80:443]\n", cli.ExitOK},
		"release nothing":   {"[release]\n", cli.ExitFailure},
		"second is invalid": {"[remove old]\n[service lodgement]\naddresses = 192.0.2.80:443\n", cli.ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := write(t, c.text)
			got := expect(t, c.status, "config", "check", path)
			is.Equal(got.stderr, "") // recognized as a patch
			if c.status == cli.ExitFailure {
				is.True(strings.Contains(got.stdout, path+":"))
			}
		})
	}
}

// Findings have a file and line even if the section that determines the role is
// misspelt or missing.
func TestConfigCheckWithoutRoleSection(t *testing.T) {
	is := is.New(t)
	example := run(t, "config", "example", "control").stdout
	path := write(t, strings.Replace(example, "[replica]", "[replca]", 1))
	got := expect(t, cli.ExitFailure, "config", "check", path)
	is.True(strings.Contains(got.stdout, `: replca: unknown section; did you mean "replica"?`))
	is.True(strings.HasPrefix(got.stdout, path+":"))
	is.Equal(got.stderr, "")

	path = write(t, "[host]\nname = a\n")
	got = expect(t, cli.ExitFailure, "config", "check", path)
	is.True(strings.HasPrefix(got.stdout, path+":1: no section identifies the role"))
	got = expect(t, cli.ExitFailure, "config", "check", "--json", path)
	is.True(strings.Contains(got.stdout, `"place": "`+path+`:1"`))
}

func TestDaemonReportsUnreadableFiles(t *testing.T) {
	is := is.New(t)
	path := write(t, run(t, "config", "example", "entry").stdout)
	got := expect(t, cli.ExitFailure, "entry", "-c", path)
	is.True(strings.Contains(got.stderr, "keys.authority"))
	is.True(strings.Contains(got.stderr, "no such file or directory"))
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	dir := newKeys(t)
	expect(t, cli.ExitFailure, "keys", "init", dir) // never overwrites
	got := expect(t, cli.ExitOK, "keys", "issue", dir, "agent", "agent-1", "--service", "lodgement", "--json")
	var files struct{ Certificate string }
	is.NoErr(json.Unmarshal([]byte(got.stdout), &files))
	got = expect(t, cli.ExitOK, "keys", "inspect", files.Certificate)
	is.True(strings.Contains(got.stdout, "agent-1"))
	is.True(strings.Contains(got.stdout, "lodgement"))
	got = expect(t, cli.ExitOK, "keys", "secret", "add", dir)
	id := strings.TrimSpace(got.stdout)
	expect(t, cli.ExitOK, "keys", "secret", "prefer", dir, id)
	got = run(t, "keys", "inspect", filepath.Join(dir, "data-secrets"))
	is.True(strings.Contains(got.stdout, "IDs ["+id+" "))
	expect(t, cli.ExitOK, "keys", "secret", "remove", dir, "0")
	expect(t, cli.ExitFailure, "keys", "secret", "remove", dir, "0")
	expect(t, cli.ExitUsage, "keys", "issue", dir, "entry", "entry-1", "--ip", "localhost")
}

func TestKeysAuthority(t *testing.T) {
	is := is.New(t)
	dir := newKeys(t)
	expect(t, cli.ExitFailure, "keys", "authority", "prefer", dir) // no second authority yet
	expect(t, cli.ExitOK, "keys", "authority", "add", dir)
	expect(t, cli.ExitFailure, "keys", "authority", "remove", dir) // the new one does not sign yet
	expect(t, cli.ExitOK, "keys", "authority", "prefer", dir)
	expect(t, cli.ExitOK, "keys", "issue", dir, "entry", "entry-1")
	got := expect(t, cli.ExitOK, "keys", "authority", "remove", dir, "--json")
	is.True(strings.Contains(got.stdout, dir))
	got = run(t, "keys", "inspect", filepath.Join(dir, "authority.pem"))
	is.Equal(strings.Count(got.stdout, "\n"), 1)
}
