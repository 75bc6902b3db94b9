package capacity

import (
	"encoding/json"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a page whose figures differ from the stored points because it was edited
// by hand, or because points or formulas changed without an update of the page.
func TestPageMatchesReport(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	p, err := EmbeddedPoints()
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Report(p)
	if err != nil {
		t.Fatal(err)
	}
	updated, err := tables.Update(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if updated != string(page) {
		t.Error("the page differs; run: yuccabridge capacity report --update docs/CAPACITY.md")
	}
	if got := strings.Count(string(page), "<!-- table "); got != len(tables) {
		t.Errorf("the page has %d tables, the program prints %d", got, len(tables))
	}
}

// Guards against a report that treats a missing series as zero.
func TestReportRejectsMissingSeries(t *testing.T) {
	p, err := EmbeddedPoints()
	if err != nil {
		t.Fatal(err)
	}
	allSeries := p.Series
	for _, name := range []string{"pools.cpu", "config.parse_teams", "membership.bytes_over_domains"} {
		p.Series = nil
		for _, s := range allSeries {
			if s.Name != name {
				p.Series = append(p.Series, s)
			}
		}
		if _, err := Report(p); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without %s: %v", name, err)
		}
	}
}

// Guards against Update accepting a page in which a table is missing, occurs twice or has
// no end marker.
func TestUpdateRequiresEachTableOnce(t *testing.T) {
	tables := Tables{{"a", "| x |\n"}}
	page := "text\n<!-- table a -->\nold\n<!-- end -->\nmore\n"
	got, err := tables.Update(page)
	if want := "text\n<!-- table a -->\n| x |\n<!-- end -->\nmore\n"; err != nil || got != want {
		t.Errorf("got %q, %v", got, err)
	}
	for _, invalid := range []string{"text", page + page, "<!-- table a -->\nold\n"} {
		if _, err := tables.Update(invalid); err == nil {
			t.Errorf("page %q is accepted", invalid)
		}
	}
}

// Guards against a fit that does not reproduce the line on which all points lie, or that
// reports a residual for it.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := rapid.Float64Range(-1e6, 1e6).Draw(r, "intercept"), rapid.Float64Range(-1e3, 1e3).Draw(r, "slope")
		var points []Point
		for i := range rapid.IntRange(2, 8).Draw(r, "points") {
			x := float64(i*i + 1)
			points = append(points, Point{x, a + b*x})
		}
		f := FitLine(points)
		if tolerance := 1e-6 * (1 + math.Abs(a) + math.Abs(b)); math.Abs(f.Intercept-a) > tolerance || math.Abs(f.Slope-b) > tolerance || f.Residual > tolerance {
			r.Fatalf("got %+v, want intercept %g and slope %g", f, a, b)
		}
	})
	if f := FitLine([]Point{{3, 7}}); f.At(100) != 7 || f.RelativeResidual() != 0 {
		t.Errorf("one point: %+v", f)
	}
}

// Guards against points that change when they are saved and loaded, and against duplicate
// series.
func TestPointsRoundTrip(t *testing.T) {
	file := filepath.Join(t.TempDir(), "points.yaml")
	p, err := LoadPoints(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []float64{1, 2.5e-3} {
		p.Put(Series{Name: "b", Size: "x", Unit: "ns", Command: "c", Date: "2026-01-02", Points: []Point{{1, v}, {2, 1.5e9}}})
		p.Put(Series{Name: "a", Size: "y", Unit: "B", Command: "c", Date: "2026-01-02", Points: []Point{{0, v}}})
	}
	if err := p.Save(file); err != nil {
		t.Fatal(err)
	}
	got, err := LoadPoints(file)
	if err != nil || len(got.Series) != 2 || !reflect.DeepEqual(got, p) {
		t.Errorf("got %+v, %v, want %+v", got, err, p)
	}
	if _, err := ParsePoints([]byte("series:\n- name: a\n")); err == nil {
		t.Error("a series without points is accepted")
	}
}

// Guards against a child process that miscounts requests or events: the figures of the
// request path are divided by its counts.
func TestStandInCountsEveryEvent(t *testing.T) {
	in, commands := io.Pipe()
	replies, out := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- RunStandIn(t.Context(), in, out) }()
	enc, dec := json.NewEncoder(commands), json.NewDecoder(replies)
	do := func(c command) (r reply) {
		t.Helper()
		if err := enc.Encode(c); err != nil {
			t.Fatal(err)
		}
		if err := dec.Decode(&r); err != nil || r.Error != "" {
			t.Fatalf("%s: %v %s", c.Op, err, r.Error)
		}
		return r
	}
	engines := do(command{Op: opEngines, Engines: 1, Decode: time.Millisecond}).Addresses
	l := loadSpec{Targets: engines, Callers: 3, RequestsPerCaller: 4, TokensPerResponse: 5}
	if got := do(command{Op: opLoad, Load: l}).Result; got.Requests != 12 || got.Events != 72 || got.Failed != 0 {
		t.Errorf("streams: %+v", got)
	}
	do(command{Op: opOpen, Load: l})
	if got := do(command{Op: opWait}).Result; got.Events != 72 || do(command{Op: opCounts}).Events != 72 {
		t.Errorf("open streams: %+v", got)
	}
	commands.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
