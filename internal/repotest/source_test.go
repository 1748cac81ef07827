package repotest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root   = "../.."
	module = "eelgrasswharf.example/eelgrasswharf/"
)

// source is the code of one package, without tests.
type source struct {
	// name is the directory relative to the root.
	name  string
	files []*ast.File
}

// sources parses every package of the repository, by name.
func sources(t *testing.T) map[string]*source {
	t.Helper()
	is := is.New(t)
	out := map[string]*source{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if out[name] == nil {
			out[name] = &source{name: name}
		}
		out[name].files = append(out[name].files, file)
		return nil
	})
	is.NoErr(err)
	is.True(len(out) > 10) // sanity check
	return out
}

// imports returns the imports of the package, sorted.
func (s *source) imports() []string {
	var out []string
	for _, file := range s.files {
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err == nil {
				out = append(out, path)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// inspect calls visit for each node of the package.
func (s *source) inspect(visit func(ast.Node)) {
	for _, file := range s.files {
		ast.Inspect(file, func(n ast.Node) bool {
			if n != nil {
				visit(n)
			}
			return true
		})
	}
}

// constants returns the string constants of the package.
func (s *source) constants() map[string]string {
	out := map[string]string{}
	s.inspect(func(n ast.Node) {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return
		}
		for i, value := range spec.Values {
			if text, ok := literal(value); ok && i < len(spec.Names) {
				out[spec.Names[i].Name] = text
			}
		}
	})
	return out
}

func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// method returns the name and arguments of a method call.
func method(n ast.Node) (string, []ast.Expr) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return "", nil
	}
	if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
		return sel.Sel.Name, call.Args
	}
	return "", nil
}

func page(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	is.New(t).NoErr(err)
	return string(text)
}
