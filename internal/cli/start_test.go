package cli_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
)

// A settings file that is a pipe holds the process up while it starts, so that
// a signal comes before the daemon is there.
func TestSignalDuringStart(t *testing.T) {
	for role, replace := range map[string][]string{
		"control": {
			"listen = 192.0.2.1:7100", "listen = 127.0.0.1:0", "listen = 192.0.2.1:7101", "listen = 127.0.0.1:0",
			"initial_voters =", ";initial_voters =",
		},
		"entry": {"192.0.2.20:7200", "127.0.0.1:0"},
		"agent": {"192.0.2.30:7300", "127.0.0.1:0", "127.0.0.1:7301", "127.0.0.1:0"},
	} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			path := roleFiles(t, role, replace...)
			text, err := os.ReadFile(path)
			is.NoErr(err)
			pipe := filepath.Join(filepath.Dir(path), "pipe.ini")
			is.NoErr(syscall.Mkfifo(pipe, 0o600))
			p := launch(t, role, "-c", pipe)
			writer := openForReader(t, pipe)
			is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
			_, err = writer.Write(text)
			is.NoErr(err)
			is.NoErr(writer.Close())
			is.Equal(p.exit(t), cli.ExitOK)
		})
	}
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
