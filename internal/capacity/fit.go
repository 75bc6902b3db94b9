package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line fitted to the points of a series.
type Fit struct {
	Intercept, Slope float64
	// Residual is the root mean square of the vertical distances from the line.
	Residual float64
	// Mean of the values.
	Mean float64
}

// FitLine fits a line by least squares. A single point gives a constant.
func FitLine(points []Point) Fit {
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Size, p.Value
	}
	f := Fit{Mean: stat.Mean(y, nil)}
	f.Intercept = f.Mean
	if len(points) > 1 {
		f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	}
	var sum float64
	for i := range x {
		d := y[i] - f.At(x[i])
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / float64(len(x)))
	return f
}

// At evaluates the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// RelativeResidual is the residual as a fraction of the mean.
func (f Fit) RelativeResidual() float64 {
	if f.Mean == 0 {
		return 0
	}
	return f.Residual / math.Abs(f.Mean)
}
