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
	// gracePeriod is the time between the stop signal and the kill, but for some instances of [StopFaults].
	gracePeriod = 4 * time.Second
	// drainDelay is the drain delay of the instances, but for some in [StopFaults].
	drainDelay = 300 * time.Millisecond
	// freshness is the time within which an instance must apply a published change.
	freshness = 2 * time.Second
)

// instance is a daemon process that is restarted after kills and stops.
type instance struct {
	addresses
	times      stopTimes
	name       string
	storeProxy *proxy
	dir        string
	builds     []string // paths of daemon binaries; each start takes the next one

	processFaults faultIntervals // when process faults may affect callers
	stops         faultIntervals // from the stop signal to the exit

	mu            sync.Mutex
	starts        int
	started       bool // the current process has been ready, and so handles signals
	cmd           *exec.Cmd
	exited        chan struct{} // closed when cmd has exited
	exitExpected  bool          // a kill or stop was requested
	processErrors []string      // unexpected exits and failed signals
}

const (
	// firstPort and lastPort delimit the ports of the instances. They lie below the ephemeral
	// port range: an outgoing connection could otherwise occupy a port while its instance is
	// down.
	firstPort, lastPort = 20000, 32000
)

// anyLoopbackPort lets the kernel choose a port, for listeners that are never closed and opened
// again.
const anyLoopbackPort = "127.0.0.1:0"

// portsPerRun is the number of consecutive ports of one run.
const portsPerRun = 512

// portClaim is a range of ports that only one run uses. Its first port is kept open for that time: a
// port that is free now may otherwise be taken by another run before an instance opens it, or while
// the instance is down.
type portClaim struct {
	guard net.Listener
	next  int
	end   int
}

// claimPorts claims a random range of ports that no other run has claimed.
func claimPorts() (*portClaim, error) {
	ranges := (lastPort - firstPort) / portsPerRun
	for _, i := range rand.Perm(ranges) {
		start := firstPort + i*portsPerRun
		if guard, err := net.Listen("tcp", loopbackAddress(start)); err == nil {
			return &portClaim{guard: guard, next: start + 1, end: start + portsPerRun}, nil
		}
	}
	return nil, errors.Errorf("all %d ranges of ports are in use", ranges)
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// free returns n distinct loopback addresses whose ports are free for TCP and UDP.
func (c *portClaim) free(n int) ([]string, error) {
	var out []string
	for ; len(out) < n; c.next++ {
		if c.next == c.end {
			return nil, errors.Errorf("fewer than %d ports are free for TCP and UDP", n)
		}
		address := loopbackAddress(c.next)
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
		out = append(out, address)
	}
	return out, nil
}

func (c *portClaim) close() { c.guard.Close() }

// addresses are the listen addresses of an instance.
type addresses struct{ callers, operations, peers string }

// stopTimes are the settings of an instance for planned stops.
type stopTimes struct {
	drainDelay, grace time.Duration
	kill              time.Duration // from the stop signal
}

// stopTimes returns the times of an instance. Responses announce for how long a connection may be used again if the
// drain delay is long enough; the stop plan has instances with and without.
func (o Options) stopTimes(instance int) stopTimes {
	if delay := stopDrainDelays[instance%len(stopDrainDelays)]; o.Faults == StopFaults && delay > drainDelay {
		return stopTimes{drainDelay: delay, grace: delay + timeAfterDrain, kill: delay + timeAfterDrain + stallAllowance}
	}
	return stopTimes{drainDelay: drainDelay, grace: gracePeriod, kill: gracePeriod}
}

func newInstance(o Options, index int, name, failureDomain string, listen addresses, seeds []string, store *proxy) (*instance, error) {
	in := &instance{name: name, times: o.stopTimes(index), builds: o.builds(index), dir: o.Dir, addresses: listen, storeProxy: store}
	quoted := strings.Join(seeds, `", "`)
	text := fmt.Sprintf("instance: %s\nfailure_domain: %s\ncallers: {address: %s}\noperations: {address: %s}\nready_path: /ready\n"+
		"freshness: %s\nplatform: {address: %s}\npeers: {address: %s, gossip: %s, seeds: [\"%s\"], network: yuccabridge fault soak}\n"+
		"retries: {ratio: %g, window: %s, slack: %d}\ngrace: %s\ndrain_delay: %s\nmemory_mb: %d\n",
		in.name, failureDomain, in.callers, in.operations, freshness, store.address(), in.peers, in.peers, quoted, retryRatio, retryWindow, retrySlack, in.times.grace, in.times.drainDelay, int(memoryLimit/1e6))
	return in, errors.Wrap(os.WriteFile(in.settingsFile(), []byte(text), 0o600), "write settings")
}

func (in *instance) settingsFile() string { return filepath.Join(in.dir, in.name+".yaml") }

// logFile returns the path of the file that receives standard output and standard error.
func (in *instance) logFile() string { return filepath.Join(in.dir, in.name+".log") }

// start starts a new process and a goroutine that waits for its exit.
func (in *instance) start() error {
	out, err := os.OpenFile(in.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	build := in.builds[in.starts%len(in.builds)]
	in.starts++
	cmd := exec.Command(build, "gateway", "--settings", in.settingsFile())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return errors.Wrap(err, "start "+in.name)
	}
	in.cmd = cmd // only of a process that has started: it is signaled at the end of the run
	in.exitExpected, in.started, in.exited = false, false, make(chan struct{})
	go in.reap(cmd, out, in.exited)
	return nil
}

func (in *instance) reap(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	err := cmd.Wait()
	out.Close()
	in.mu.Lock()
	if !in.exitExpected {
		in.processErrors = append(in.processErrors, fmt.Sprintf("%s ended by itself: %v", in.name, err))
	}
	in.mu.Unlock()
	close(exited)
}

// signal sends a signal to the current process. If terminates is true, the exit that follows is
// expected.
func (in *instance) signal(s syscall.Signal, terminates bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.exitExpected = in.exitExpected || terminates
	if err := in.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		in.processErrors = append(in.processErrors, fmt.Sprintf("%s: signal %v: %v", in.name, s, err))
	}
}

// awaitStart waits until a new process is ready. It returns false after startTimeout.
func (in *instance) awaitStart() bool {
	if !in.awaitReady(startTimeout) {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.started = true
	return true
}

// signalStarted sends a signal that does not end the process, unless it may not handle signals yet.
func (in *instance) signalStarted(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.started {
		return
	}
	if err := in.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		in.processErrors = append(in.processErrors, fmt.Sprintf("%s: signal %v: %v", in.name, s, err))
	}
}

// stall stops the process from running until waitForEnd returns.
func (in *instance) stall(waitForEnd func()) {
	defer in.processFaults.begin()()
	in.signalStarted(syscall.SIGSTOP)
	waitForEnd()
	in.signalStarted(syscall.SIGCONT)
}

// awaitExit waits until the process exits, and kills it after the timeout. It reports whether it was killed.
func (in *instance) awaitExit(timeout time.Duration) (killed bool) {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
		return false
	case <-time.After(timeout):
		in.signal(syscall.SIGKILL, true)
		<-exited
		return true
	}
}
