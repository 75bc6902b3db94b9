//go:build review

// Command tool plays the cases of this review: it starts the gateway processes, a store, servers and
// clients on loopback addresses, and judges by what the clients and the servers have seen.
package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const host = "review.example"

var started = time.Now()

// record is the text of record.txt.
var record struct {
	mu   sync.Mutex
	file *os.File
}

func logf(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
}

func die(format string, args ...any) {
	logf("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	panic(cannotRun{})
}

type cannotRun struct{}

// freePort returns a port that is free for TCP and UDP, below those that the kernel gives to connections.
func freePort() int {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+mathrand.IntN(16000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return port
		}
	}
	die("no free port")
	return 0
}

// node is one machine of the system with its process.
type node struct {
	name, zone                string
	front, readiness, control int
	settings                  string
	binary, logFile           string
	memoryMB                  int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
	killed int // for memory over the limit
	peakMB int
}

type world struct {
	dir   string
	store *standin.Store
	nodes []*node
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		die("%v", err)
	}
	return &world{dir: dir, store: standin.NewStore()}
}

// addNode renders the settings of a machine as deploy/settings.tmpl does.
func (w *world) addNode(name, zone string, seeds []int, memoryMB int) *node {
	n := &node{name: name, zone: zone, front: freePort(), readiness: freePort(), control: freePort(), memoryMB: memoryMB}
	if len(w.nodes) > 0 {
		seeds = append(seeds, w.nodes[0].control)
	}
	var list []string
	for _, s := range seeds {
		list = append(list, strconv.Quote(fmt.Sprintf("127.0.0.1:%d", s)))
	}
	text := fmt.Sprintf(`instance: %s
failure_domain: %s
callers:
  address: 127.0.0.1:%d
operations:
  address: 127.0.0.1:%d
ready_path: /ready
first_start: true
freshness: 2000ms
platform:
  address: %s
peers:
  address: 127.0.0.1:%d
  gossip: 127.0.0.1:%d
  seeds: [%s]
  network: yuccabridge %s
retries:
  ratio: 0.2
  window: 10s
  slack: 56
grace: 8s
memory_mb: %d
`, name, zone, n.front, n.readiness, w.store.Address(), n.control, n.control, strings.Join(list, ","), w.store.Address(), memoryMB)
	n.settings = filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		die("%v", err)
	}
	n.binary, n.logFile = os.Getenv("REVIEW_BINARY"), filepath.Join(w.dir, name+".log")
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		die("%v", err)
	}
	defer log.Close()
	if n.starts == 1 { // the settings of a later start
		text, err := os.ReadFile(n.settings)
		if err == nil {
			err = os.WriteFile(n.settings, bytes.Replace(text, []byte("first_start: true"), []byte("first_start: false"), 1), 0o600)
		}
		if err != nil {
			die("%v", err)
		}
	}
	n.cmd = exec.Command(n.binary, "gateway", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		die("start %s: %v", n.name, err)
	}
	n.starts++
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		err := cmd.Wait()
		logf("process of %s ended: %v", n.name, err)
		close(exited)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Signal(s)
	}
}

func (n *node) frontAddress() string { return fmt.Sprintf("127.0.0.1:%d", n.front) }

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://127.0.0.1:%d/ready", n.readiness))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				die("%s does not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		if n.exited != nil {
			<-n.exited
		}
		if os.Getenv("KEEP_LOGS") != "" {
			if b, err := os.ReadFile(n.logFile); err == nil {
				os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), n.name+".log"), b, 0o600)
			}
		}
	}
	w.store.Close()
	os.RemoveAll(w.dir)
}

// residentMB returns the resident memory of the process in 10^6 bytes.
func (n *node) residentMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return int(float64(pages) * float64(os.Getpagesize()) / 1e6)
}

// run is a request that a server has begun to work on.
type run struct {
	id, server, path string
	at               time.Duration
}

// server is a stand-in for a server of a service.
type server struct {
	service, zone string
	engine        bool
	slots         int
	handle        func(s *server, c net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	id       string
	address  string // of the last start
	born     int64
	seq      int
	listener net.Listener
	conns    map[net.Conn]bool
	inFlight map[string]string // path by attempt
	down     bool
}

var runs struct {
	mu   sync.Mutex
	list []run
}

// hasRun reports whether a server has begun to work on the attempt.
func hasRun(attempt string) bool {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for _, r := range runs.list {
		if r.id == attempt {
			return true
		}
	}
	return false
}

func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// start begins a new incarnation with a new id and an entry in the store, at a new address.
func (s *server) start(w *world) { s.startAt(w, "127.0.0.1:0") }

func (s *server) startAt(w *world, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		die("%v", err)
	}
	s.mu.Lock()
	s.id, s.listener, s.conns, s.inFlight, s.down = "i-"+newID()[:8], l, map[net.Conn]bool{}, map[string]string{}, false
	s.address, s.born, s.seq = l.Addr().String(), time.Now().UnixMilli(), 0
	id := s.id
	s.mu.Unlock()
	s.put(w, 0)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.down {
				s.mu.Unlock()
				c.Close()
				continue
			}
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(id, c)
		}
	}()
}

