package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a stopping daemon that closes connections whose requests have arrived, but which it has not read
// yet because it was not scheduled.
func TestGracefulShutdownAnswersRequestsThatHaveArrived(t *testing.T) {
	const (
		each       = 40
		drainDelay = 600 * time.Millisecond
	)
	service := startProcess(t, "service")
	daemon := startProcess(t, "daemon", "--settings", writeTempFile(t, "settings.yaml", fmt.Sprintf(`instance: entry-1
failure_domain: a
callers: {address: "127.0.0.1:0"}
operations: {address: "127.0.0.2:0"}
drain_delay: %s
configuration_file: %s
`, drainDelay, writeDeployment(t, testDeployment(nil, service.fields["address"])))))
	var conns []net.Conn
	dial := func() net.Conn {
		c, err := net.Dial("tcp", daemon.fields["callers"])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
		return c
	}
	ask := func(c net.Conn) {
		if _, err := fmt.Fprintf(c, "GET /orders/status HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", deskBearerKey); err != nil {
			t.Fatal(err)
		}
	}
	answer := func(c net.Conn) error {
		c.SetReadDeadline(time.Now().Add(startTimeout))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			res.Body.Close()
		}
		return err
	}
	for range each { // kept
		c := dial()
		ask(c)
		if err := answer(c); err != nil {
			t.Fatal(err)
		}
	}
	for range each { // accepted and not used
		dial()
	}
	time.Sleep(100 * time.Millisecond)
	daemon.signal(syscall.SIGTERM)
	time.Sleep(drainDelay / 2)
	daemon.signal(syscall.SIGSTOP)
	for range each { // not accepted
		dial()
	}
	for _, c := range conns {
		ask(c)
	}
	time.Sleep(drainDelay)
	daemon.signal(syscall.SIGCONT)
	var lost []string
	for i, c := range conns {
		if err := answer(c); err != nil {
			lost = append(lost, []string{"kept", "unused", "not accepted"}[i/each])
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d requests got no answer: %s", len(lost), len(conns), strings.Join(lost, ", "))
	}
	if code := daemon.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
