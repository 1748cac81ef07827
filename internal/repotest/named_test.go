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
	// testWord matches test names anywhere in a page, including commands.
	testWord  = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	codeSpan  = regexp.MustCompile("`([^`]+)`")
	slopeName = regexp.MustCompile("`([a-z]+(?:\\.[a-z]+)+)(\\.\\*)?`")
)

// testNamesByPackage returns the names of tests, benchmarks and fuzz targets by
// package.
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
			for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
				out[pkg] = append(out[pkg], match[1])
			}
		}
	}
	is.True(len(out) > 20) // sanity check
	return out
}

// TestMentionedTestsExist expects that each word of a page in the form of a test name
// is the prefix of a test name. Commands may name tests by prefix.
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
				hasWordPrefix := func(name string) bool { return strings.HasPrefix(name, word) }
				found := false
				for _, names := range all {
					found = found || slices.ContainsFunc(names, hasWordPrefix)
				}
				if !found {
					t.Errorf("%s has %s, which is no prefix of a test name", from, word)
				}
			}
		}
	}
	is.True(words > 100) // sanity check
}

// TestProofsNameTestsOfTheirPackages checks the tests column of docs/PROOFS.md: its
// parts are separated by semicolons, and the tests of a part belong to the packages
// named there, by default to package test.
func TestProofsNameTestsOfTheirPackages(t *testing.T) {
	all := testNamesByPackage(t)
	checked := 0
	for _, line := range strings.Split(page(t, "docs/PROOFS.md"), "\n") {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| ") || len(cells) < 4 {
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
	is.New(t).True(checked > 80) // sanity check
}

// hasTest reports whether a test has the name, or the prefix if want ends in a star.
func hasTest(names []string, want string) bool {
	prefix, isPattern := strings.CutSuffix(want, "*")
	return slices.ContainsFunc(names, func(name string) bool {
		return name == want || isPattern && strings.HasPrefix(name, prefix)
	})
}

// TestNamedSlopesAreMeasured expects that every slope in the capacity pages is a string
// literal of the measurements, complete or composed of prefix and suffix.
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
	for _, match := range slopeName.FindAllStringSubmatch(page(t, "docs/CAPACITY.md")+page(t, "docs/CAPACITY-SLOPES.md"), -1) {
		slopes++
		name := match[1]
		last := strings.LastIndex(name, ".")
		composed := have[name[:last]] && have[name[last:]]
		if match[2] != "" {
			composed = slices.ContainsFunc(slices.Collect(maps.Keys(have)), func(s string) bool { return strings.HasPrefix(s, name+".") })
		}
		if !have[name] && !composed {
			t.Errorf("a capacity page has %s, which is not measured", name)
		}
	}
	is.True(slopes > 50) // sanity check
}
