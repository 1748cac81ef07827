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

// onFreePorts makes the example settings of each role fit for loopback.
var onFreePorts = map[string][]string{
	"control": {
		"listen = 192.0.2.1:7100", "listen = 127.0.0.1:0", "listen = 192.0.2.1:7101", "listen = 127.0.0.1:0",
		"initial_voters =", ";initial_voters =",
	},
	"entry": {"192.0.2.20:7200", "127.0.0.1:0"},
	"agent": {"192.0.2.30:7300", "127.0.0.1:0", "127.0.0.1:7301", "127.0.0.1:0"},
}

// heldUp starts a daemon whose settings file is a pipe, which holds the process
// up while it starts. It returns the settings and the end to write them to.
func heldUp(t *testing.T, role string) (p *process, text []byte, writer *os.File) {
	t.Helper()
	is := is.New(t)
	path := roleFiles(t, role, onFreePorts[role]...)
	text, err := os.ReadFile(path)
	is.NoErr(err)
	pipe := filepath.Join(filepath.Dir(path), "pipe.ini")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	p = launch(t, role, "-c", pipe)
	return p, text, openForReader(t, pipe)
}

// The signal comes before the daemon is there.
func TestSignalDuringStart(t *testing.T) {
	for role := range onFreePorts {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			p, text, writer := heldUp(t, role)
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			_, err := writer.Write(text)
			is.NoErr(err)
			is.NoErr(writer.Close())
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
}

// The second signal ends each role at once, whatever holds it up. Nothing but a
// start holds an entry host up: it has no request in flight and no session.
func TestSecondSignalEndsEachRoleAtOnce(t *testing.T) {
	for role := range onFreePorts {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			p, _, writer := heldUp(t, role)
			defer writer.Close()
			// Two of one kind might be merged into one.
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(p.cmd.Process.Signal(syscall.SIGINT))
			is.Equal(p.exit(t), cli.ExitFailure)
		})
	}
}

// A control host that serves waits for an operator's call in progress, and the
// second signal ends the wait.
func TestSecondSignalEndsControlHostAtOnce(t *testing.T) {
	is := is.New(t)
	path := roleFiles(t, "control", onFreePorts["control"]...)
	p := launch(t, "control", "-c", path)
	operator := p.awaitLine(t, "ready")["operator"].(string)
	keyDir := filepath.Join(filepath.Dir(path), "keys")
	files, err := keys.Issue(keyDir, keys.RoleOperator, "ada", "", nil, time.Hour)
	is.NoErr(err)
	creds, err := keys.Load(files)
	is.NoErr(err)
	conn, err := tls.Dial("tcp", operator, creds.ClientTLS(keys.RoleControl))
	is.NoErr(err)
	defer conn.Close()
	// The answer shows that the call has begun; its body never comes.
	_, err = io.WriteString(conn, "POST /v1/patches HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	is.NoErr(err)
	is.True(strings.HasPrefix(line, "HTTP/1.1 100 "))

	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	p.awaitLine(t, "control host stopping")
	is.NoErr(p.cmd.Process.Signal(syscall.SIGINT))
	is.Equal(p.exit(t), cli.ExitFailure)
}

// openForReader opens a pipe for writing once another process reads it.
func openForReader(t *testing.T, pipe string) *os.File {
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

// Each role says when it starts and when it stops, and why.
func TestStartAndStopAreLogged(t *testing.T) {
	for role := range onFreePorts {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			path := roleFiles(t, role, onFreePorts[role]...)
			p := launch(t, role, "-c", path)
			line := p.awaitLine(t, "start")
			is.Equal(line["role"], role)
			is.Equal(line["settings"], path)
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			line = p.awaitLine(t, "stop")
			is.Equal(line["role"], role)
			is.Equal(line["error"], nil)
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
}
