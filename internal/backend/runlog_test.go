package backend

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestRunLogIsPersistent(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	for restarts := range 3 {
		l, err := OpenRunLog(path)
		is.NoErr(err)
		is.Equal(l.Count("two\nlines"), restarts)
		is.NoErr(l.add("two\nlines"))
		is.Equal(l.Count("two\nlines"), restarts+1)
		is.Equal(l.Count("other"), 0)
	}
}

func TestInvalidRunLogIsRefused(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	is.NoErr(os.WriteFile(path, []byte("no quotes\n"), runLogFileMode))
	_, err := OpenRunLog(path)
	is.True(errors.Is(err, ErrRunLog))
	_, err = OpenRunLog(t.TempDir())
	is.True(errors.Is(err, ErrRunLog))
}
