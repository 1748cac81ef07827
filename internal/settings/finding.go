package settings

import (
	"fmt"
	"slices"
	"strings"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Findings are all faults of one file, ordered by line. It is the error that
// the loaders of this package return when the file was read but is faulty.
type Findings []*configpb.Finding

// Error has one line for each finding, "file:line: what is wrong".
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.GetPlace()+": "+finding.GetText())
	}
	return strings.Join(lines, "\n")
}

// collector gathers findings of one file by line.
type collector struct {
	file  string
	found []lineFinding
}

type lineFinding struct {
	line int
	// place is empty if the line says it all.
	place string
	text  string
}

func (c *collector) add(line int, format string, args ...any) {
	c.found = append(c.found, lineFinding{line: line, text: fmt.Sprintf(format, args...)})
}

func (c *collector) place(line int) string {
	return fmt.Sprintf("%s:%d", c.file, line)
}

// err returns nil or the findings in the order of their lines.
func (c *collector) err() error {
	if len(c.found) == 0 {
		return nil
	}
	slices.SortStableFunc(c.found, func(a, b lineFinding) int { return a.line - b.line })
	out := make(Findings, 0, len(c.found))
	for _, f := range c.found {
		place := f.place
		if place == "" {
			place = c.place(f.line)
		}
		out = append(out, &configpb.Finding{Place: place, Text: f.text})
	}
	return out
}
