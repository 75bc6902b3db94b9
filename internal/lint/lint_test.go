package lint

import (
	"os"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/examples"
)

// Guards against findings that disappear or point to another line: the file has one entry for each of them.
func TestDeploymentFindings(t *testing.T) {
	text, err := os.ReadFile("testdata/deployment.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/deployment.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := lines(Deployment(text)); got != string(want) {
		t.Errorf("findings:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against findings on sound configurations, which operators would learn to ignore. The one of regie is true: its longest
// wait is twice the first-token target, which is the limit with the objective attainment.
func TestFindingsOfExamples(t *testing.T) {
	for _, c := range []struct {
		deployment *config.Deployment
		want       string
	}{
		{examples.Nilegate(), ""},
		{examples.Regie(), "line 25: classes[2].max_wait: no-effect: 1m0s is not less than half of the class's limit of 30s: a quarter of the limit is used\n"},
	} {
		text, err := c.deployment.YAML()
		if err != nil {
			t.Fatal(err)
		}
		if got := lines(Deployment(text)); got != c.want {
			t.Errorf("%s: %q, want %q", c.deployment.Name, got, c.want)
		}
	}
}

// Guards against errors without their line, for each kind of error that the parser returns.
func TestRefusedDeployments(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"version: 2\n", "line 1: version: invalid: "},
		{"version: 1\nname: [\n", "line 2: invalid: "},
		{"version: 1\nbogus: 1\n", "line 2: invalid: "},
		{"", "invalid: "},
	} {
		if got := lines(Deployment([]byte(c.text))); !strings.HasPrefix(got, c.want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%q: %q, want one finding that starts with %q", c.text, got, c.want)
		}
	}
}

func lines(findings []Finding) string {
	var out strings.Builder
	for _, f := range findings {
		out.WriteString(f.String() + "\n")
	}
	return out.String()
}
