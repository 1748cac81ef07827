package backend

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestRunLogOutlivesTheServer(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	for life := range 3 {
		l, err := OpenRunLog(path)
		is.NoErr(err)
		is.Equal(l.Count("two\nlines"), life)
		is.NoErr(l.add("two\nlines"))
		is.Equal(l.Count("two\nlines"), life+1)
		is.Equal(l.Count("other"), 0)
	}
}

func TestDamagedRunLogIsRefused(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	is.NoErr(os.WriteFile(path, []byte("no quotes\n"), runLogMode))
	_, err := OpenRunLog(path)
	is.True(errors.Is(err, ErrRunLog))
	_, err = OpenRunLog(t.TempDir())
	is.True(errors.Is(err, ErrRunLog))
}
