package capacity

import (
	"math"

	"github.com/go-faster/errors"
)

// ErrTooFewPoints reports fewer than three points or points of only one size.
var ErrTooFewPoints = errors.New("too few points for a fit")

// Point is a measured value at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"figure"`
}

// Fit is a least-squares line.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// StdErr is the standard error of Slope.
	StdErr float64 `json:"std_err"`
}

// NewFit fits a line. Errors: ErrTooFewPoints.
func NewFit(points []Point) (Fit, error) {
	const least = 3 // with two points the standard error is undefined
	n := float64(len(points))
	if len(points) < least {
		return Fit{}, errors.Wrapf(ErrTooFewPoints, "%d points", len(points))
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
	}
	if sxx == 0 {
		return Fit{}, errors.Wrap(ErrTooFewPoints, "all of the same size")
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = meanY - f.Slope*meanX
	var residual float64
	for _, p := range points {
		d := p.Value - f.At(p.Size)
		residual += d * d
	}
	f.StdErr = math.Sqrt(residual / (n - 2) / sxx)
	return f, nil
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }
