package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// roleEnvironmentVariable selects the process role that the test binary runs as.
const roleEnvironmentVariable = "YUCCABRIDGE_TEST_ROLE"

// startTimeout bounds the wait for a process to report its address or to exit.
const startTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnvironmentVariable) {
	case "daemon":
		main()
	case "engine":
		serveStandIn(emulator.NewEngine(emulator.EngineOptions{Seed: 1}))
	case "service":
		serveStandIn(emulator.NewService("orders"))
	case "platform":
		serveStandIn(emulator.NewPlatform(emulator.PlatformOptions{}))
	default:
		os.Exit(m.Run())
	}
}

type standInServer interface {
	Start(addr string) error
	Addr() string
	Stop()
}

// serveStandIn runs a stand-in until SIGTERM.
func serveStandIn(s standInServer) {
	if err := s.Start("127.0.0.1:0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("address=%q\n", s.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	s.Stop()
}

// process is a child process of a test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	fields map[string]string // key=value pairs of the output line that reports the addresses
	exit   chan error
}

var fieldPattern = regexp.MustCompile(`(\w+)="?([^" ]+)"?`)

func roleCommand(role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleEnvironmentVariable+"="+role)
	return cmd
}

// startProcess runs the test binary in a role and waits until it reports its addresses.
func startProcess(t *testing.T, role string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: roleCommand(role, args...), fields: map[string]string{}, exit: make(chan error, 1)}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	addressFound := make(chan bool, 1)
	go p.scanOutput(bufio.NewScanner(stdout), addressFound)
	select {
	case <-addressFound:
	case <-time.After(startTimeout):
		t.Fatalf("%s did not report its address", role)
	}
	return p
}

var addressLinePattern = regexp.MustCompile(`(^address=|event=started)`)

// scanOutput parses the line with the addresses and discards the other output, so that the
// process never blocks on a full pipe.
func (p *process) scanOutput(lines *bufio.Scanner, addressFound chan<- bool) {
	for lines.Scan() {
		if testing.Verbose() {
			fmt.Println(lines.Text())
		}
		if len(p.fields) == 0 && addressLinePattern.MatchString(lines.Text()) {
			for _, m := range fieldPattern.FindAllStringSubmatch(lines.Text(), -1) {
				p.fields[m[1]] = m[2]
			}
			addressFound <- true
		}
	}
	p.exit <- p.cmd.Wait()
}

// suspend stops the process and waits until all its threads have stopped: the one that takes the signal may have to wait for
// a processor, and the others run meanwhile.
func (p *process) suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	waitUntil(p.t, "all threads to stop", func() bool {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil {
			p.t.Fatal(err)
		}
		for _, file := range states {
			text, err := os.ReadFile(file)
			// The state follows the name of the thread in parentheses; a thread may have ended meanwhile.
			if _, rest, ok := strings.Cut(string(text), ") "); err == nil && ok && !strings.HasPrefix(rest, "T") {
				return false
			}
		}
		return true
	})
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// kill sends SIGKILL.
func (p *process) kill() {
	// The process may have exited already.
	_ = p.cmd.Process.Kill()
}

// wait waits for the process to exit and returns its exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.exit:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(startTimeout):
		p.t.Fatal("the process did not exit in time")
		return -1
	}
}

const deskBearerKey = "key-desk"

// testDeployment returns a configuration with one model and one service that use the given
// upstream addresses.
func testDeployment(engines []string, services ...string) *config.Deployment {
	digest := sha256.Sum256([]byte(deskBearerKey))
	d := &config.Deployment{
		Version: 1, Name: "process-test", Region: "north", Objective: config.Goodput, FailureDomains: []string{"a", "b"},
		Classes: []config.Class{{Name: "interactive", Tier: 1, FirstTokenTarget: config.Duration(time.Second), Deadline: config.Duration(20 * time.Second)}},
		Teams:   []config.Team{{Name: "desk", KeySHA256: []string{hex.EncodeToString(digest[:])}}},
		Models:  []config.Model{{Name: "llm", Class: "interactive"}},
	}
	if len(engines) == 0 {
		d.Models = nil
	}
	for i, address := range engines {
		d.Models[0].Upstreams = append(d.Models[0].Upstreams, config.Upstream{Name: fmt.Sprintf("llm-%d", i), Address: address, FailureDomain: d.FailureDomains[i%2]})
	}
	if len(services) > 0 {
		s := config.Service{Name: "orders", PathPrefix: "/orders/", Class: "interactive",
			NonIdempotent: []config.Operation{{Method: "POST", Path: "/orders/runs"}}}
		for i, address := range services {
			s.Upstreams = append(s.Upstreams, config.Upstream{Name: fmt.Sprintf("orders-%d", i), Address: address, FailureDomain: d.FailureDomains[i%2]})
		}
		d.Services = []config.Service{s}
	}
	return d
}

// writeTempFile writes text to a file in a temporary directory of the test.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func writeDeployment(t *testing.T, d *config.Deployment) string {
	t.Helper()
	text, err := d.YAML()
	if err != nil {
		t.Fatal(err)
	}
	return writeTempFile(t, "deployment.yaml", string(text))
}
