package cli_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// loopbackSettings replaces the addresses of each role's example settings by free
// loopback ports.
var loopbackSettings = map[string][]string{
	"control": {
		"listen = 192.0.2.1:7100", "listen = 127.0.0.1:0", "listen = 192.0.2.1:7101", "listen = 127.0.0.1:0",
		"initial_voters =", ";initial_voters =",
	},
	"entry": {"192.0.2.20:7200", "127.0.0.1:0"},
	"agent": {"192.0.2.30:7300", "127.0.0.1:0", "127.0.0.1:7301", "127.0.0.1:0"},
}

// startBlocked starts a daemon whose settings file is a pipe, so that its startup
// blocks. It returns the settings and the pipe to write them to.
func startBlocked(t *testing.T, role string) (p *process, text []byte, writer *os.File) {
	t.Helper()
	is := is.New(t)
	path := writeRoleSettings(t, role, loopbackSettings[role]...)
	text, err := os.ReadFile(path)
	is.NoErr(err)
	pipe := filepath.Join(filepath.Dir(path), "pipe.ini")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	p = startProcess(t, role, "-c", pipe)
	return p, text, openPipe(t, pipe)
}

// A signal during startup ends the process gracefully.
func TestSignalDuringStart(t *testing.T) {
	for role := range loopbackSettings {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			p, text, writer := startBlocked(t, role)
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			_, err := writer.Write(text)
			is.NoErr(err)
			is.NoErr(writer.Close())
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
}

// A second signal ends each role immediately while its startup blocks.
func TestSecondSignalExitsDuringStart(t *testing.T) {
	for role := range loopbackSettings {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			p, _, writer := startBlocked(t, role)
			defer writer.Close()
			// Two signals of one kind may be merged into one.
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(p.cmd.Process.Signal(syscall.SIGINT))
			is.Equal(p.exit(t), cli.ExitFailure)
		})
	}
}

// On shutdown a control host waits for an operator's call in progress; a second
// signal ends the wait.
func TestSecondSignalExitsDuringOperatorCall(t *testing.T) {
	is := is.New(t)
	path := writeRoleSettings(t, "control", loopbackSettings["control"]...)
	p := startProcess(t, "control", "-c", path)
	operator := p.waitForLine(t, "ready")["operator"].(string)
	keyDir := filepath.Join(filepath.Dir(path), "keys")
	files, err := keys.Issue(keyDir, keys.RoleOperator, "ada", "", nil, time.Hour)
	is.NoErr(err)
	creds, err := keys.Load(files)
	is.NoErr(err)
	conn, err := tls.Dial("tcp", operator, creds.ClientTLS(keys.RoleControl))
	is.NoErr(err)
	defer conn.Close()
	// The 100 response shows that the call is in progress; its body is never sent.
	_, err = io.WriteString(conn, "POST /v1/patches HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	is.NoErr(err)
	is.True(strings.HasPrefix(line, "HTTP/1.1 100 "))

	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	p.waitForLine(t, "control host stopping")
	is.NoErr(p.cmd.Process.Signal(syscall.SIGINT))
	is.Equal(p.exit(t), cli.ExitFailure)
}

// openPipe opens a pipe for writing once another process reads it.
func openPipe(t *testing.T, pipe string) *os.File {
	t.Helper()
	for {
		f, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return f
		}
		if !errors.Is(err, syscall.ENXIO) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// Each role logs its start with the settings file and its stop with the error.
func TestStartAndStopAreLogged(t *testing.T) {
	for role := range loopbackSettings {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			path := writeRoleSettings(t, role, loopbackSettings[role]...)
			p := startProcess(t, role, "-c", path)
			line := p.waitForLine(t, "start")
			is.Equal(line["role"], role)
			is.Equal(line["settings"], path)
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			line = p.waitForLine(t, "stop")
			is.Equal(line["role"], role)
			is.Equal(line["error"], nil)
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
}
