package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// stoppedConn is a connection to an instance that is being stopped, with the outcome of its last request.
type stoppedConn struct {
	net.Conn
	id string
}

func dialInstance(t *testing.T, in *instance) *stoppedConn {
	t.Helper()
	c, err := net.Dial("tcp", in.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &stoppedConn{Conn: c}
}

// writeRequest writes a whole request.
func (c *stoppedConn) writeRequest(t *testing.T, prefix, id string) {
	t.Helper()
	c.id = id
	if _, err := fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
		prefix, id, hostName, id, permanentKey); err != nil {
		t.Fatal(err)
	}
}

// readStatus returns the status of the answer; an error if the connection ends without one.
func (c *stoppedConn) readStatus() (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// testDrainDelay is the drain delay in the settings of instances.
const testDrainDelay = 300 * time.Millisecond

// Guards against a stopping instance that closes connections whose requests have arrived, but which it
// has not read yet because it was not scheduled.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	const each = 40
	_, in := startInstance(t)
	var conns []*stoppedConn
	for i := range each { // kept
		c := dialInstance(t, in)
		c.writeRequest(t, lookupPrefix, fmt.Sprint("first-", i))
		if status, err := c.readStatus(); err != nil || status != http.StatusOK {
			t.Fatalf("before the stop: status %d, %v", status, err)
		}
		conns = append(conns, c)
	}
	for range each { // accepted and not used
		conns = append(conns, dialInstance(t, in))
	}
	time.Sleep(100 * time.Millisecond)
	in.signal(syscall.SIGTERM, true)
	time.Sleep(testDrainDelay / 2)
	in.signal(syscall.SIGSTOP, false)
	for range each { // not accepted
		conns = append(conns, dialInstance(t, in))
	}
	for i, c := range conns {
		c.writeRequest(t, lookupPrefix, fmt.Sprint("late-", i))
	}
	time.Sleep(testDrainDelay)
	in.signal(syscall.SIGCONT, false)
	lost := map[string]int{}
	for i, c := range conns {
		if _, err := c.readStatus(); err != nil {
			lost[[]string{"kept", "unused", "not accepted"}[i/each]]++
		}
	}
	in.awaitExit(gracePeriod)
	if len(lost) > 0 {
		log, err := os.ReadFile(in.logFile())
		t.Errorf("requests without an answer, of %d on connections of each kind: %v; the log has %d lines request_unanswered (read: %d), %v",
			each, lost, strings.Count(string(log), "event=request_unanswered"), strings.Count(string(log), "bytes=read "), err)
	}
}

// Guards against signals that end a stopping process, and the requests in progress with it.
func TestSignalsDuringAPlannedStopEndNoRequest(t *testing.T) {
	const orders = 6
	tb, in := startInstance(t)
	tb.setBehaviour(standin.Behaviour{Delay: 1200 * time.Millisecond})
	var conns []*stoppedConn
	for i := range orders {
		c := dialInstance(t, in)
		c.writeRequest(t, orderPrefix, fmt.Sprint("order-", i))
		conns = append(conns, c)
	}
	time.Sleep(100 * time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		in.signal(s, s == syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	for i, c := range conns {
		if status, err := c.readStatus(); err != nil || status != http.StatusOK {
			t.Errorf("order %d: status %d, %v", i, status, err)
		}
	}
	in.awaitExit(gracePeriod)
	if code := in.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
