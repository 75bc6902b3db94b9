// Package docs holds the pages. Its tests keep them in step with the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const metricPrefix = "yuccabridge_"

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// names are what operators and callers meet, as the source has it.
type names struct {
	metrics, events, codes map[string]bool
}

// collect reads the names from all source files of the program.
func collect(t *testing.T) names {
	t.Helper()
	n := names{metrics: map[string]bool{}, events: map[string]bool{}, codes: map[string]bool{}}
	visit := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, n.node)
		return nil
	}
	for _, folder := range []string{"../cmd", "../internal"} {
		if err := filepath.WalkDir(folder, visit); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

func add(set map[string]bool, e ast.Expr) {
	if text, ok := literal(e); ok {
		set[text] = true
	}
}

func (n names) node(x ast.Node) bool {
	switch x := x.(type) {
	case *ast.CallExpr:
		n.call(x)
	case *ast.CompositeLit:
		n.options(x)
	case *ast.KeyValueExpr:
		if key, ok := literal(x.Key); ok && key == "event" {
			add(n.events, x.Value)
		}
	case *ast.ValueSpec:
		set := map[string]map[string]bool{"Code": n.codes, "Event": n.events}
		if id, ok := x.Type.(*ast.Ident); ok && set[id.Name] != nil {
			for _, v := range x.Values {
				add(set[id.Name], v)
			}
		}
	}
	return true
}

// call finds metrics that are made by the helpers of the packages entry and gateway, and
// log fields.
func (n names) call(x *ast.CallExpr) {
	if len(x.Args) < 2 {
		return
	}
	var name string
	switch f := x.Fun.(type) {
	case *ast.SelectorExpr:
		name = f.Sel.Name
	case *ast.Ident:
		name = f.Name
	}
	switch name {
	case "histogram", "counter":
		add(n.metrics, x.Args[0])
	case "WithField":
		if key, ok := literal(x.Args[0]); ok && key == "event" {
			add(n.events, x.Args[1])
		}
	}
}

// options finds metrics that are made from the options of the Prometheus library.
func (n names) options(x *ast.CompositeLit) {
	kind, ok := x.Type.(*ast.SelectorExpr)
	if !ok || !strings.HasSuffix(kind.Sel.Name, "Opts") {
		return
	}
	for _, e := range x.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == "Name" {
				add(n.metrics, kv.Value)
			}
		}
	}
}

// fields lists the YAML paths of a struct.
func fields(prefix string, t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		f := t.Field(i).Type
		if f.Kind() == reflect.Pointer {
			f = f.Elem()
		}
		path := prefix + name
		switch {
		case f.Kind() == reflect.Struct:
			list = append(list, fields(path+".", f)...)
		case f.Kind() == reflect.Slice && f.Elem().Kind() == reflect.Struct:
			list = append(append(list, path), fields(path+"[].", f.Elem())...)
		default:
			list = append(list, path)
		}
	}
	return list
}

// expect checks that the page has a table row that begins with the name.
func expect(t *testing.T, page, text, name string) {
	t.Helper()
	if !strings.Contains(text, "\n| `"+name+"` |") {
		t.Errorf("%s has no row for %s", page, name)
	}
}

// A name that operators or callers meet must be explained.
func TestPagesNameEverything(t *testing.T) {
	operations, configuration := read(t, "OPERATIONS.md"), read(t, "configuration.md")
	n := collect(t)
	for what, set := range map[string]map[string]bool{"metrics": n.metrics, "events": n.events, "codes": n.codes} {
		if len(set) < 10 {
			t.Errorf("only %d %s found in the source", len(set), what)
		}
	}
	for m := range n.metrics {
		expect(t, "OPERATIONS.md", operations, metricPrefix+m)
	}
	for e := range n.events {
		expect(t, "OPERATIONS.md", operations, e)
	}
	for c := range n.codes {
		expect(t, "configuration.md", configuration, c)
	}
	for _, key := range fields("", reflect.TypeFor[settings.Settings]()) {
		expect(t, "OPERATIONS.md", operations, key)
	}
	for _, key := range fields("", reflect.TypeFor[settings.Gateway]()) {
		expect(t, "OPERATIONS.md", operations, key)
	}
	for _, key := range fields("", reflect.TypeFor[config.Deployment]()) {
		expect(t, "configuration.md", configuration, key)
	}
}

// A page must not name a metric that is gone.
func TestPagesNameNoOldMetric(t *testing.T) {
	n := collect(t)
	for _, page := range []string{"OPERATIONS.md", "configuration.md", "../README.md"} {
		for _, m := range regexp.MustCompile(metricPrefix+`[a-z_]+`).FindAllString(read(t, page), -1) {
			if !n.metrics[strings.TrimPrefix(m, metricPrefix)] {
				t.Errorf("%s names %s", page, m)
			}
		}
	}
}

// The program on the page must be the one that is compiled and tested.
func TestPageShowsTheProgram(t *testing.T) {
	program := "```go\n" + read(t, "../examples/print/main.go") + "```\n"
	if !strings.Contains(read(t, "configuration.md"), program) {
		t.Error("configuration.md does not show examples/print/main.go")
	}
}
