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
	dir := t.TempDir()
	is.NoErr(os.Symlink(self, filepath.Join(dir, binaryName)))
	t.Setenv("PATH", dir)
	is.Equal(invocation(), binaryName)
}

func TestInvocationOfGoRun(t *testing.T) {
	is := is.New(t)
	is.True(builtByGoRun("/tmp/go-build123/b001/exe/eelgrasswharf"))
	is.True(!builtByGoRun("/usr/local/bin/eelgrasswharf"))
}

// A shell reads a quoted word as the original one.
func TestShellReadsQuotedWord(t *testing.T) {
	is := is.New(t)
	for _, word := range []string{"plain", "", "two words", "it's", "$HOME", "a;b", "*", "~/keys", "a\"b", `a\b`} {
		out, err := exec.CommandContext(t.Context(), "sh", "-c", "printf %s "+quote(word)).Output()
		is.NoErr(err)
		is.Equal(string(out), word)
	}
}
