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

// TestPropertyTestsHaveAFixedSeed expects that each directory whose tests use rapid
// fixes its seed, so that results are reproducible.
func TestPropertyTestsHaveAFixedSeed(t *testing.T) {
	is := is.New(t)
	usesRapid, fixesSeed := map[string]bool{}, map[string]bool{}
	is.NoErr(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			usesRapid[filepath.Dir(path)] = usesRapid[filepath.Dir(path)] || spec.Path.Value == `"`+rapidPath+`"`
			fixesSeed[filepath.Dir(path)] = fixesSeed[filepath.Dir(path)] || spec.Path.Value == `"`+seedPath+`"`
		}
		return nil
	}))
	for dir, uses := range usesRapid {
		if uses && !fixesSeed[dir] {
			t.Errorf("%s uses rapid without %s", dir, seedPath)
		}
	}
}
