package capacity

import (
	"math"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		points []Point
		want   Fit
	}{
		{"exact line", []Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}}, Fit{Slope: 2, Intercept: 3}},
		{"flat", []Point{{1, 4}, {2, 4}, {3, 4}}, Fit{Intercept: 4}},
		// Residuals -0.5, 1, -0.5: squares sum to 1.5 over one degree of freedom;
		// squared deviations of the sizes sum to 2.
		{"residue", []Point{{0, 0}, {1, 2}, {2, 1}}, Fit{Slope: 0.5, Intercept: 0.5, StdErr: math.Sqrt(0.75)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got, err := NewFit(tc.points)
			is.NoErr(err)
			is.True(almostEqual(got.Slope, tc.want.Slope))
			is.True(almostEqual(got.Intercept, tc.want.Intercept))
			is.True(almostEqual(got.StdErr, tc.want.StdErr))
		})
	}
}

func TestFitNeedsPoints(t *testing.T) {
	for _, tc := range []struct {
		name   string
		points []Point
	}{
		{"none", nil},
		{"two", []Point{{1, 1}, {2, 2}}},
		{"one size", []Point{{3, 1}, {3, 2}, {3, 3}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewFit(tc.points)
			is.New(t).True(errors.Is(err, ErrTooFewPoints))
		})
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
