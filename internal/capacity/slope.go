package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Unit is the unit of a measured value.
type Unit string

// Units of measured values.
const (
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	Microseconds   Unit = "us"
	// MicroCore is a millionth of the processor time of one core.
	MicroCore    Unit = "ucore"
	Milliseconds Unit = "ms"
	PerSecond    Unit = "1/s"
)

// Slope is a measured slope with its count at the design size.
type Slope struct {
	// Name is unique; docs/CAPACITY-SLOPES.md refers to it.
	Name string `json:"name"`
	Unit Unit   `json:"unit"`
	// Per is the item that the sizes count.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Count is the number of items of a role at the design size, 0 if there is no
	// such number.
	Count float64 `json:"count"`
}

// AtSize returns the slope times the count, without the intercept.
func (s *Slope) AtSize() float64 { return s.Fit.Slope * s.Count }

// Quantiles describes a distribution of times, in milliseconds.
type Quantiles struct {
	Name    string  `json:"name"`
	Size    int     `json:"size"`
	Samples int     `json:"samples"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// Report holds the results of a run.
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

// series collects the points of a slope.
type series struct {
	name   string
	unit   Unit
	per    string
	count  float64
	points []Point
}

func (s *series) add(size, figure float64) {
	s.points = append(s.points, Point{Size: size, Value: figure})
}

// addSlopes fits each series and adds its slope to the report.
func (r *Report) addSlopes(all ...*series) error {
	for _, s := range all {
		fit, err := NewFit(s.points)
		if err != nil {
			return err
		}
		r.Slopes = append(r.Slopes, Slope{
			Name: s.name, Unit: s.unit, Per: s.per, Points: s.points, Fit: fit, Count: s.count,
		})
	}
	return nil
}
