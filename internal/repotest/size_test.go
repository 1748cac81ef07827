package repotest

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Limits in lines. Test functions have no limit: the length of a table test depends on
// its cases.
const (
	maxFile     = 500
	maxFunction = 60
)

// TestFileAndFunctionLengths checks every file except generated code, and every
// function outside tests.
func TestFileAndFunctionLengths(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		return checkSize(t, path)
	})
	is.New(t).NoErr(err)
}

func checkSize(t *testing.T, path string) error {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if lines := bytes.Count(text, []byte("\n")); lines > maxFile {
		t.Errorf("%s has %d lines, %d at most", path, lines, maxFile)
	}
	if strings.HasSuffix(path, "_test.go") {
		return nil
	}
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, text, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok {
			continue
		}
		if lines := set.Position(f.End()).Line - set.Position(f.Pos()).Line + 1; lines > maxFunction {
			t.Errorf("%s: %s has %d lines, %d at most", path, f.Name.Name, lines, maxFunction)
		}
	}
	return nil
}
