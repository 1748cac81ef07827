package loadgen

import (
	"cmp"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth   = 20 * vg.Centimeter
	panelHeight = 8 * vg.Centimeter
	panelGap    = 4 * vg.Millimeter
	markSize    = 7 * vg.Inch / 72
	// maxMarkLength bounds the text of a mark, which is drawn vertically in a panel.
	maxMarkLength = panelHeight * 5 / 8
	// headroom leaves space for the legend above the highest value.
	headroom = 1.3
	// markMergeShare is the share of the run within which marks are merged, so that
	// their texts do not overlap.
	markMergeShare = 0.02
)

// plotFormats are the file extensions of a plot.
var plotFormats = []string{".svg", ".png"}

// ErrPlotFormat reports a file name with an unsupported extension.
var ErrPlotFormat = errors.New("plot file must end in .svg or .png")

// Mark is an event to show in a plot.
type Mark struct {
	// Seconds since the start of the run.
	Seconds float64
	Text    string
}

// Chart plots a run over time in four panels: answered requests per target, latency,
// broken flows and imbalance. Index n of each slice is window n.
type Chart struct {
	Title  string
	Window time.Duration
	// Answers counts the answered requests per target.
	Answers []map[string]int
	Stats   []WindowStats
	// Imbalance is NaN in windows with too few answered requests.
	Imbalance []float64
	Marks     []Mark
}

// CheckPlotFile returns ErrPlotFormat if Save does not support the format. It allows the
// check before a run.
func CheckPlotFile(file string) error {
	if !slices.Contains(plotFormats, strings.ToLower(filepath.Ext(file))) {
		return errors.Wrap(ErrPlotFormat, file)
	}
	return nil
}

// Chart returns the chart of the run with the marks.
func (r *Report) Chart(window time.Duration, marks []Mark) *Chart {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Chart{
		Title: r.Service, Window: window, Answers: r.Windows, Stats: r.Stats,
		Imbalance: r.windowImbalance(), Marks: marks,
	}
}

// windowImbalance returns the imbalance of each window, NaN with too few answered
// requests.
func (r *Report) windowImbalance() []float64 {
	out := make([]float64, len(r.Windows))
	for i, w := range r.Windows {
		ratio, ok := windowRatio(w, r.targets)
		if !ok {
			ratio = math.NaN()
		}
		out[i] = ratio
	}
	return out
}

// Save draws the chart. The extension of the file selects the format.
func (c *Chart) Save(file string) error {
	if err := CheckPlotFile(file); err != nil {
		return err
	}
	var panels [][]*plot.Plot
	for i, draw := range []func() (*plot.Plot, error){c.answers, c.latency, c.broken, c.imbalance} {
		p, err := draw()
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		p.X.Min, p.X.Max = 0, c.seconds()
		p.Y.Min = 0
		p.Y.Max *= headroom
		if err := addMarks(p, c.mergedMarks(), i == 0); err != nil {
			return errors.Wrap(err, "plot")
		}
		panels = append(panels, []*plot.Plot{p})
	}
	panels[0][0].Title.Text = c.Title
	panels[len(panels)-1][0].X.Label.Text = "seconds"
	if err := save(panels, file); err != nil {
		return errors.Wrap(err, "plot")
	}
	return nil
}

func save(panels [][]*plot.Plot, file string) (err error) {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, panelHeight*vg.Length(len(panels)), format)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: panelGap, PadRight: panelGap, PadTop: panelGap}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// seconds returns the end of the last window.
func (c *Chart) seconds() float64 {
	return float64(max(1, len(c.Answers), len(c.Stats))) * c.Window.Seconds()
}

// mergedMarks returns the marks within the run sorted by time, with close marks merged
// into one.
func (c *Chart) mergedMarks() []Mark {
	var out []Mark
	sorted := slices.SortedStableFunc(slices.Values(c.Marks), func(a, b Mark) int { return cmp.Compare(a.Seconds, b.Seconds) })
	for _, m := range sorted {
		if m.Seconds < 0 || m.Seconds > c.seconds() {
			continue
		}
		if n := len(out); n > 0 && m.Seconds-out[n-1].Seconds < markMergeShare*c.seconds() {
			out[n-1].Text += "; " + m.Text
			continue
		}
		out = append(out, m)
	}
	return out
}

func (c *Chart) answers() (*plot.Plot, error) {
	p := panel("answers a second")
	answered := map[string]int{}
	for _, w := range c.Answers {
		for target, n := range w {
			answered[target] += n
		}
	}
	for i, target := range allTargets(nil, answered) {
		values := make([]float64, len(c.Answers))
		for n, w := range c.Answers {
			values[n] = float64(w[target]) / c.Window.Seconds()
		}
		if err := c.line(p, values, i, target); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (c *Chart) latency() (*plot.Plot, error) {
	p := panel("latency, ms")
	p50, p99 := make([]float64, len(c.Stats)), make([]float64, len(c.Stats))
	for n, m := range c.Stats {
		p50[n], p99[n] = m.P50, m.P99
	}
	if err := c.line(p, p50, 0, "p50"); err != nil {
		return nil, err
	}
	return p, c.line(p, p99, 1, "p99")
}

func (c *Chart) broken() (*plot.Plot, error) {
	p := panel("broken flows")
	values := make([]float64, len(c.Stats))
	for n, m := range c.Stats {
		values[n] = float64(m.BrokenFlows)
	}
	return p, c.line(p, values, 0, "")
}

func (c *Chart) imbalance() (*plot.Plot, error) {
	p := panel("imbalance")
	return p, c.line(p, c.Imbalance, 0, "")
}

func panel(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Max = 1 // scale of an empty panel
	p.Legend.Top = true
	return p
}

// line draws one value per window at its middle. NaN values are skipped.
func (c *Chart) line(p *plot.Plot, values []float64, color int, name string) error {
	var points plotter.XYs
	for n, v := range values {
		if !math.IsNaN(v) {
			points = append(points, plotter.XY{X: (float64(n) + 0.5) * c.Window.Seconds(), Y: v})
		}
	}
	if len(points) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, dots.Color = plotutil.Color(color), plotutil.Color(color)
	line.Dashes = plotutil.Dashes(color / len(plotutil.DefaultColors))
	dots.Radius = vg.Points(1) // shows values between two NaN ones
	p.Add(line, dots)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// addMarks draws each mark as a vertical line, with its text beside it if text is set.
func addMarks(p *plot.Plot, marks []Mark, text bool) error {
	for _, m := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.Seconds, Y: p.Y.Min}, {X: m.Seconds, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
		if !text {
			continue
		}
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: m.Seconds, Y: p.Y.Min}},
			Labels: []string{m.Text},
		})
		if err != nil {
			return err
		}
		label.TextStyle[0].Rotation = math.Pi / 2
		label.TextStyle[0].Font.Size = markSize
		label.Offset.X = -markSize / 4 // left of the line
		label.Labels[0] = truncateText(m.Text, label.TextStyle[0].Width)
		p.Add(label)
	}
	return nil
}

// truncateText truncates a text to maxMarkLength.
func truncateText(text string, width func(string) vg.Length) string {
	runes := []rune(text)
	if width(text) <= maxMarkLength {
		return text
	}
	for len(runes) > 0 && width(string(runes)+"…") > maxMarkLength {
		runes = runes[:len(runes)-1]
	}
	return string(runes) + "…"
}
