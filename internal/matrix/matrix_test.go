package matrix

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/internal/settings"
)

func testCell(p settings.Policy, load, goodput, attainment float64) Cell {
	return Cell{Policy: p, Condition: Steady, Load: load, Seed: 1, GoodputShare: goodput, Valid: true,
		Classes: []ClassResult{{Class: "a", Tier: 1, Attainment: attainment}}}
}

// Guards against an order of cells that separates the policies of a combination. A change
// of the machine's load between them would appear as a difference between the policies.
func TestPoliciesOfCombinationAreAdjacent(t *testing.T) {
	o := Options{Conditions: []Condition{Steady, Crash}, Seeds: []uint64{4, 5}}.withDefaults()
	cells := o.cellsToRun()
	if want := 2 * 2 * (1 + 2*4); len(cells) != want {
		t.Fatalf("%d cells, want %d", len(cells), want)
	}
	for i := 0; i < len(cells); i += 2 {
		a, b := cells[i], cells[i+1]
		if a.policy == b.policy {
			t.Errorf("cells %d and %d are both %s", i, i+1, a.policy)
		}
		a.policy, b.policy = "", ""
		if a != b {
			t.Errorf("cells %d and %d differ in more than the policy: %+v, %+v", i, i+1, a, b)
		}
	}
}

// Guards against curves that include invalid cells, whose generator sent late, or that do
// not average over the seeds.
func TestMeanPointsUseValidCells(t *testing.T) {
	invalid := testCell(settings.Standard, 1, 0.1, 0.1)
	invalid.Valid = false
	r := &Result{Cells: []Cell{
		testCell(settings.Standard, 3, 0.9, 1), testCell(settings.Standard, 1, 0.6, 1), testCell(settings.Standard, 1, 0.8, 1),
		invalid, testCell(settings.Baseline, 1, 0.2, 1),
	}}
	points := r.meanPoints(Steady, settings.Standard, r.plotSpecs()[0])
	if len(points) != 2 || points[0].X != 1 || points[0].Y < 0.69 || points[0].Y > 0.71 || points[1].Y != 0.9 {
		t.Errorf("points %v", points)
	}
}

// Guards against comparing the attainment with an unloaded cell of another policy or seed.
func TestRelativeAttainment(t *testing.T) {
	r := &Result{Cells: []Cell{testCell(settings.Baseline, unloadedLoad, 0, 0.5), testCell(settings.Standard, unloadedLoad, 0, 0.8), testCell(settings.Standard, 1.5, 0, 0.4)}}
	if got := r.relativeAttainment(r.Cells[2], r.Cells[2].Classes[0]); got != "0.500" {
		t.Errorf("got %s", got)
	}
	other := r.Cells[2]
	other.Seed = 9
	if got := r.relativeAttainment(other, other.Classes[0]); got != "-" {
		t.Errorf("without a reference: %s", got)
	}
}

// Guards against a table that omits a policy and against plots that are missing in one of
// the formats.
func TestReportsContainBothPolicies(t *testing.T) {
	r := &Result{Deployment: "d", Cells: []Cell{testCell(settings.Standard, 1, 0.5, 1), testCell(settings.Baseline, 1, 0.5, 1)}}
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if strings.Count(table.String(), "standard") != 2 || strings.Count(table.String(), "baseline") != 2 {
		t.Errorf("table\n%s", &table)
	}
	dir := t.TempDir()
	if err := r.WritePlots(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"goodput", "attainment-a"} {
		for _, extension := range []string{".svg", ".png"} {
			if info, err := os.Stat(filepath.Join(dir, "d-steady-"+name+extension)); err != nil || info.Size() == 0 {
				t.Errorf("%s%s: %v", name, extension, err)
			}
		}
	}
}
