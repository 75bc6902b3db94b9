package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/examples"
	"github.com/yuccabridge/yuccabridge/internal/transport/platform"
)

func execute(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = run(ctx, args, &out, &err)
	return code, out.String(), err.String()
}

func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func exampleConfig(t *testing.T, change func(*config.Deployment)) string {
	t.Helper()
	d := examples.Regie()
	change(d)
	text, err := d.YAML()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Scripts depend on the exit codes; operators need one line that says where the error is.
func TestExitCodesAndErrors(t *testing.T) {
	validConfig := exampleConfig(t, func(*config.Deployment) {})
	validFile := writeTempFile(t, "good.yaml", validConfig)
	invalidFile := writeTempFile(t, "bad.yaml", strings.Replace(validConfig, "tier: 1", "tier: 0", 1))
	scenario, err := os.ReadFile("../../examples/regie-load.yaml")
	if err != nil {
		t.Fatal(err)
	}
	unknownClassScenario := writeTempFile(t, "load.yaml", strings.Replace(string(scenario), "class: dossier-drafts", "class: unknown", 1))
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"config", "check", validFile}, 0, ""},
		{[]string{"config", "check", invalidFile}, 1, invalidFile + ": line 12: classes[0].tier: "},
		{[]string{"config", "print", invalidFile}, 2, invalidFile + ": line 12: classes[0].tier: "},
		{[]string{"config", "diff", validFile, invalidFile}, 2, invalidFile + ": line 12: "},
		{[]string{"config", "check", "missing.yaml"}, 2, "missing.yaml: no such file"},
		{[]string{"config", "check"}, 2, "accepts 1 arg"},
		{[]string{"dance"}, 2, "unknown command"},
		{[]string{"emulate"}, 2, "required flag"},
		{[]string{"capacity", "measure", "nothing"}, 2, "there is no measurement"},
		{[]string{"capacity", "report"}, 0, ""},
		{[]string{"emulate", "--config", validFile, "--instance", "i1"}, 2, "--instance i1: "},
		{[]string{"soak", "--dir", t.TempDir(), "--daemon", "missing-daemon"}, 2, "start front-0: "},
		{[]string{"experiment", "--condition", "rain"}, 2, "--condition: rain: "},
		{[]string{"experiment", "--policy", "none"}, 2, "--policy none: "},
		{[]string{"experiment", "--load", "0"}, 2, "--load 0: "},
		{[]string{"experiment", "--deployment", "other"}, 2, "--deployment other: "},
		{[]string{"experiment", "--config", invalidFile}, 2, invalidFile + ": line 12: classes[0].tier: "},
		{[]string{"load", "--config", validFile, "--scenario", unknownClassScenario}, 2, unknownClassScenario + ": line 42: classes[2].class: "},
	}
	for _, c := range cases {
		code, _, stderr := execute(t.Context(), c.args...)
		if code != c.code || !strings.HasPrefix(stderr, c.want) || strings.Count(stderr, "\n") > 1 {
			t.Errorf("%v: code %d, %q; want %d, %q", c.args, code, stderr, c.code, c.want)
		}
	}
}

// The command must print exactly the text that the config package encodes.
func TestPrint(t *testing.T) {
	canonical := exampleConfig(t, func(*config.Deployment) {})
	code, stdout, stderr := execute(t.Context(), "config", "print", writeTempFile(t, "c.yaml", "# comment\n"+canonical))
	if code != 0 || stdout != canonical {
		t.Errorf("code %d, %s", code, stderr)
	}
}

// Operators review configuration changes with this output: each kind of change must be
// reported once.
func TestDiff(t *testing.T) {
	before := writeTempFile(t, "a.yaml", exampleConfig(t, func(*config.Deployment) {}))
	after := writeTempFile(t, "b.yaml", exampleConfig(t, func(d *config.Deployment) {
		d.Objective = config.Goodput
		d.Classes[0].Deadline = config.Duration(6 * time.Second)
		d.Teams = d.Teams[1:]
		d.Models[0].Upstreams[0].Address = "127.0.0.1:1"
		d.Services[0].NonIdempotent = append(d.Services[0].NonIdempotent, config.Operation{Method: "PUT", Path: "/ordres-ligne/x"})
		d.Services = append(d.Services, config.Service{Name: "s", PathPrefix: "/s/", Class: "dossier-drafts",
			Upstreams: []config.Upstream{{Name: "s-1", Address: "127.0.0.1:2", FailureDomain: "keroman"}}})
		d.ClassRules = append(d.ClassRules[:2], d.ClassRules[3:]...)
	}))
	_, stdout, _ := execute(t.Context(), "config", "diff", before, after)
	want := []string{
		"~ objective: attainment -> goodput",
		"~ classes[floor-instructions].deadline: 5s -> 6s",
		"- teams[ligne-chrome-dur]: {name=ligne-chrome-dur weight=4 key_sha256=[",
		"~ models[atelier-llm].upstreams[atelier-01].address: 127.0.0.1:18001 -> 127.0.0.1:1",
		"~ services[ordres-ligne].non_idempotent: [{method=POST path=/ordres-ligne/runs}] -> [{method=POST path=/ordres-ligne/runs} {method=PUT path=/ordres-ligne/x}]",
		"+ services[s]: {name=s path_prefix=/s/ class=dossier-drafts upstreams=[{name=s-1 address=127.0.0.1:2 failure_domain=keroman}]}",
		"~ class_rules: [",
	}
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines:\n%s", len(lines), stdout)
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, want[i]) {
			t.Errorf("line %d: %q, want %q", i, line, want[i])
		}
	}
	if _, same, _ := execute(t.Context(), "config", "diff", before, before); same != "" {
		t.Errorf("diff of identical files: %q", same)
	}
}

// freeAddress returns a loopback address with no listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The emulate command must serve the file as the platform's configuration and exit
// cleanly when its context is cancelled.
func TestEmulate(t *testing.T) {
	text := exampleConfig(t, func(d *config.Deployment) {
		d.Models[0].Upstreams = d.Models[0].Upstreams[:1]
		d.Models[0].Upstreams[0].Address = freeAddress(t)
		d.Services[0].Upstreams = d.Services[0].Upstreams[:1]
		d.Services[0].Upstreams[0].Address = freeAddress(t)
	})
	platformAddress := freeAddress(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	exited := make(chan string, 1)
	go func() {
		code, _, stderr := execute(ctx, "emulate", "--config", writeTempFile(t, "c.yaml", text), "--platform", platformAddress, "--instance", "i1=127.0.0.1:9")
		exited <- fmt.Sprint(code, stderr)
	}()
	client := platform.New(platform.Options{Address: platformAddress})
	defer client.Close()
	for range 5000 {
		if r := client.Read(); r.Outcome == platform.OK {
			if string(r.Deployment.Text) != text || r.Deployment.Revision != 1 {
				t.Errorf("revision %d with an unexpected text", r.Deployment.Revision)
			}
			break
		}
		time.Sleep(time.Millisecond)
	}
	if r := client.Instances(); len(r.Instances) != 1 || r.Instances[0].Name != "i1" {
		t.Errorf("instances %+v", r)
	}
	stop()
	if result := <-exited; !strings.HasPrefix(result, "0 ") && !strings.HasPrefix(result, "0time") {
		t.Errorf("exit code and stderr: %s", result)
	}
}
