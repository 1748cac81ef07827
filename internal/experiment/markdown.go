package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// resultRow holds the results of a service that only differ in the seed.
type resultRow struct {
	site, scenario, policy, service string
	results                         []*ServiceResult
}

// tableRows groups the results into rows, in the order of the runs.
func (r *Result) tableRows() []*resultRow {
	var tableRows []*resultRow
	for _, run := range r.Runs {
		for i := range run.Services {
			s := &run.Services[i]
			key := resultRow{site: run.Site, scenario: run.Scenario, policy: run.Policy, service: s.Service}
			index := slices.IndexFunc(tableRows, func(row *resultRow) bool { return row.same(&key) })
			if index < 0 {
				index = len(tableRows)
				tableRows = append(tableRows, &key)
			}
			tableRows[index].results = append(tableRows[index].results, s)
		}
	}
	return tableRows
}

func (r *resultRow) same(other *resultRow) bool {
	return r.site == other.site && r.scenario == other.scenario && r.policy == other.policy && r.service == other.service
}

// columns are the columns of values in the table.
var columns = []struct {
	title string
	// digits is the number of decimals.
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

// WriteMarkdown writes a table for each site. A cell has the median over the
// seeds and, if the values differ, the lowest and highest one.
func (r *Result) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	site := ""
	for _, row := range r.tableRows() {
		if row.site != site {
			site = row.site
			writeTableHead(&b, site)
		}
		fmt.Fprintf(&b, "| %s | %s | %s |", row.scenario, row.policy, row.service)
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", formatRange(row.results, c.digits, c.value))
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeTableHead(b *strings.Builder, site string) {
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

// formatRange formats the median and the range of a value.
func formatRange(results []*ServiceResult, digits int, value func(*ServiceResult) float64) string {
	var values []float64
	for _, c := range results {
		values = append(values, value(c))
	}
	slices.Sort(values)
	lowest, highest := formatValue(values[0], digits), formatValue(values[len(values)-1], digits)
	text := formatValue(median(values), digits)
	if lowest == highest {
		return text
	}
	return fmt.Sprintf("%s (%s–%s)", text, lowest, highest)
}

func formatValue(v float64, digits int) string { return fmt.Sprintf("%.*f", digits, v) }

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
