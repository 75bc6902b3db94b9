package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// tcpProxy forwards connections between a daemon and an upstream. A test can disconnect it
// or stall its connections.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	disconnected bool
	connections  []*proxiedConnection
}

// proxiedConnection is one connection through the proxy.
type proxiedConnection struct {
	conns   [2]net.Conn
	mu      sync.Mutex
	stalled bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	go p.acceptConnections()
	t.Cleanup(func() {
		listener.Close()
		p.setDisconnected(true)
	})
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) acceptConnections() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.forward(connection)
	}
}

func (p *tcpProxy) forward(client net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disconnected {
		client.Close()
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	connection := &proxiedConnection{conns: [2]net.Conn{client, upstream}}
	p.connections = append(p.connections, connection)
	go connection.forwardBytes(client, upstream)
	go connection.forwardBytes(upstream, client)
}

// forwardBytes copies bytes until one side closes. A stalled connection discards them.
func (c *proxiedConnection) forwardBytes(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		stalled := c.stalled
		c.mu.Unlock()
		if err != nil {
			if !stalled {
				to.Close()
			}
			return
		}
		if stalled {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// stall makes the open connections discard all data from now on and returns their number.
// New connections are not affected.
func (p *tcpProxy) stall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.connections {
		connection.mu.Lock()
		connection.stalled = true
		connection.mu.Unlock()
	}
	return len(p.connections)
}

// setDisconnected(true) closes all connections and closes new ones at once;
// setDisconnected(false) accepts connections again.
func (p *tcpProxy) setDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
	if !disconnected {
		return
	}
	for _, connection := range p.connections {
		connection.conns[0].Close()
		connection.conns[1].Close()
	}
	p.connections = nil
}

// A stream whose connection stalls without being closed must be resumed on a new connection
// and be complete.
func TestStreamResumesAfterStalledConnection(t *testing.T) {
	engine := startProcess(t, "engine")
	proxy := newTCPProxy(t, engine.fields["address"])
	daemon := startStandaloneDaemon(t, writeDeployment(t, testDeployment([]string{proxy.address()})))
	const tokens = 150
	resp := post(t, daemon.fields["callers"], "/v1/chat/completions", chatBody(t, tokens))
	prefix := make([]byte, 512)
	if _, err := io.ReadFull(resp.Body, prefix); err != nil {
		t.Fatal(err)
	}
	if n := proxy.stall(); n == 0 {
		t.Fatal("no connection was open")
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	body := append(prefix, rest...)
	if n := bytes.Count(body, []byte(`"token":`)); n != tokens || !bytes.Contains(body, []byte("[DONE]")) {
		t.Errorf("got %d tokens of %d", n, tokens)
	}
}

// An order must be sent on a new connection, because pooled connections may have stalled.
func TestOrderUsesNewConnection(t *testing.T) {
	service := startProcess(t, "service")
	proxy := newTCPProxy(t, service.fields["address"])
	d := testDeployment(nil, proxy.address())
	daemon := startStandaloneDaemon(t, writeDeployment(t, d))
	region := &testRegion{t: t, services: []*process{service}, daemons: []*process{daemon}}
	resp := post(t, daemon.fields["callers"], "/orders/lookup", `{}`)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("lookup: status %d", resp.StatusCode)
	}
	proxy.stall()
	if r := region.orderThrough(0, region.issueTicket(0), "shaft-9"); r.status != http.StatusOK {
		t.Errorf("got %d %s", r.status, r.text)
	}
	if n := region.executions().Orders["shaft-9"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// While an upstream is unreachable, requests must go to the other upstream. They must use
// both again when the connection is restored.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	engines := []*process{startProcess(t, "engine"), startProcess(t, "engine")}
	proxy := newTCPProxy(t, engines[0].fields["address"])
	daemon := startStandaloneDaemon(t, writeDeployment(t, testDeployment([]string{proxy.address(), engines[1].fields["address"]})))
	region := &testRegion{t: t, engines: engines, daemons: []*process{daemon}}
	proxy.setDisconnected(true)
	for i := range 10 {
		if !chatSucceeds(t, daemon.fields["callers"]) {
			t.Errorf("request %d failed while one upstream was unreachable", i)
		}
	}
	proxy.setDisconnected(false)
	waitUntil(t, "a request to the reconnected upstream", func() bool {
		return chatSucceeds(t, daemon.fields["callers"]) && region.engineRequests(0) > 0
	})
}
