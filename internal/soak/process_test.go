package soak

import (
	"io"
	"net/http"
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

// buildDaemon builds the daemon binary once for all tests and returns its path.
var buildDaemon = sync.OnceValues(func() (string, error) {
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
	if file, err := buildDaemon(); err == nil {
		os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

// startInstance starts one daemon process with two upstreams.
func startInstance(t *testing.T) (*testbed, *instance) {
	t.Helper()
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	tb, err := newTestbed(Options{Seed: 1, Instances: 1, Upstreams: 2, Daemon: file, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tb.close)
	in := tb.instances[0]
	if err := in.start(); err != nil {
		t.Fatal(err)
	}
	if !in.awaitReady(startTimeout) {
		t.Fatal("not ready")
	}
	return tb, in
}

// setBehaviour sets the same behaviour for all upstreams.
func (tb *testbed) setBehaviour(b standin.Behaviour) {
	for _, u := range tb.upstreams {
		u.SetBehaviour(func(standin.Execution) standin.Behaviour { return b })
	}
}

// expectLog waits until the explanation of a request from the log contains all words. If id is
// empty, it waits until the log contains them.
func (in *instance) expectLog(t *testing.T, id string, words ...string) {
	t.Helper()
	var text string
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
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

// Guards against failures whose cause cannot be found in the log file of the process.
func TestLogFileExplainsEachKindOfFailure(t *testing.T) {
	tb, in := startInstance(t)
	c := newCaller(tb, 0, 0, 1)
	for _, tc := range []struct {
		path      string
		behaviour standin.Behaviour
		status    int
		words     []string
	}{
		{orderPrefix, standin.Behaviour{NotRun: true}, 503, []string{"not run", "did not run the request"}},
		{orderPrefix, standin.Behaviour{BreakAfter: 1}, 502, []string{"unknown outcome", "may have run"}},
		{streamPrefix, standin.Behaviour{Events: eventsPerStream, BreakAfter: breakAfterEvents}, 200, []string{"broke off after"}},
	} {
		tb.setBehaviour(tc.behaviour)
		o := c.send(tc.path, permanentKey)
		if o.status != tc.status {
			t.Errorf("%v, want %d", o, tc.status)
		}
		in.expectLog(t, o.id, tc.words...)
	}
}

// Guards against a shutdown that interrupts requests in progress, and against a reload that
// terminates the process.
func TestReloadAndShutdownInterruptNoRequest(t *testing.T) {
	tb, in := startInstance(t)
	tb.setBehaviour(standin.Behaviour{Events: eventsPerStream, Delay: 100 * time.Millisecond})
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		got := make(chan observation, 1)
		go func() { got <- newCaller(tb, 0, int(s), 1).send(streamPrefix, permanentKey) }()
		time.Sleep(200 * time.Millisecond)
		in.signal(s, s == syscall.SIGTERM)
		if o := <-got; o.status != 200 || o.err != nil || o.body != completeStream() {
			t.Errorf("signal %v: %v: %q", s, o, o.body)
		}
		if s == syscall.SIGHUP {
			in.expectLog(t, "", "event=settings_checked", "are valid")
		}
	}
	in.awaitExit(gracePeriod)
	in.expectLog(t, "", "event=draining", "event=stopped")
	if code := in.cmd.ProcessState.ExitCode(); code != 0 || len(in.processErrors) > 0 {
		t.Errorf("exit code %d, %v", code, in.processErrors)
	}
}

// Guards against a stream without chunks that looks complete to its caller because the process was killed.
func TestKilledProcessDoesNotCompleteAStreamWithoutChunks(t *testing.T) {
	tb, in := startInstance(t)
	tb.setBehaviour(standin.Behaviour{Events: eventsPerStream, Delay: 300 * time.Millisecond, OmitLength: true})
	r, err := standin.Request{Address: in.callers, Host: hostName, Method: http.MethodPost, Path: streamPrefix, ID: "killed", APIKey: permanentKey,
		Timeout: requestTimeout}.Build(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	first := []byte(standin.EventText(0))
	if _, err := io.ReadFull(res.Body, first); err != nil || res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		t.Fatalf("length %d, encoding %v, %v", res.ContentLength, res.TransferEncoding, err)
	}
	in.signal(syscall.SIGKILL, true)
	in.awaitExit(gracePeriod)
	if rest, err := io.ReadAll(res.Body); err == nil {
		t.Errorf("the stream ends regularly after %q%q", first, rest)
	}
}
