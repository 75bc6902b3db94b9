//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// testTimeout limits how long a test waits for a condition.
	testTimeout = 30 * time.Second
	// sampleInterval is the time between two looks at the memory of the process.
	sampleInterval = 5 * time.Millisecond
)

// binary is the path of the daemon, built without the race detector, which takes several times the memory.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "yuccabridged")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/yuccabridge/yuccabridge/cmd/yuccabridged").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a running instance.
type daemon struct {
	cmd        *exec.Cmd
	exited     chan struct{}
	callers    string // addresses
	operations string
	log        string // path of the file with its output
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDaemon runs the daemon with the settings, in which the addresses are filled in, and waits until it is ready.
func startDaemon(t *testing.T, readyPath string, arguments []string, settings string) *daemon {
	t.Helper()
	d := &daemon{callers: freeAddress(t), operations: freeAddress(t), exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("callers: {address: %s}\noperations: {address: %s}\n%s", d.callers, d.operations, settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(d.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	d.cmd = exec.Command(binary, append(arguments, "--settings", file)...)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait() // the tests look at whether it has ended, not at why
		close(d.exited)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill() // it may have ended
		<-d.exited
		if t.Failed() {
			d.printLog(t)
		}
	})
	eventually(t, "the instance is ready", func() bool {
		res, err := http.Get("http://" + d.operations + readyPath)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	return d
}

// printLog prints the last lines of the log.
func (d *daemon) printLog(t *testing.T) {
	text, err := os.ReadFile(d.log)
	if err != nil {
		t.Log(err)
		return
	}
	const lines = 10
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	t.Logf("log of the daemon:\n%s", strings.Join(all[max(0, len(all)-lines):], "\n"))
}

func (d *daemon) lives() bool {
	select {
	case <-d.exited:
		return false
	default:
		return d.cmd.Process.Signal(syscall.Signal(0)) == nil
	}
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not seen: %s", condition)
		}
	}
}

// usage is what a process takes.
type usage struct {
	residentBytes int // VmRSS
	unreadBytes   int // in the receive buffers of the sockets on its port for callers, which count on the customers' machines
	descriptors   int
}

// memoryBytes is the memory that counts.
func (u usage) memoryBytes() int { return u.residentBytes + u.unreadBytes }

// usage reads what the daemon takes now; zero if it has ended.
func (d *daemon) usage() usage {
	var u usage
	dir := fmt.Sprintf("/proc/%d/", d.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			u.residentBytes = kb << 10
		}
	}
	if entries, err := os.ReadDir(dir + "fd"); err == nil {
		u.descriptors = len(entries)
	}
	u.unreadBytes = unreadBytes(d.callers)
	return u
}

// unreadBytes returns the bytes that wait to be read on the established connections to an address of this machine.
func unreadBytes(address string) int {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// sl, local address, remote address, state, send queue:receive queue, ...
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += int(n)
	}
	return total
}

// watch samples what the daemon takes until stop is called, which returns the largest values.
func (d *daemon) watch() (stop func() usage) {
	done, result := make(chan struct{}), make(chan usage)
	go func() {
		var most usage
		for memory := 0; ; time.Sleep(sampleInterval) {
			now := d.usage()
			if now.memoryBytes() > memory {
				memory = now.memoryBytes()
				most.residentBytes, most.unreadBytes = now.residentBytes, now.unreadBytes
			}
			most.descriptors = max(most.descriptors, now.descriptors)
			select {
			case <-done:
				result <- most
				return
			default:
			}
		}
	}()
	return func() usage {
		close(done)
		return <-result
	}
}
