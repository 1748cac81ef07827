package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// row is the cells of one service that differ in their seed only.
type row struct {
	site, scenario, policy, service string
	cells                           []*ServiceResult
}

// rows groups the cells, in the order in which they ran.
func (r *Result) rows() []*row {
	var rows []*row
	for _, c := range r.Runs {
		for i := range c.Services {
			s := &c.Services[i]
			key := row{site: c.Site, scenario: c.Scenario, policy: c.Policy, service: s.Service}
			at := slices.IndexFunc(rows, func(x *row) bool { return x.same(&key) })
			if at < 0 {
				at = len(rows)
				rows = append(rows, &key)
			}
			rows[at].cells = append(rows[at].cells, s)
		}
	}
	return rows
}

func (r *row) same(other *row) bool {
	return r.site == other.site && r.scenario == other.scenario && r.policy == other.policy && r.service == other.service
}

// columns of the table, after the names.
var columns = []struct {
	title string
	// digits after the point.
	digits int
	value  func(*ServiceResult) float64
}{
	{"requests", 0, func(c *ServiceResult) float64 { return float64(c.Requests) }},
	{"broken flows", 0, func(c *ServiceResult) float64 { return float64(c.BrokenFlows) }},
	{"lost with host", 0, func(c *ServiceResult) float64 { return float64(c.LostWithHost) }},
	{"imbalance", 2, func(c *ServiceResult) float64 { return c.Imbalance }},
	{"imbalance p99", 2, func(c *ServiceResult) float64 { return c.ImbalanceP99 }},
	{"imbalance after start", 2, func(c *ServiceResult) float64 { return c.ImbalanceAfterStart }},
	{"refused", 0, func(c *ServiceResult) float64 { return float64(c.Refused) }},
	{"unknown", 0, func(c *ServiceResult) float64 { return float64(c.Unknown) }},
	{"failed", 0, func(c *ServiceResult) float64 { return float64(c.Failed) }},
	{"doubled", 0, func(c *ServiceResult) float64 { return float64(c.Doubled) }},
	{"misrouted", 0, func(c *ServiceResult) float64 { return float64(c.Misrouted) }},
	{"falsely not run", 0, func(c *ServiceResult) float64 { return float64(c.FalselyNotRun) }},
	{"p50 ms", 1, func(c *ServiceResult) float64 { return c.P50 }},
	{"p99 ms", 1, func(c *ServiceResult) float64 { return c.P99 }},
}

// WriteMarkdown writes a table for each site. A field is the median over the
// seeds, followed by the least and the greatest value where they differ.
func (r *Result) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	site := ""
	for _, x := range r.rows() {
		if x.site != site {
			site = x.site
			writeHead(&b, site)
		}
		fmt.Fprintf(&b, "| %s | %s | %s |", x.scenario, x.policy, x.service)
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", field(x.cells, c.digits, c.value))
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeHead(b *strings.Builder, site string) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	fmt.Fprintf(b, "### %s\n\n| scenario | policy | service |", site)
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", c.title)
	}
	b.WriteString("\n|---|---|---|")
	b.WriteString(strings.Repeat("---:|", len(columns)))
	b.WriteByte('\n')
}

// field is the median of a value over cells, with its range.
func field(cells []*ServiceResult, digits int, value func(*ServiceResult) float64) string {
	var values []float64
	for _, c := range cells {
		values = append(values, value(c))
	}
	slices.Sort(values)
	least, greatest := format(values[0], digits), format(values[len(values)-1], digits)
	text := format(median(values), digits)
	if least == greatest {
		return text
	}
	return fmt.Sprintf("%s (%s–%s)", text, least, greatest)
}

func format(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }

// median of sorted values; of an even number, the mean of the middle two.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
