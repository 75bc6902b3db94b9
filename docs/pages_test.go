// Package docs contains the documentation pages. Its tests check the pages against the code.
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

func readPage(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// publicNames holds the names in the source that are visible to operators and callers.
type publicNames struct {
	metrics, events, codes map[string]bool
}

// collectNames collects the names from all source files except tests.
func collectNames(t *testing.T) publicNames {
	t.Helper()
	n := publicNames{metrics: map[string]bool{}, events: map[string]bool{}, codes: map[string]bool{}}
	visit := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, n.visitNode)
		return nil
	}
	for _, folder := range []string{"../cmd", "../internal"} {
		if err := filepath.WalkDir(folder, visit); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

func stringLiteral(expr ast.Expr) (string, bool) {
	lit, ok := expr.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

func addLiteral(set map[string]bool, expr ast.Expr) {
	if text, ok := stringLiteral(expr); ok {
		set[text] = true
	}
}

func (n publicNames) visitNode(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.CallExpr:
		n.collectFromCall(node)
	case *ast.CompositeLit:
		n.collectFromOptions(node)
	case *ast.KeyValueExpr:
		if key, ok := stringLiteral(node.Key); ok && key == "event" {
			addLiteral(n.events, node.Value)
		}
	case *ast.ValueSpec:
		setsByType := map[string]map[string]bool{"Code": n.codes, "Event": n.events}
		if id, ok := node.Type.(*ast.Ident); ok && setsByType[id.Name] != nil {
			for _, v := range node.Values {
				addLiteral(setsByType[id.Name], v)
			}
		}
	}
	return true
}

// collectFromCall collects metrics created by the helper functions of the packages entry
// and gateway, and events in log fields.
func (n publicNames) collectFromCall(call *ast.CallExpr) {
	if len(call.Args) < 2 {
		return
	}
	var name string
	switch f := call.Fun.(type) {
	case *ast.SelectorExpr:
		name = f.Sel.Name
	case *ast.Ident:
		name = f.Name
	}
	switch name {
	case "histogram", "counter":
		addLiteral(n.metrics, call.Args[0])
	case "WithField":
		if key, ok := stringLiteral(call.Args[0]); ok && key == "event" {
			addLiteral(n.events, call.Args[1])
		}
	}
}

// collectFromOptions collects metrics created from options of the Prometheus library.
func (n publicNames) collectFromOptions(lit *ast.CompositeLit) {
	optionsType, ok := lit.Type.(*ast.SelectorExpr)
	if !ok || !strings.HasSuffix(optionsType.Sel.Name, "Opts") {
		return
	}
	for _, element := range lit.Elts {
		if kv, ok := element.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == "Name" {
				addLiteral(n.metrics, kv.Value)
			}
		}
	}
}

// yamlPaths returns the YAML paths of the fields of a struct, recursively.
func yamlPaths(prefix string, t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fieldType := t.Field(i).Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		path := prefix + name
		switch {
		case fieldType.Kind() == reflect.Struct:
			list = append(list, yamlPaths(path+".", fieldType)...)
		case fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct:
			list = append(append(list, path), yamlPaths(path+"[].", fieldType.Elem())...)
		default:
			list = append(list, path)
		}
	}
	return list
}

// expectRow checks that the page has a table row whose first cell is the name.
func expectRow(t *testing.T, page, text, name string) {
	t.Helper()
	if !strings.Contains(text, "\n| `"+name+"` |") {
		t.Errorf("%s has no row for %s", page, name)
	}
}

// Guards against metrics, events, error codes and configuration keys that no page documents.
func TestPagesDocumentAllNames(t *testing.T) {
	operations, configuration := readPage(t, "OPERATIONS.md"), readPage(t, "configuration.md")
	n := collectNames(t)
	for what, set := range map[string]map[string]bool{"metrics": n.metrics, "events": n.events, "codes": n.codes} {
		if len(set) < 10 {
			t.Errorf("only %d %s found in the source", len(set), what)
		}
	}
	for m := range n.metrics {
		expectRow(t, "OPERATIONS.md", operations, metricPrefix+m)
	}
	for e := range n.events {
		expectRow(t, "OPERATIONS.md", operations, e)
	}
	for c := range n.codes {
		expectRow(t, "configuration.md", configuration, c)
	}
	for _, key := range yamlPaths("", reflect.TypeFor[settings.Settings]()) {
		expectRow(t, "OPERATIONS.md", operations, key)
	}
	for _, key := range yamlPaths("", reflect.TypeFor[settings.Gateway]()) {
		expectRow(t, "OPERATIONS.md", operations, key)
	}
	for _, key := range yamlPaths("", reflect.TypeFor[config.Deployment]()) {
		expectRow(t, "configuration.md", configuration, key)
	}
}

// Guards against pages that mention a metric that no longer exists.
func TestPagesMentionOnlyExistingMetrics(t *testing.T) {
	n := collectNames(t)
	for _, page := range []string{"OPERATIONS.md", "configuration.md", "../README.md"} {
		for _, m := range regexp.MustCompile(metricPrefix+`[a-z_]+`).FindAllString(readPage(t, page), -1) {
			if !n.metrics[strings.TrimPrefix(m, metricPrefix)] {
				t.Errorf("%s mentions %s, which does not exist", page, m)
			}
		}
	}
}

// Guards against a program on the configuration page that differs from the one that is
// compiled and tested.
func TestConfigurationPageShowsProgram(t *testing.T) {
	program := "```go\n" + readPage(t, "../examples/print/main.go") + "```\n"
	if !strings.Contains(readPage(t, "configuration.md"), program) {
		t.Error("configuration.md does not show examples/print/main.go")
	}
}
