package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
)

// Scripts depend on the exit codes of config lint: differences alone are not a failure.
func TestLintExitCodes(t *testing.T) {
	// The longest wait of the example has no effect, which is a finding.
	text := exampleConfig(t, func(d *config.Deployment) { d.Classes[2].MaxWait = 0 })
	sound := writeTempFile(t, "sound.yaml", text)
	other := writeTempFile(t, "other.yaml", exampleConfig(t, func(d *config.Deployment) { d.Classes[2].MaxWait, d.Name = 0, "other" }))
	invalid := writeTempFile(t, "invalid.yaml", strings.Replace(text, "tier: 1", "tier: 0", 1))
	published := writeTempFile(t, "published.json", `{"version": 5}`)
	newer := writeTempFile(t, "newer.json", `{"version": 6}`)
	list := writeTempFile(t, "list.json", `[]`)
	for _, c := range []struct {
		args   []string
		code   int
		stdout string
	}{
		{[]string{sound}, 0, ""},
		{[]string{sound, "--against", other}, 0, "~ name: other -> regie\n"},
		{[]string{invalid}, 1, invalid + ": line 12: classes[0].tier: invalid: "},
		{[]string{invalid, "--against", sound}, 1, invalid + ": line 12: classes[0].tier: invalid: "},
		{[]string{sound, "--against", invalid}, 2, ""},
		{[]string{"missing.yaml"}, 2, ""},
		{[]string{sound, "--output", "xml"}, 2, ""},
		{[]string{sound, "--instance", "i.yaml"}, 2, ""},
		{[]string{published, "--published"}, 0, ""},
		{[]string{newer, "--published", "--against", published}, 0, "~ version: 5 -> 6\n"},
		{[]string{published, "--published", "--against", newer}, 1, published + ": line 1: version: invalid: "},
		{[]string{list, "--published", "--against", newer}, 1, list + ": line 1: invalid: "},
		{[]string{newer, "--published", "--against", list}, 2, ""},
		{[]string{newer, "--published", "--instance", "missing.yaml"}, 2, ""},
	} {
		code, stdout, stderr := execute(t.Context(), append([]string{"config", "lint"}, c.args...)...)
		if code != c.code || !strings.HasPrefix(stdout, c.stdout) || (c.stdout == "") != (stdout == "") || (code == 0) != (stderr == "") {
			t.Errorf("%v: code %d, stdout %q, stderr %q, want code %d, stdout %q", c.args, code, stdout, stderr, c.code, c.stdout)
		}
	}
}

// Guards against null in place of empty lists, which scripts would have to handle.
func TestLintJSON(t *testing.T) {
	published := writeTempFile(t, "published.json", `{"version": 0}`)
	code, stdout, _ := execute(t.Context(), "config", "lint", "--published", "--output", "json", published)
	var result lintResult
	if err := json.Unmarshal([]byte(stdout), &result); err != nil {
		t.Fatal(err)
	}
	if code != 1 || result.File != published || len(result.Findings) != 1 || result.Findings[0].Line != 1 || !strings.Contains(stdout, `"changes": []`) {
		t.Errorf("code %d, output %s", code, stdout)
	}
}
