package cli_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
)

// asCommandEnv makes this test binary run as the command line, so that tests get
// real processes with signals and exit statuses.
const asCommandEnv = "EELGRASSWHARF_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommandEnv) != "" {
		os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a running command.
type process struct {
	cmd  *exec.Cmd
	logs *bufio.Scanner
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asCommandEnv+"=1")
	stderr, err := cmd.StderrPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return &process{cmd: cmd, logs: bufio.NewScanner(stderr)}
}

// waitForLine reads log lines until one has the message.
func (p *process) waitForLine(t *testing.T, message string) map[string]any {
	t.Helper()
	for p.logs.Scan() {
		var line map[string]any
		if json.Unmarshal(p.logs.Bytes(), &line) == nil && line["msg"] == message {
			return line
		}
		t.Log(p.logs.Text())
	}
	t.Fatalf("the process ended without %q", message)
	return nil
}

// exit waits for the process to exit and returns its exit status.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	for p.logs.Scan() {
		t.Log(p.logs.Text())
	}
	err := p.cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return p.cmd.ProcessState.ExitCode()
}

func backendArgs() []string {
	return []string{"backend", "--service", "lodgement", "--target", "lodgement-1"}
}

func TestSignalShutsDownGracefully(t *testing.T) {
	is := is.New(t)
	p := startProcess(t, backendArgs()...)
	line := p.waitForLine(t, "ready")
	is.Equal(line["role"], "backend")
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	is.Equal(p.exit(t), cli.ExitOK)
}

func TestSecondSignalExitsImmediately(t *testing.T) {
	is := is.New(t)
	p := startProcess(t, backendArgs()...)
	url := p.waitForLine(t, "ready")["url"].(string)
	res, err := http.Get(url + "/watch?ms=1")
	is.NoErr(err)
	defer res.Body.Close()
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitForLine(t, "draining")
	_, err = bufio.NewReader(res.Body).ReadString('\n') // the watch stream is still open
	is.NoErr(err)
	is.NoErr(p.cmd.Process.Signal(syscall.SIGINT))
	is.Equal(p.exit(t), cli.ExitFailure)
}

func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	got := expect(t, cli.ExitFailure, append(backendArgs(), "--listen", listener.Addr().String())...)
	is.Equal(strings.Count(got.stderr, "\n"), 1)
	is.True(strings.Contains(got.stderr, "address already in use"))
}

// writeRoleSettings creates the keys of a role and its example settings file with the
// given replacements.
func writeRoleSettings(t *testing.T, role string, replace ...string) string {
	t.Helper()
	is := is.New(t)
	keyDir := newKeys(t)
	expect(t, cli.ExitOK, "keys", "issue", keyDir, role, role+"-1", "--service", serviceOf(role))
	expect(t, cli.ExitOK, "keys", "issue", keyDir, "caller", "--service", "lodgement")
	text := strings.NewReplacer(replace...).Replace(run(t, "config", "example", role).stdout)
	path := filepath.Join(filepath.Dir(keyDir), role+".ini")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func serviceOf(role string) string {
	if role == "agent" {
		return "lodgement"
	}
	return ""
}

// expectStartFailure starts a role with its example settings and the replacements,
// expects it to fail with the message, and returns its standard error.
func expectStartFailure(t *testing.T, role, message string, replace ...string) (stderr string) {
	t.Helper()
	is := is.New(t)
	got := expect(t, cli.ExitFailure, role, "-c", writeRoleSettings(t, role, replace...))
	is.True(strings.Contains(got.stderr, message))
	return got.stderr
}

func TestDaemonAddressInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	expectStartFailure(t, "entry", "address already in use", "192.0.2.20:7200", listener.LocalAddr().String())
}

func TestMetricsAddressInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	expectStartFailure(t, "entry", "metrics.listen",
		"192.0.2.20:7200", "127.0.0.1:0", "listen = 127.0.0.1:0", "listen = "+listener.Addr().String())
}

