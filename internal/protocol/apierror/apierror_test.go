package apierror

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// declaredCodes reads the constants of type Code from the source, so that a new constant is
// always included in the test.
func declaredCodes(t *testing.T) []Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "apierror.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Code" {
			for _, value := range spec.Values {
				text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
				if err != nil {
					t.Fatal(err)
				}
				codes = append(codes, Code(text))
			}
		}
		return true
	})
	return codes
}

// Guards against a code without a status, which callers would receive as a 500.
func TestEveryCodeHasAStatus(t *testing.T) {
	codes := declaredCodes(t)
	if len(codes) == 0 || len(codes) != len(httpStatuses) {
		t.Errorf("%d codes and %d statuses", len(codes), len(httpStatuses))
	}
	for _, c := range codes {
		s, ok := httpStatuses[c]
		if !ok || s < 400 || http.StatusText(s) == "" || New(c, "").Status() != s {
			t.Errorf("%s: status %d", c, s)
		}
	}
	if s := New("other", "").Status(); s != http.StatusInternalServerError {
		t.Errorf("an undeclared code has status %d", s)
	}
}

// Guards against changed or additional fields, on which clients depend.
func TestJSON(t *testing.T) {
	cases := []struct {
		e    *Error
		want string
	}{
		{New(MissingKey, "no key"), `{"error":{"code":"missing_key","message":"no key","run":"not_run"}}`},
		{&Error{Code: OrderNotRun, Message: "a \"b\"\n", Run: Unknown, RetryAfter: 1500 * time.Millisecond, Ticket: "t"},
			`{"error":{"code":"order_not_run","message":"a \"b\"\n","run":"unknown","retry_after_ms":1500,"ticket":"t"}}`},
	}
	for _, c := range cases {
		if got := string(c.e.JSON()); got != c.want {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}
