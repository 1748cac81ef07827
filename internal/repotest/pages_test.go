package repotest

import (
	"go/ast"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// developmentPackages lists packages that are not part of a deployment.
var developmentPackages = []string{
	"internal/backend", "internal/capacity", "internal/dev", "internal/experiment",
	"internal/faultproxy", "internal/loadgen", "internal/processtest",
}

// pagePatterns are the globs of the documentation pages.
var pagePatterns = []string{"*.md", "docs/*.md", "docs/design/*.md", "examples/*.md"}

// metricKinds are the methods of a tally.Scope that create a metric.
var metricKinds = []string{"Counter", "Gauge", "Timer", "Histogram"}

// logLevels are the methods of a zap.Logger that write a message.
var logLevels = []string{"Debug", "Info", "Warn", "Error"}

// firstCell matches a table row with a name in its first cell, or after a log level.
var firstCell = regexp.MustCompile("(?m)^\\| (?:(debug|info|warn|error) \\| )?`([^`]+)` \\|")

func deployedPackages(t *testing.T) []*source {
	t.Helper()
	var out []*source
	for name, s := range sources(t) {
		if (name == "platform" || strings.HasPrefix(name, "internal/")) && !slices.Contains(developmentPackages, name) {
			out = append(out, s)
		}
	}
	return out
}

// metricNames returns the names of metrics without their scopes: literal arguments of
// the methods that create them, constants with the prefix metric, and the values of
// the agent's table counterNames.
func metricNames(s *source) map[string]bool {
	out := map[string]bool{}
	for name, value := range s.constants() {
		if strings.HasPrefix(name, "metric") {
			out[value] = true
		}
	}
	s.inspect(func(n ast.Node) {
		if name, args := method(n); slices.Contains(metricKinds, name) && len(args) > 0 {
			if text, ok := literal(args[0]); ok {
				out[text] = true
			}
		}
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) == 0 || spec.Names[0].Name != "counterNames" {
			return
		}
		for _, element := range spec.Values[0].(*ast.CompositeLit).Elts {
			if text, ok := literal(element.(*ast.KeyValueExpr).Value); ok {
				out[text] = true
			}
		}
	})
	return out
}

func TestCountersPageIsComplete(t *testing.T) {
	is := is.New(t)
	var rows []string
	for _, match := range firstCell.FindAllStringSubmatch(page(t, "docs/COUNTERS.md"), -1) {
		rows = append(rows, match[2])
	}
	used := map[string]bool{}
	names := 0
	for _, s := range deployedPackages(t) {
		for name := range metricNames(s) {
			names++
			found := false
			for _, row := range rows {
				if row == name || strings.HasSuffix(row, "_"+name) {
					found, used[row] = true, true
				}
			}
			if !found {
				t.Errorf("docs/COUNTERS.md lacks %s of %s", name, s.name)
			}
		}
	}
	for _, row := range rows {
		if !used[row] {
			t.Errorf("docs/COUNTERS.md has %s, which no package counts", row)
		}
	}
	is.True(names > 50) // sanity check
}

func TestLogsPageIsComplete(t *testing.T) {
	is := is.New(t)
	rows := map[string][]string{}
	for _, match := range firstCell.FindAllStringSubmatch(page(t, "docs/LOGS.md"), -1) {
		rows[match[2]] = append(rows[match[2]], match[1])
	}
	used := map[string]bool{}
	for _, s := range deployedPackages(t) {
		constants := s.constants()
		s.inspect(func(n ast.Node) {
			level, args := method(n)
			if !slices.Contains(logLevels, level) || len(args) == 0 {
				return
			}
			text, ok := literal(args[0])
			if name, isName := args[0].(*ast.Ident); isName {
				text, ok = constants[name.Name]
			}
			if !ok || strings.HasPrefix(s.name, "internal/cli") && text == "draining" {
				return // a message of the built-in backend server
			}
			used[text] = true
			if !slices.Contains(rows[text], strings.ToLower(level)) {
				t.Errorf("docs/LOGS.md lacks %s %q of %s", strings.ToLower(level), text, s.name)
			}
		})
	}
	for text := range rows {
		if !used[text] {
			t.Errorf("docs/LOGS.md has %q, which no package writes", text)
		}
	}
	is.True(len(used) > 30) // sanity check
}

var (
	link    = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)\s]*)?\)`)
	heading = regexp.MustCompile(`(?m)^#+ (.+)$`)
	notSlug = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// TestLinksResolve checks every link between pages, including its heading.
func TestLinksResolve(t *testing.T) {
	is := is.New(t)
	links := 0
	for _, pattern := range pagePatterns {
		pages, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, from := range pages {
			text, err := os.ReadFile(from)
			is.NoErr(err)
			for _, match := range link.FindAllStringSubmatch(string(text), -1) {
				if strings.Contains(match[1], "://") {
					continue
				}
				links++
				if fault := checkLink(filepath.Join(filepath.Dir(from), match[1]), match[2]); fault != "" {
					t.Errorf("%s: %s%s: %s", from, match[1], match[2], fault)
				}
			}
		}
	}
	is.True(links > 20) // sanity check
}

func checkLink(to, anchor string) string {
	text, err := os.ReadFile(to)
	if info, statErr := os.Stat(to); statErr == nil && info.IsDir() && anchor == "" {
		return ""
	}
	if err != nil {
		return "no such file"
	}
	if anchor == "" {
		return ""
	}
	for _, match := range heading.FindAllStringSubmatch(string(text), -1) {
		slug := notSlug.ReplaceAllString(strings.ToLower(match[1]), "")
		if "#"+strings.ReplaceAll(slug, " ", "-") == anchor {
			return ""
		}
	}
	return "no such heading"
}

var (
	quotedTestName  = regexp.MustCompile("`(?:([a-z]+)\\.)?((?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9]*)`")
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)[A-Za-z0-9]+)\(`)
)

// TestNamedTestsExist checks every test name in backquotes on a page.
func TestNamedTestsExist(t *testing.T) {
	is := is.New(t)
	have := map[string]bool{}
	for _, pattern := range []string{"*/*_test.go", "internal/*/*_test.go", "platform/*/*_test.go"} {
		files, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			is.NoErr(err)
			for _, match := range testDeclaration.FindAllStringSubmatch(string(text), -1) {
				have[match[1]] = true
				have[filepath.Base(filepath.Dir(file))+"."+match[1]] = true
			}
		}
	}
	for _, pattern := range pagePatterns {
		pages, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, from := range pages {
			text, err := os.ReadFile(from)
			is.NoErr(err)
			for _, match := range quotedTestName.FindAllStringSubmatch(string(text), -1) {
				name := match[2]
				if match[1] != "" {
					name = match[1] + "." + name
				}
				if !have[name] {
					t.Errorf("%s has %s, which is not a test", from, name)
				}
			}
		}
	}
}

var conflictMarker = regexp.MustCompile(`(?m)^(<{7} |={7}$|>{7} )`)

// TestNoConflictMarkers looks for conflict markers in text files. In Go files they
// break the build.
func TestNoConflictMarkers(t *testing.T) {
	is := is.New(t)
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !slices.Contains([]string{".md", ".ini", ".proto", ".txt"}, filepath.Ext(path)) {
			return err
		}
		checked++
		text, err := os.ReadFile(path)
		if conflictMarker.Match(text) {
			t.Errorf("%s has a conflict marker", path)
		}
		return err
	})
	is.NoErr(err)
	is.True(checked > 20) // sanity check
}
