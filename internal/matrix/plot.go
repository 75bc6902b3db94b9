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

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// figure selects what a plot shows.
type figure struct {
	name, title, axis string
	value             func(c Cell) float64
}

// WritePlots writes goodput and the attainment of each class over load, for each
// condition, as SVG and PNG into a folder.
func (r *Result) WritePlots(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "plots")
	}
	for _, condition := range r.conditions() {
		for _, f := range r.figures() {
			if err := r.writePlot(folder, condition, f); err != nil {
				return errors.Wrap(err, "plots")
			}
		}
	}
	return nil
}

func (r *Result) conditions() []Condition {
	var list []Condition
	for _, c := range r.Cells {
		if !slices.Contains(list, c.Condition) {
			list = append(list, c.Condition)
		}
	}
	return list
}

func (r *Result) figures() []figure {
	list := []figure{{name: "goodput", title: "Goodput", axis: "goodput / capacity", value: func(c Cell) float64 { return c.GoodputShare }}}
	if len(r.Cells) == 0 {
		return list
	}
	for i, k := range r.Cells[0].Classes {
		list = append(list, figure{name: "attainment-" + k.Class, title: fmt.Sprintf("Attainment of %s (tier %d)", k.Class, k.Tier),
			axis: "attainment", value: func(c Cell) float64 { return c.Classes[i].Attainment }})
	}
	return list
}

func (r *Result) writePlot(folder string, condition Condition, f figure) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s", f.title, r.Deployment, condition)
	p.X.Label.Text, p.Y.Label.Text = "offered load / capacity", f.axis
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, policy := range []settings.Policy{settings.Standard, settings.Baseline} {
		if points := r.points(condition, policy, f); len(points) > 0 {
			lines = append(lines, string(policy), points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	for _, kind := range []string{".svg", ".png"} {
		name := fmt.Sprintf("%s-%s-%s%s", r.Deployment, condition, f.name, kind)
		if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// points are the means over the seeds of the valid cells, by load.
func (r *Result) points(condition Condition, policy settings.Policy, f figure) plotter.XYs {
	values := map[float64][]float64{}
	for _, c := range r.Cells {
		if c.Condition == condition && c.Policy == policy && c.Valid {
			values[c.Load] = append(values[c.Load], f.value(c))
		}
	}
	var list plotter.XYs
	for load, v := range values {
		sum := 0.0
		for _, x := range v {
			sum += x
		}
		list = append(list, plotter.XY{X: load, Y: sum / float64(len(v))})
	}
	slices.SortFunc(list, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return list
}
