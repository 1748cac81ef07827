package loadgen

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlot(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "run.svg")
	r := &Report{
		Service:   "lodgement",
		PerTarget: map[string]int{"l-1": 3, "l-2": 1},
		Windows:   []map[string]int{{"l-1": 1}, nil, {"l-1": 2, "l-2": 1}},
	}
	is.NoErr(Plot(r, time.Second, path))
	info, err := os.Stat(path)
	is.NoErr(err)
	is.True(info.Size() > 0)
	marked := filepath.Join(t.TempDir(), "marked.svg")
	is.NoErr(PlotWindows("marked", r.Windows, time.Second, []Mark{{Seconds: 1.5, Text: "l-1 drains"}}, marked))
	text, err := os.ReadFile(marked)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "l-1 drains"))
	is.True(Plot(r, time.Second, filepath.Join(t.TempDir(), "run.unknown")) != nil)
}
