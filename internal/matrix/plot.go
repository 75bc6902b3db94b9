package matrix

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotSpec describes a plot of one value of the cells over the load.
type plotSpec struct {
	fileName, title, yLabel string
	value                   func(c Cell) float64
}

// WritePlots plots the goodput and the attainment of each class over the load, for each
// condition, and writes the plots as SVG and PNG files into a directory.
func (r *Result) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "write plots")
	}
	for _, condition := range r.measuredConditions() {
		for _, spec := range r.plotSpecs() {
			if err := r.writePlot(dir, condition, spec); err != nil {
				return errors.Wrap(err, "write plots")
			}
		}
	}
	return nil
}

func (r *Result) measuredConditions() []Condition {
	var conditions []Condition
	for _, c := range r.Cells {
		if !slices.Contains(conditions, c.Condition) {
			conditions = append(conditions, c.Condition)
		}
	}
	return conditions
}

func (r *Result) plotSpecs() []plotSpec {
	specs := []plotSpec{{fileName: "goodput", title: "Goodput", yLabel: "goodput / capacity", value: func(c Cell) float64 { return c.GoodputShare }}}
	if len(r.Cells) == 0 {
		return specs
	}
	for i, class := range r.Cells[0].Classes {
		specs = append(specs, plotSpec{fileName: "attainment-" + class.Class, title: fmt.Sprintf("Attainment of %s (tier %d)", class.Class, class.Tier),
			yLabel: "attainment", value: func(c Cell) float64 { return c.Classes[i].Attainment }})
	}
	return specs
}

func (r *Result) writePlot(folder string, condition Condition, spec plotSpec) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s", spec.title, r.Deployment, condition)
	p.X.Label.Text, p.Y.Label.Text = "offered load / capacity", spec.yLabel
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, policy := range []settings.Policy{settings.Standard, settings.Baseline} {
		if points := r.meanPoints(condition, policy, spec); len(points) > 0 {
			lines = append(lines, string(policy), points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	for _, extension := range []string{".svg", ".png"} {
		name := fmt.Sprintf("%s-%s-%s%s", r.Deployment, condition, spec.fileName, extension)
		if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// meanPoints returns the mean value of the valid cells of all seeds, by load.
func (r *Result) meanPoints(condition Condition, policy settings.Policy, spec plotSpec) plotter.XYs {
	values := map[float64][]float64{}
	for _, c := range r.Cells {
		if c.Condition == condition && c.Policy == policy && c.Valid {
			values[c.Load] = append(values[c.Load], spec.value(c))
		}
	}
	var points plotter.XYs
	for load, loadValues := range values {
		sum := 0.0
		for _, x := range loadValues {
			sum += x
		}
		points = append(points, plotter.XY{X: load, Y: sum / float64(len(loadValues))})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return points
}
