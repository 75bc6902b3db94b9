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
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// roleVariable makes the test binary run as one of the processes of a test.
const roleVariable = "YUCCABRIDGE_TEST_ROLE"

// startTimeout bounds the wait for a process to report its address.
const startTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "daemon":
		main()
	case "engine":
		standIn(emulator.NewEngine(emulator.EngineOptions{Seed: 1}))
	case "service":
		standIn(emulator.NewService("orders"))
	case "platform":
		standIn(emulator.NewPlatform(emulator.PlatformOptions{}))
	default:
		os.Exit(m.Run())
	}
}

type server interface {
	Start(addr string) error
	Addr() string
	Stop()
}

// standIn serves until the process is told to stop.
func standIn(s server) {
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

// process is one started process.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	fields map[string]string // key=value pairs of its first line that holds an address
	exit   chan error
}

var pair = regexp.MustCompile(`(\w+)="?([^" ]+)"?`)

func roleCommand(role string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	return cmd
}

// start runs the test binary in a role and waits for its addresses.
func start(t *testing.T, role string, args ...string) *process {
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
	found := make(chan bool, 1)
	go p.read(bufio.NewScanner(stdout), found)
	select {
	case <-found:
	case <-time.After(startTimeout):
		t.Fatalf("%s did not report its address", role)
	}
	return p
}

var addressLine = regexp.MustCompile(`(^address=|event=started)`)

// read keeps the address line and drains the rest, so that the process never blocks.
func (p *process) read(lines *bufio.Scanner, found chan<- bool) {
	for lines.Scan() {
		if testing.Verbose() {
			fmt.Println(lines.Text())
		}
		if len(p.fields) == 0 && addressLine.MatchString(lines.Text()) {
			for _, m := range pair.FindAllStringSubmatch(lines.Text(), -1) {
				p.fields[m[1]] = m[2]
			}
			found <- true
		}
	}
	p.exit <- p.cmd.Wait()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	// The process may have ended already.
	_ = p.cmd.Process.Kill()
}

// wait returns the exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.exit:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(startTimeout):
		p.t.Fatal("the process did not end")
		return -1
	}
}

const deskKey = "key-desk"

// deployment declares one model and one service for the given addresses.
func deployment(engines []string, services ...string) *config.Deployment {
	digest := sha256.Sum256([]byte(deskKey))
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

// write stores text in a file of the test's own folder.
func write(t *testing.T, name, text string) string {
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
	return write(t, "deployment.yaml", string(text))
}
