package capacity

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line fitted to measured points.
type Fit struct {
	Intercept, Slope float64
	// Residual is the root mean square distance of the points from the line.
	Residual float64
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine fits a line by least squares.
func fitLine(xs, ys []float64) Fit {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope}
	squares := 0.0
	for n := range xs {
		distance := ys[n] - fit.At(xs[n])
		squares += distance * distance
	}
	fit.Residual = math.Sqrt(squares / float64(len(xs)))
	return fit
}

func median(values []float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return stat.Quantile(0.5, stat.Empirical, sorted, nil)
}

func maxOf(values []float64) float64 {
	out := 0.0
	for _, v := range values {
		out = math.Max(out, v)
	}
	return out
}
