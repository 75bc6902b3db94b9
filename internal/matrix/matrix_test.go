package matrix

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

func cell(p settings.Policy, load, goodput, attainment float64) Cell {
	return Cell{Policy: p, Condition: Steady, Load: load, Seed: 1, GoodputShare: goodput, Valid: true,
		Classes: []Class{{Class: "a", Tier: 1, Attainment: attainment}}}
}

// The policies of a case must follow each other, or a change of the machine's load
// between them shows as a difference of the policies.
func TestPlansKeepPoliciesTogether(t *testing.T) {
	o := Options{Conditions: []Condition{Steady, Crash}, Seeds: []uint64{4, 5}}.withDefaults()
	list := o.plans()
	if want := 2 * 2 * (1 + 2*4); len(list) != want {
		t.Fatalf("%d cells, want %d", len(list), want)
	}
	for i := 0; i < len(list); i += 2 {
		a, b := list[i], list[i+1]
		if a.policy == b.policy {
			t.Errorf("cells %d and %d are both %s", i, i+1, a.policy)
		}
		a.policy, b.policy = "", ""
		if a != b {
			t.Errorf("cells %d and %d differ in more than the policy: %+v, %+v", i, i+1, a, b)
		}
	}
}

// A cell of a late generator must not enter a curve, and seeds must be averaged.
func TestPointsAverageValidCells(t *testing.T) {
	late := cell(settings.Standard, 1, 0.1, 0.1)
	late.Valid = false
	r := &Result{Cells: []Cell{
		cell(settings.Standard, 3, 0.9, 1), cell(settings.Standard, 1, 0.6, 1), cell(settings.Standard, 1, 0.8, 1),
		late, cell(settings.Baseline, 1, 0.2, 1),
	}}
	points := r.points(Steady, settings.Standard, r.figures()[0])
	if len(points) != 2 || points[0].X != 1 || points[0].Y < 0.69 || points[0].Y > 0.71 || points[1].Y != 0.9 {
		t.Errorf("points %v", points)
	}
}

// Attainment must be compared with the unloaded cell of the same policy and seed.
func TestRelativeToUnloaded(t *testing.T) {
	r := &Result{Cells: []Cell{cell(settings.Baseline, unloadedFactor, 0, 0.5), cell(settings.Standard, unloadedFactor, 0, 0.8), cell(settings.Standard, 1.5, 0, 0.4)}}
	if got := r.relative(r.Cells[2], r.Cells[2].Classes[0]); got != "0.500" {
		t.Errorf("got %s", got)
	}
	other := r.Cells[2]
	other.Seed = 9
	if got := r.relative(other, other.Classes[0]); got != "-" {
		t.Errorf("without a reference: %s", got)
	}
}

// Both policies must be in each report, and each figure in both formats.
func TestReportsNameBothPolicies(t *testing.T) {
	r := &Result{Deployment: "d", Cells: []Cell{cell(settings.Standard, 1, 0.5, 1), cell(settings.Baseline, 1, 0.5, 1)}}
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if strings.Count(table.String(), "standard") != 2 || strings.Count(table.String(), "baseline") != 2 {
		t.Errorf("table\n%s", &table)
	}
	folder := t.TempDir()
	if err := r.WritePlots(folder); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"goodput", "attainment-a"} {
		for _, kind := range []string{".svg", ".png"} {
			if info, err := os.Stat(filepath.Join(folder, "d-steady-"+name+kind)); err != nil || info.Size() == 0 {
				t.Errorf("%s%s: %v", name, kind, err)
			}
		}
	}
}
