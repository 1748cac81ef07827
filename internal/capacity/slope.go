package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Unit is what a figure counts.
type Unit string

// Units of figures.
const (
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	Microseconds   Unit = "us"
	// MicroCore is a millionth of one core, kept busy.
	MicroCore    Unit = "ucore"
	Milliseconds Unit = "ms"
	PerSecond    Unit = "1/s"
)

// Slope is one measured slope and what it comes to at the size of the letter.
type Slope struct {
	// Name is unique; the page refers to it.
	Name string `json:"name"`
	Unit Unit   `json:"unit"`
	// Per names what the sizes count.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Count is how many of Per a role has at the size of the letter, 0 if
	// that has no meaning.
	Count float64 `json:"count"`
}

// AtSize returns slope times count, without the intercept.
func (s *Slope) AtSize() float64 { return s.Fit.Slope * s.Count }

// Quantiles is a distribution of times that has no slope, in milliseconds.
type Quantiles struct {
	Name    string  `json:"name"`
	Size    int     `json:"size"`
	Samples int     `json:"samples"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Report is what a run measured.
type Report struct {
	Slopes    []Slope     `json:"slopes"`
	Quantiles []Quantiles `json:"quantiles"`
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Slopes) > 0 {
		fmt.Fprintln(t, "SLOPE\tFIGURE\tSTD ERR\tUNIT\tPER\tINTERCEPT\tCOUNT\tAT SIZE\tPOINTS")
	}
	for i := range r.Slopes {
		s := &r.Slopes[i]
		fmt.Fprintf(t, "%s\t%.4g\t%.2g\t%s\t%s\t%.4g\t%.4g\t%.4g\t%s\n",
			s.Name, s.Fit.Slope, s.Fit.StdErr, s.Unit, s.Per, s.Fit.Intercept, s.Count, s.AtSize(), pointsText(s.Points))
	}
	if len(r.Quantiles) > 0 {
		fmt.Fprintln(t, "\nTIME\tSUBSCRIBERS\tSAMPLES\tP50 MS\tP99 MS\tMAX MS")
	}
	for _, q := range r.Quantiles {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\n", q.Name, q.Size, q.Samples, q.P50, q.P99, q.Max)
	}
	return t.Flush()
}

func pointsText(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = fmt.Sprintf("%.4g:%.4g", p.Size, p.Value)
	}
	return strings.Join(parts, " ")
}

// series collects the points of one slope.
type series struct {
	name  string
	unit  Unit
	per   string
	count float64
	at    []Point
}

func (s *series) add(size, figure float64) { s.at = append(s.at, Point{Size: size, Value: figure}) }

// addSlopes fits each series and adds it to the report.
func (r *Report) addSlopes(all ...*series) error {
	for _, s := range all {
		fit, err := NewFit(s.at)
		if err != nil {
			return err
		}
		r.Slopes = append(r.Slopes, Slope{
			Name: s.name, Unit: s.unit, Per: s.per, Points: s.at, Fit: fit, Count: s.count,
		})
	}
	return nil
}
