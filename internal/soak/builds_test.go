package soak

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// firstCoveredBuild is the commit from which on builds run side by side; see docs/decisions/peer-messages.md.
const firstCoveredBuild = "9515157"

// buildFromHistory builds the daemon of a commit of this repository and returns its path.
func buildFromHistory(t *testing.T, commit string) string {
	t.Helper()
	output := func(name string, args ...string) ([]byte, error) { return exec.Command(name, args...).CombinedOutput() }
	root, err := output("git", "rev-parse", "--show-toplevel")
	if err != nil {
		t.Skipf("the sources are in no repository, so no older build can be made: %s", root)
	}
	repository := strings.TrimSpace(string(root))
	if _, err := output("git", "-C", repository, "cat-file", "-e", commit+"^{commit}"); err != nil {
		t.Skipf("the history of the repository does not reach back to %s", commit)
	}
	sources, file := t.TempDir(), filepath.Join(t.TempDir(), "yuccabridged-"+commit)
	archive, err := exec.Command("git", "-C", repository, "archive", commit, "cmd", "config", "internal", "platform", "go.mod", "go.sum").Output()
	if err != nil {
		t.Fatal(err)
	}
	unpack := exec.Command("tar", "-x", "-C", sources)
	unpack.Stdin = bytes.NewReader(archive)
	if out, err := unpack.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	build := exec.Command("go", "build", "-o", file, "./cmd/yuccabridged")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return file
}

// The guarantees hold while half of the instances run the first covered build and each restart changes the build
// of an instance, forth and back.
func TestBuildsRunSideBySide(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	other := buildFromHistory(t, firstCoveredBuild)
	for i, faults := range []Faults{MixedFaults, ReleaseFaults} {
		report, err := Run(t.Context(), Options{Seed: uint64(4100 + i), Duration: 5 * time.Second, Faults: faults, Instances: 6, Upstreams: 6,
			Daemon: file, OtherDaemon: other, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		for _, violation := range report.Violations {
			t.Errorf("%s: %s", faults, violation)
		}
	}
}
