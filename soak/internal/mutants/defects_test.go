package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDefectsFitTheCode checks that each defect applies to the current code.
func TestDefectsFitTheCode(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..", "..")
	names := map[string]bool{}
	for _, d := range defects {
		data, err := os.ReadFile(filepath.Join(root, d.file))
		is.NoErr(err)
		if strings.Count(string(data), d.old) != 1 {
			t.Errorf("%s: %s must contain the text to replace exactly once", d.name, d.file)
		}
		is.True(d.old != d.new && !names[d.name])
		names[d.name] = true
	}
	is.True(len(defects) >= 10)
}

func TestFirstViolation(t *testing.T) {
	is := is.New(t)
	is.Equal(firstViolation("seed 1: BROKEN; 3 faults\n  1.2 s  rule: what\nmore"), "1.2 s  rule: what")
	is.Equal(firstViolation("no such file\n"), "no such file")
}