func TestUnwritableDataDir(t *testing.T) {
	stderr := expectStartFailure(t, "control", "replica.data_folder", "data_folder = data", "data_folder = control.ini")
	is.New(t).Equal(strings.Count(stderr, "\n"), 1)
}

func TestLoadWithoutServer(t *testing.T) {
	is := is.New(t)
	dir := newKeys(t)
	got := expect(t, cli.ExitOK, "load", "--service", "lodgement", "--address", "127.0.0.1:1", "--rate", "0", "--sessions", "0",
		"--authority", filepath.Join(dir, "authority.pem"), "--duration", "1ms", "--json")
	var report struct{ Service string }
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(report.Service, "lodgement")
	got = expect(t, cli.ExitUsage, "load", "--service", "lodgement", "--address", "localhost",
		"--authority", filepath.Join(dir, "authority.pem"))
	got = expect(t, cli.ExitFailure, "load", "--service", "lodgement", "--address", "127.0.0.1:1", "--authority", "missing.pem")
}

// An invalid events file must not suppress the report.
func TestLoadMarksEvents(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.Equal(run(t, "keys", "init", filepath.Join(dir, "keys")).status, cli.ExitOK)
	events, plot := filepath.Join(dir, "events.txt"), filepath.Join(dir, "run.svg")
	args := []string{
		"load", "--service", "lodgement", "--address", "127.0.0.1:1", "--rate", "0", "--sessions", "0", "--duration", "1ms", "--window", "1h",
		"--authority", filepath.Join(dir, "keys", "authority.pem"), "--plot", plot, "--events", events,
	}
	line := func(at time.Time, text string) string {
		return at.Format("2006-01-02T15:04:05,999999999Z07:00") + " " + text + "\n\n"
	}
	now := time.Now()
	is.NoErr(os.WriteFile(events, []byte(line(now.Add(-time.Hour), "before")+line(now.Add(30*time.Minute), "drain lodgement-1")), 0o600))
	is.Equal(run(t, args...).status, cli.ExitOK)
	text, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "drain lodgement-1"))
	is.True(!strings.Contains(string(text), "before")) // before the run

	is.NoErr(os.WriteFile(events, []byte("yesterday drain\n"), 0o600))
	got := run(t, args...)
	is.Equal(got.status, cli.ExitFailure)
	is.True(strings.Contains(got.stderr, "events.txt:1"))
	is.True(strings.Contains(got.stdout, "service lodgement: 0 requests"))
}

// Each daemon logs that it is ready, with its listen addresses, and exits with
// success on a signal.
func TestDaemonsServeUntilSignal(t *testing.T) {
	for _, tt := range []struct {
		role  string
		bound []string
	}{
		{"control", []string{"link", "operator", "metrics"}},
		{"agent", []string{"frames", "announce", "metrics"}},
	} {
		t.Run(tt.role, func(t *testing.T) {
			is := is.New(t)
			p := startProcess(t, tt.role, "-c", writeRoleSettings(t, tt.role, loopbackSettings[tt.role]...))
			line := p.waitForLine(t, "ready")
			is.Equal(line["role"], tt.role)
			is.Equal(line["name"], tt.role+"-1")
			for _, field := range tt.bound {
				is.True(strings.HasPrefix(line[field].(string), "127.0.0.1:"))
				is.True(!strings.HasSuffix(line[field].(string), ":0"))
			}
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
}

func TestDevReportsLoad(t *testing.T) {
	is := is.New(t)
	got := expect(t, cli.ExitOK, "dev", "--duration", "500ms", "--rate", "20", "--sessions", "2",
		"--deadline", "30s", "--attempts", "100", "--retry-percent", "10000", "--json")
	var report struct {
		Requests int
		Outcomes map[string]int
	}
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report)) // only the report
	is.Equal(report.Outcomes["answered"], report.Requests)
	is.True(strings.Contains(got.stderr, "eelgrasswharf load --service "))
}
