package repotest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	rapidPath = "pgregory.net/rapid"
	seedPath  = module + "internal/fixedseed"
)

// TestPropertyTestsHaveAFixedSeed expects that each folder whose tests draw from
// rapid fixes its seed: it is random otherwise, and the verdict with it.
func TestPropertyTestsHaveAFixedSeed(t *testing.T) {
	is := is.New(t)
	draws, fixes := map[string]bool{}, map[string]bool{}
	is.NoErr(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			draws[filepath.Dir(path)] = draws[filepath.Dir(path)] || spec.Path.Value == `"`+rapidPath+`"`
			fixes[filepath.Dir(path)] = fixes[filepath.Dir(path)] || spec.Path.Value == `"`+seedPath+`"`
		}
		return nil
	}))
	for folder, drawn := range draws {
		if drawn && !fixes[folder] {
			t.Errorf("%s draws from rapid without %s", folder, seedPath)
		}
	}
}