// put writes the entry of the server.
func (s *server) put(w *world, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.seq++
	w.store.Put("servers/"+s.id, map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": "ready", "cold-ms": cold.Milliseconds(), "seq": s.seq, "born": s.born})
}

// crash ends the process of the server: nothing listens any more and the connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

func (s *server) serve(id string, c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("Attempt-Id")
		if e := req.Header.Get("Expect-Instance"); e != "" && e != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		runs.mu.Lock()
		runs.list = append(runs.list, run{id: attempt, server: id, path: req.URL.Path, at: time.Since(started)})
		runs.mu.Unlock()
		s.mu.Lock()
		s.inFlight[attempt] = req.URL.Path
		s.mu.Unlock()
		ok := s.handle(s, c, req, body)
		s.mu.Lock()
		delete(s.inFlight, attempt)
		s.mu.Unlock()
		if !ok {
			return
		}
	}
}

func (s *server) inFlightOf(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, path := range s.inFlight {
		if strings.HasPrefix(path, prefix) {
			n++
		}
	}
	return n
}

func signature(attempt string) string { return "sig." + attempt }

// answerPlain sends a whole answer after a time of work.
func answerPlain(work time.Duration, size int) func(*server, net.Conn, *http.Request, []byte) bool {
	return func(_ *server, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		id := r.Header.Get("Attempt-Id")
		text := strings.Repeat("x", size)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, signature(id), len(text), text)
		return err == nil
	}
}

// answerStream sends events.
func answerStream(first, gap time.Duration, events int) func(*server, net.Conn, *http.Request, []byte) bool {
	return func(_ *server, c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Attempt-Id")
		next := 0
		if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			next = after + 1
		}
		time.Sleep(first)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, signature(id)); err != nil {
			return false
		}
		for i := next; i < events; i++ {
			if i > next {
				time.Sleep(gap)
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// call is one client attempt.
type call struct {
	to, method, path, key, usage, prefix string
	deadline                             time.Duration
	body                                 []byte
	conn                                 *clientConn   // nil: a new connection for this call
	paced                                time.Duration // the time that the sending of the body takes; 0: at once
}

// answer is what the client has seen.
type answer struct {
	attempt    string
	status     int // 0: the connection ended without a whole answer
	signed     bool
	whole      bool
	retryAfter time.Duration
	body       []byte
	close      bool // the answer says that the connection ends
	err        error
	sentAt     time.Duration // the last byte was sent
}

// clientConn is a connection that a client keeps.
type clientConn struct {
	c net.Conn
	r *bufio.Reader
}

func dialClient(to string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c: c, r: bufio.NewReader(c)}, nil
}

func (q call) do() answer {
	a := answer{attempt: newID()}
	cc := q.conn
	if cc == nil {
		var err error
		if cc, err = dialClient(q.to); err != nil {
			a.err = err
			return a
		}
		defer cc.c.Close()
	}
	cc.c.SetDeadline(time.Now().Add(q.deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, host, a.attempt, q.deadline.Milliseconds(), q.key)
	if q.usage != "" {
		fmt.Fprintf(&head, "Model: m\r\nToken-Usage: %s\r\nPrompt-Prefix: %s\r\n", q.usage, q.prefix)
	}
	if len(q.body) > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := cc.c.Write(head.Bytes()); err != nil {
		a.err = err
		return a
	}
	const parts = 50
	for i, left := 0, q.body; len(left) > 0; i++ {
		n := len(left)
		if q.paced > 0 {
			n = min(n, len(q.body)/parts+1)
		}
		if _, err := cc.c.Write(left[:n]); err != nil {
			a.err = err
			return a
		}
		left = left[n:]
		if q.paced > 0 {
			time.Sleep(q.paced / parts)
		}
	}
	a.sentAt = time.Since(started)
	res, err := http.ReadResponse(cc.r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.whole, a.body, a.close = res.StatusCode, true, body, res.Close
	a.signed = res.Header.Get("Server-Signature") == signature(a.attempt)
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a
}

func (a answer) served() bool { return a.status == 200 && a.signed && a.whole }

func (a answer) text() string {
	if a.err != nil {
		return "no whole answer: " + a.err.Error()
	}
	if a.served() {
		return "200"
	}
	return fmt.Sprintf("%d %.120s", a.status, a.body)
}

// every calls f at an interval until stop is set, each call in its own goroutine.
func every(interval time.Duration, stop *atomic.Bool, group *sync.WaitGroup, f func(n int)) {
	group.Add(1)
	go func() {
		defer group.Done()
		next := time.Now()
		for n := 0; !stop.Load(); n++ {
			group.Add(1)
			go func() { defer group.Done(); f(n) }()
			next = next.Add(interval)
			time.Sleep(time.Until(next))
		}
	}()
}

// cases are the cases by name. Each returns the rule that was broken, or nothing.
var cases = map[string]func(w *world, trouble bool) string{}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	// If this process ignores SIGHUP, as under nohup, the processes that it starts would, too. With a
	// handler here they begin with the default.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	var err error
	if record.file, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], trouble))
}

func play(name string, trouble bool) (code int) {
	w := newWorld()
	defer func() {
		if e := recover(); e != nil {
			if _, ok := e.(cannotRun); !ok {
				logf("panic: %v", e)
				fmt.Fprintln(os.Stderr, e)
			}
			code = 2
		}
		w.close()
		record.file.Close()
	}()
	broken := cases[name](w, trouble)
	if broken != "" {
		logf("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	logf("HELD")
	fmt.Println("held")
	return 0
}
