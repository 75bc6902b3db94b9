package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// grace is the time between the request to stop and the kill.
	grace = 4 * time.Second
	// freshness is the time within which a published change takes effect.
	freshness = 2 * time.Second
)

// instance is one process of the daemon, started again after each end.
type instance struct {
	addresses
	name        string
	store       *proxy
	daemon, dir string

	troubles spans // when callers may see the process fail

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // closed when cmd has ended
	expected bool          // the end was asked for
	exits    []string      // ends that nobody asked for
}

const (
	// firstPort and lastPort bound the ports of the instances. They are below those that the
	// system gives to outgoing connections, one of which could hold a port while its instance
	// is down.
	firstPort, lastPort = 20000, 32000
)

// freePorts returns n different loopback addresses that are free for TCP and UDP.
func freePorts(n int) ([]string, error) {
	var out []string
	first := rand.IntN(lastPort - firstPort)
	for i := range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(first+i)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.Errorf("fewer than %d ports are free for TCP and UDP", n)
}

// addresses are where one instance listens.
type addresses struct{ callers, operations, peers string }

func newInstance(o Options, name string, at addresses, seeds []string, store *proxy) (*instance, error) {
	in := &instance{name: name, daemon: o.Daemon, dir: o.Dir, addresses: at, store: store}
	quoted := strings.Join(seeds, `", "`)
	text := fmt.Sprintf("instance: %s\nfailure_domain: zone\ncallers: {address: %s}\noperations: {address: %s}\nready_path: /ready\n"+
		"freshness: %s\nplatform: {address: %s}\npeers: {address: %s, gossip: %s, seeds: [\"%s\"], network: yuccabridge fault soak}\n"+
		"retries: {ratio: 0.2, window: 10s, slack: 56}\ngrace: %s\ndrain_delay: 300ms\n",
		in.name, in.callers, in.operations, freshness, store.address(), in.peers, in.peers, quoted, grace)
	return in, errors.Wrap(os.WriteFile(in.settings(), []byte(text), 0o600), "write settings")
}

func (in *instance) settings() string { return filepath.Join(in.dir, in.name+".yaml") }

// logFile is where the process writes standard output and standard error.
func (in *instance) logFile() string { return filepath.Join(in.dir, in.name+".log") }

// start starts the process.
func (in *instance) start() error {
	out, err := os.OpenFile(in.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cmd = exec.Command(in.daemon, "gateway", "--settings", in.settings())
	in.cmd.Stdout, in.cmd.Stderr = out, out
	if err := in.cmd.Start(); err != nil {
		out.Close()
		return errors.Wrap(err, "start "+in.name)
	}
	in.expected, in.ended = false, make(chan struct{})
	go in.wait(in.cmd, out, in.ended)
	return nil
}

func (in *instance) wait(cmd *exec.Cmd, out *os.File, ended chan struct{}) {
	err := cmd.Wait()
	out.Close()
	in.mu.Lock()
	if !in.expected {
		in.exits = append(in.exits, fmt.Sprintf("%s ended by itself: %v", in.name, err))
	}
	in.mu.Unlock()
	close(ended)
}

// signal sends a signal to the process that runs.
func (in *instance) signal(s syscall.Signal, ends bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.expected = in.expected || ends
	if err := in.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		in.exits = append(in.exits, fmt.Sprintf("%s: signal %v: %v", in.name, s, err))
	}
}

// await waits for the end of the process; it is killed when it takes longer than limit.
func (in *instance) await(limit time.Duration) {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		in.signal(syscall.SIGKILL, true)
		<-ended
	}
}
