package repotest

import (
	"go/ast"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Layers of packages. A package imports only its own layer and lower ones.
const (
	layerAPI = iota
	layerDecision
	layerInternal
	layerPlatform
	layerCommand
)

func layer(name string) int {
	switch first, _, _ := strings.Cut(name, "/"); {
	case first == "cmd":
		return layerCommand
	case first == "platform" || first == "soak":
		return layerPlatform
	case first == "internal" || first == "test" || strings.Contains(name, "/internal/"):
		return layerInternal
	case first == "api":
		return layerAPI
	}
	return layerDecision
}

// forbiddenImports are prefixes of imports with side effects: sockets, files,
// processes, random numbers, logs. Decision packages get these as arguments.
var forbiddenImports = []string{"net", "os", "syscall", "unsafe", "log", "crypto/rand", "io/ioutil", "database", "go.uber.org", "github.com/uber-go", "github.com/quic-go", "github.com/sourcegraph", "golang.org/x/sys", "golang.org/x/net"}

// allowedImports are exceptions from forbiddenImports without I/O.
var allowedImports = []string{"net/netip"}

// clockCalls are the functions of package time that read the clock or wait.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// globalRandom lists functions of math/rand that use the global generator.
var globalRandom = []string{"Int", "IntN", "Intn", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "N", "Perm", "Shuffle", "NormFloat64", "ExpFloat64"}

func TestImportLayers(t *testing.T) {
	is := is.New(t)
	for name, s := range sources(t) {
		for _, imported := range s.imports() {
			local, ok := strings.CutPrefix(imported, module)
			if !ok {
				continue
			}
			if layer(local) > layer(name) {
				t.Errorf("%s imports %s, which is in a higher layer", name, local)
			}
			if layer(name) == layerCommand && local != "internal/cli" && layer(local) != layerPlatform {
				t.Errorf("%s imports %s; commands may import only internal/cli and platform", name, local)
			}
		}
	}
	is.Equal(layer("raft"), layerDecision)
	is.Equal(layer("reason/internal/page"), layerInternal) // a generator
}

func TestDecisionPackagesHaveNoSideEffects(t *testing.T) {
	decisions := 0
	for name, s := range sources(t) {
		if layer(name) != layerDecision {
			continue
		}
		decisions++
		for _, imported := range s.imports() {
			if hasPrefix(imported, forbiddenImports) && !hasPrefix(imported, allowedImports) {
				t.Errorf("%s imports %s", name, imported)
			}
		}
		s.inspect(func(n ast.Node) {
			if what := forbiddenUse(n); what != "" {
				t.Errorf("%s uses %s", name, what)
			}
		})
	}
	is.New(t).True(decisions >= 13) // sanity check
}

func hasPrefix(imported string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool {
		return imported == p || strings.HasPrefix(imported, p+"/")
	})
}

// forbiddenUse describes a construct that a decision package may not use, or returns
// "".
func forbiddenUse(n ast.Node) string {
	if _, ok := n.(*ast.GoStmt); ok {
		return "a goroutine"
	}
	sel, ok := n.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	pkg, ok := sel.X.(*ast.Ident)
	if !ok {
		return ""
	}
	switch {
	case pkg.Name == "time" && slices.Contains(clockCalls, sel.Sel.Name):
		return "a clock call: time." + sel.Sel.Name
	case pkg.Name == "rand" && slices.Contains(globalRandom, sel.Sel.Name):
		return "unseeded random numbers: rand." + sel.Sel.Name
	}
	return ""
}

// TestImportDiagramListsEveryPackage compares the diagram of CONTRIBUTING.md with the
// code: each package has one line, above all packages that it imports.
func TestImportDiagramListsEveryPackage(t *testing.T) {
	text := page(t, "CONTRIBUTING.md")
	_, after, found := strings.Cut(text, "<!-- imports -->")
	diagram, _, closed := strings.Cut(after, "<!-- end of imports -->")
	is.New(t).True(found && closed)
	row := map[string]int{}
	for i, line := range strings.Split(diagram, "\n") {
		if !strings.HasPrefix(line, "    ") {
			continue
		}
		for _, name := range strings.Fields(line) {
			row[name] = i
		}
	}
	all := sources(t)
	for name, s := range all {
		shortName := diagramName(name)
		if shortName == "" {
			continue
		}
		rowIndex, ok := row[shortName]
		if !ok {
			t.Errorf("the diagram of CONTRIBUTING.md lacks %s", shortName)
			continue
		}
		for _, imported := range s.imports() {
			local, ok := strings.CutPrefix(imported, module)
			if !ok {
				continue
			}
			if importRow, ok := row[diagramName(local)]; ok && importRow <= rowIndex {
				t.Errorf("the diagram has %s above %s, which imports it", local, name)
			}
		}
	}
	for name := range row {
		if !slices.ContainsFunc(keys(all), func(have string) bool { return diagramName(have) == name }) {
			t.Errorf("the diagram has %s, which is not a package", name)
		}
	}
}

// diagramName returns the name of a package in the diagram. It is empty for generators
// and test-only packages.
func diagramName(name string) string {
	if strings.Contains(name, "/internal/") || name == "internal/repotest" || name == "test" || name == "api" {
		return ""
	}
	return path.Base(name)
}

func keys(all map[string]*source) []string {
	var out []string
	for name := range all {
		out = append(out, name)
	}
	return out
}
