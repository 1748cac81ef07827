package settings

import (
	"fmt"
	"slices"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Findings are all findings of one file, ordered by line. The loaders of this package return
// it as the error of a file that was read but is invalid.
type Findings []*configpb.Finding

// Error returns one line per finding in the form "file:line: text".
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.GetPlace()+": "+finding.GetText())
	}
	return strings.Join(lines, "\n")
}

// collector collects the findings of one file.
type collector struct {
	file     string
	findings []lineFinding
}

type lineFinding struct {
	line int
	// place overrides the file and line if it is not empty.
	place string
	text  string
}

func (c *collector) add(line int, format string, args ...any) {
	c.findings = append(c.findings, lineFinding{line: line, text: fmt.Sprintf(format, args...)})
}

func (c *collector) place(line int) string {
	return fmt.Sprintf("%s:%d", c.file, line)
}

// err returns the findings ordered by line, or nil if there are none.
func (c *collector) err() error {
	if len(c.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(c.findings, func(a, b lineFinding) int { return a.line - b.line })
	out := make(Findings, 0, len(c.findings))
	for _, f := range c.findings {
		place := f.place
		if place == "" {
			place = c.place(f.line)
		}
		out = append(out, &configpb.Finding{Place: place, Text: f.text})
	}
	return out
}
