package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// relay is a link between a daemon and an upstream that a test can cut or silence.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	links []*link
}

// link is one connection through the relay.
type link struct {
	ends   [2]net.Conn
	mu     sync.Mutex
	silent bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	go r.accept()
	t.Cleanup(func() {
		l.Close()
		r.setCut(true)
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.open(c)
	}
}

func (r *relay) open(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		c.Close()
		return
	}
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		c.Close()
		return
	}
	l := &link{ends: [2]net.Conn{c, up}}
	r.links = append(r.links, l)
	go l.copy(c, up)
	go l.copy(up, c)
}

// copy passes bytes on until an end closes. A silent link reads and drops them.
func (l *link) copy(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
		if silent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good; new ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(r.links)
}

// setCut closes all connections and refuses new ones, or ends that.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for _, l := range r.links {
		l.ends[0].Close()
		l.ends[1].Close()
	}
	r.links = nil
}

// A stream whose link goes silent must go on over a new connection, whole.
func TestStreamOverASilentLink(t *testing.T) {
	engine := start(t, "engine")
	link := newRelay(t, engine.fields["address"])
	daemon := startAlone(t, writeDeployment(t, deployment([]string{link.address()})))
	const tokens = 150
	resp := post(t, daemon.fields["callers"], "/v1/chat/completions", chatBody(t, tokens))
	head := make([]byte, 512)
	if _, err := io.ReadFull(resp.Body, head); err != nil {
		t.Fatal(err)
	}
	if n := link.silence(); n == 0 {
		t.Fatal("no connection was open")
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	whole := append(head, rest...)
	if n := bytes.Count(whole, []byte(`"token":`)); n != tokens || !bytes.Contains(whole, []byte("[DONE]")) {
		t.Errorf("got %d tokens of %d", n, tokens)
	}
}

// An order must leave on a connection of its own: the pooled ones may be silent.
func TestOrderPastSilentLinks(t *testing.T) {
	service := start(t, "service")
	link := newRelay(t, service.fields["address"])
	d := deployment(nil, link.address())
	daemon := startAlone(t, writeDeployment(t, d))
	g := &region{t: t, services: []*process{service}, daemons: []*process{daemon}}
	resp := post(t, daemon.fields["callers"], "/orders/lookup", `{}`)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("lookup: status %d", resp.StatusCode)
	}
	link.silence()
	if r := g.order(0, g.ticketOf(0), "shaft-9"); r.status != http.StatusOK {
		t.Errorf("got %d %s", r.status, r.text)
	}
	if n := g.executions().Orders["shaft-9"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Requests must go to the other upstream while the link to one is cut, and come back
// when it heals.
func TestCutLink(t *testing.T) {
	engines := []*process{start(t, "engine"), start(t, "engine")}
	link := newRelay(t, engines[0].fields["address"])
	daemon := startAlone(t, writeDeployment(t, deployment([]string{link.address(), engines[1].fields["address"]})))
	g := &region{t: t, engines: engines, daemons: []*process{daemon}}
	link.setCut(true)
	for i := range 10 {
		if !chatOnce(t, daemon.fields["callers"]) {
			t.Errorf("request %d failed while one link was cut", i)
		}
	}
	link.setCut(false)
	eventually(t, "a request over the healed link", func() bool {
		return chatOnce(t, daemon.fields["callers"]) && g.engineRequests(0) > 0
	})
}
