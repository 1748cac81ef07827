package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestInvocationByName(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	folder := t.TempDir()
	is.NoErr(os.Symlink(self, filepath.Join(folder, binaryName)))
	t.Setenv("PATH", folder)
	is.Equal(invocation(), binaryName)
}

func TestInvocationOfGoRun(t *testing.T) {
	is := is.New(t)
	is.True(madeByGoRun("/tmp/go-build123/b001/exe/eelgrasswharf"))
	is.True(!madeByGoRun("/usr/local/bin/eelgrasswharf"))
}

// Whatever is printed for pasting reaches the command as it was meant.
func TestQuoteIsUndoneByShell(t *testing.T) {
	is := is.New(t)
	for _, word := range []string{"plain", "", "two words", "it's", "$HOME", "a;b", "*", "~/keys", "a\"b", `a\b`} {
		out, err := exec.CommandContext(t.Context(), "sh", "-c", "printf %s "+quote(word)).Output()
		is.NoErr(err)
		is.Equal(string(out), word)
	}
}
