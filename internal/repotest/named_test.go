package repotest

import (
	"go/ast"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// testWord finds tests by name anywhere in a page, in commands too.
	testWord  = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	codeSpan  = regexp.MustCompile("`([^`]+)`")
	slopeName = regexp.MustCompile("`([a-z]+(?:\\.[a-z]+)+)(\\.\\*)?`")
)

// testNamesByPackage returns the names of all tests, benchmarks and fuzz targets by package.
func testNamesByPackage(t *testing.T) map[string][]string {
	t.Helper()
	is := is.New(t)
	out := map[string][]string{}
	for _, pattern := range []string{"*/*_test.go", "internal/*/*_test.go", "platform/*/*_test.go"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			is.NoErr(err)
			pkg := filepath.Base(filepath.Dir(file))
			for _, match := range testNames.FindAllStringSubmatch(string(text), -1) {
				out[pkg] = append(out[pkg], match[1])
			}
		}
	}
	is.True(len(out) > 20) // found them
	return out
}

// TestMentionedTestsExist looks for every word of a page that has the form of a
// test's name. Commands may name tests by their beginning.
func TestMentionedTestsExist(t *testing.T) {
	is := is.New(t)
	all := testNamesByPackage(t)
	words := 0
	for _, pattern := range pagePatterns {
		pages, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, from := range pages {
			text, err := os.ReadFile(from)
			is.NoErr(err)
			for _, word := range testWord.FindAllString(string(text), -1) {
				words++
				begins := func(name string) bool { return strings.HasPrefix(name, word) }
				found := false
				for _, names := range all {
					found = found || slices.ContainsFunc(names, begins)
				}
				if !found {
					t.Errorf("%s names %s, with which no test begins", from, word)
				}
			}
		}
	}
	is.True(words > 100) // found them
}

// TestProofsNameTestsOfTheirPackages reads the column of tests in
// docs/PROOFS.md: parts between semicolons, whose tests are of the packages
// named in the same part, and of package test where none is.
func TestProofsNameTestsOfTheirPackages(t *testing.T) {
	all := testNamesByPackage(t)
	checked := 0
	for _, row := range strings.Split(page(t, "docs/PROOFS.md"), "\n") {
		cells := strings.Split(row, " | ")
		if !strings.HasPrefix(row, "| ") || len(cells) < 4 {
			continue
		}
		for _, part := range strings.Split(cells[2], ";") {
			var packages, names []string
			for _, match := range codeSpan.FindAllStringSubmatch(part, -1) {
				if testWord.MatchString(match[1]) {
					names = append(names, match[1])
				} else {
					packages = append(packages, filepath.Base(match[1]))
				}
			}
			if len(packages) == 0 {
				packages = []string{"test"}
			}
			for _, pkg := range packages {
				for _, name := range names {
					checked++
					if !hasTest(all[pkg], name) {
						t.Errorf("docs/PROOFS.md: package %s has no %s", pkg, name)
					}
				}
			}
		}
	}
	is.New(t).True(checked > 80) // found them
}

// hasTest looks for a name, or for a beginning that ends in a star.
func hasTest(names []string, want string) bool {
	beginning, isPattern := strings.CutSuffix(want, "*")
	return slices.ContainsFunc(names, func(name string) bool {
		return name == want || isPattern && strings.HasPrefix(name, beginning)
	})
}

// TestNamedSlopesAreMeasured looks for every slope that docs/CAPACITY.md names
// in the strings of the measurements, whole or as its beginning and its end.
func TestNamedSlopesAreMeasured(t *testing.T) {
	is := is.New(t)
	have := map[string]bool{}
	sources(t)["internal/capacity"].inspect(func(n ast.Node) {
		if e, ok := n.(ast.Expr); ok {
			if text, ok := literal(e); ok {
				have[text] = true
			}
		}
	})
	slopes := 0
	for _, match := range slopeName.FindAllStringSubmatch(page(t, "docs/CAPACITY.md"), -1) {
		slopes++
		name := match[1]
		last := strings.LastIndex(name, ".")
		composed := have[name[:last]] && have[name[last:]]
		if match[2] != "" {
			composed = slices.ContainsFunc(slices.Collect(maps.Keys(have)), func(s string) bool { return strings.HasPrefix(s, name+".") })
		}
		if !have[name] && !composed {
			t.Errorf("docs/CAPACITY.md names %s, which nothing measures", name)
		}
	}
	is.True(slopes > 50) // found them
}
