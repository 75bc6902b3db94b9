package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/trace"
	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// daemon builds the daemon's program once for all tests.
var daemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "yuccabridge-soak-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "yuccabridged")
	out, err := exec.Command("go", "build", "-o", file, "github.com/yuccabridge/yuccabridge/cmd/yuccabridged").CombinedOutput()
	if err != nil {
		os.Stderr.Write(out)
	}
	return file, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if file, err := daemon(); err == nil {
		os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

// oneInstance starts a process of the daemon beside two upstreams.
func oneInstance(t *testing.T) (*world, *instance) {
	t.Helper()
	file, err := daemon()
	if err != nil {
		t.Fatal(err)
	}
	w, err := newWorld(Options{Seed: 1, Instances: 1, Upstreams: 2, Daemon: file, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	in := w.instances[0]
	if err := in.start(); err != nil {
		t.Fatal(err)
	}
	if !in.readyWithin(startTime) {
		t.Fatal("not ready")
	}
	return w, in
}

// behave gives all upstreams one behaviour.
func (w *world) behave(b standin.Behaviour) {
	for _, u := range w.upstreams {
		u.SetBehaviour(func(standin.Execution) standin.Behaviour { return b })
	}
}

// expectLog waits until the process has written all the words about a request, or anywhere
// when id is empty.
func (in *instance) expectLog(t *testing.T, id string, words ...string) {
	t.Helper()
	var text string
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		raw, err := os.ReadFile(in.logFile())
		if err != nil {
			t.Fatal(err)
		}
		text = string(raw)
		if id != "" {
			lines, err := trace.Read(strings.NewReader(text), in.name, id)
			if err != nil {
				t.Fatal(err)
			}
			text = trace.Explain(trace.Merge(lines))
		}
		missing := false
		for _, word := range words {
			missing = missing || !strings.Contains(text, word)
		}
		if !missing {
			return
		}
	}
	t.Errorf("%q does not say %q", text, words)
}

// Guards against failures of a real process whose cause its log file does not tell.
func TestLogFileExplainsEachKindOfFailure(t *testing.T) {
	w, in := oneInstance(t)
	c := newCaller(w, 0, 0, 1)
	for _, x := range []struct {
		path   string
		b      standin.Behaviour
		status int
		words  []string
	}{
		{orderPrefix, standin.Behaviour{NotRun: true}, 503, []string{"not run", "did not run the request"}},
		{orderPrefix, standin.Behaviour{BreakAfter: 1}, 502, []string{"unknown outcome", "may have run"}},
		{streamPrefix, standin.Behaviour{Events: streamEvents, BreakAfter: breakAfter}, 200, []string{"broke off after"}},
	} {
		w.behave(x.b)
		o := c.send(x.path, standingKey)
		if o.status != x.status {
			t.Errorf("%v, want %d", o, x.status)
		}
		in.expectLog(t, o.id, x.words...)
	}
}

// Guards against a stop that cuts requests in progress, and a reload that ends the process.
func TestReloadAndStopOfAProcessCutNobody(t *testing.T) {
	w, in := oneInstance(t)
	w.behave(standin.Behaviour{Events: streamEvents, Delay: 100 * time.Millisecond})
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		got := make(chan observation, 1)
		go func() { got <- newCaller(w, 0, int(s), 1).send(streamPrefix, standingKey) }()
		time.Sleep(200 * time.Millisecond)
		in.signal(s, s == syscall.SIGTERM)
		if o := <-got; o.status != 200 || o.err != nil || o.body != wholeStream() {
			t.Errorf("signal %v: %v: %q", s, o, o.body)
		}
		if s == syscall.SIGHUP {
			in.expectLog(t, "", "event=settings_checked", "are valid")
		}
	}
	in.await(grace)
	in.expectLog(t, "", "event=draining", "event=stopped")
	if code := in.cmd.ProcessState.ExitCode(); code != 0 || len(in.exits) > 0 {
		t.Errorf("exit code %d, %v", code, in.exits)
	}
}
