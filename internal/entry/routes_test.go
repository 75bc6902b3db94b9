package entry

import (
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
)

// A path variant that an upstream may accept must not bypass the ticket requirement.
func TestNonIdempotentPaths(t *testing.T) {
	s := serviceRoute{service: config.Service{NonIdempotent: []config.Operation{
		{Method: "POST", Path: "/orders/runs"}, {Method: "PUT", Path: "/orders/index/*"}}}}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"POST", "/orders/runs", true}, {"POST", "/orders/runs/", true}, {"POST", "/Orders/RUNS", true},
		{"POST", "/orders/runs2", false}, {"GET", "/orders/runs", false}, {"POST", "/orders", false},
		{"PUT", "/orders/index/7", true}, {"PUT", "/orders/index", true}, {"PUT", "/orders/indexes", false},
	} {
		if got := s.isNonIdempotent(c.method, c.path); got != c.want {
			t.Errorf("%s %s: got %v, want %v", c.method, c.path, got, c.want)
		}
	}
}

// The class header takes precedence over the class rules, of which the first match applies.
func TestClassPrecedence(t *testing.T) {
	d := testDeployment()
	d.ClassRules = []config.ClassRule{{Team: "other", Class: "bulk"}, {Model: "llm", Class: "bulk"}, {Class: "interactive"}}
	r := newRoutingTable(1, d, map[string]*pool{})
	desk := &team{name: "desk"}
	for _, c := range []struct{ header, model, want string }{
		{"interactive", "llm", "interactive"}, {"", "llm", "bulk"}, {"", "x", "interactive"},
	} {
		class, err := r.resolveClass(c.header, chatPath, c.model, "bulk", desk)
		if err != nil || class.Name != c.want {
			t.Errorf("%+v: got %v, %v", c, class, err)
		}
	}
	if _, err := r.resolveClass("nothing", chatPath, "llm", "bulk", desk); err == nil {
		t.Error("an unknown class is accepted")
	}
	if _, err := r.resolveClass("bulk", chatPath, "llm", "bulk", &team{name: "desk", allowed: map[string]bool{"interactive": true}}); err == nil {
		t.Error("a class that the team may not use is accepted")
	}
}
