package emulator

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// server is the listener that all stand-ins share. It tracks its connections so
// that faults can be applied to them: a crash closes all of them and refuses new
// ones, silence keeps them open without a byte, a freeze holds every request.
type server struct {
	handler fasthttp.RequestHandler
	frozen  gate

	mu      sync.Mutex
	address string
	ln      net.Listener
	conns   map[*conn]struct{}
	served  sync.WaitGroup
	timers  []*time.Timer
	stopped bool
}

// start listens on addr. After a crash it listens on the former address again.
func (s *server) start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errors.New("stopped")
	}
	if s.ln != nil {
		return errors.Errorf("already listening on %s", s.address)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.ln, s.address = ln, ln.Addr().String()
	s.conns = map[*conn]struct{}{}
	web := &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discard{},
	}
	s.served.Go(func() { _ = web.Serve(&listener{Listener: ln, owner: s}) })
	return nil
}

// handle holds requests while the server is frozen. The control endpoint keeps
// answering, or a freeze could not be ended over HTTP.
func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != PathControl {
		s.frozen.wait()
	}
	s.handler(ctx)
}

// addr returns the address that the server listens on.
func (s *server) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// crash closes the listener and resets every connection.
func (s *server) crash() {
	s.mu.Lock()
	ln, open := s.ln, s.conns
	s.ln, s.conns = nil, nil
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for c := range open {
		c.reset()
	}
}

// after calls f after d, unless the server is stopped before.
func (s *server) after(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timers = append(s.timers, time.AfterFunc(d, f))
	}
}

// stop ends the server for good and waits for its goroutines.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, t := range s.timers {
		t.Stop()
	}
	s.mu.Unlock()
	s.frozen.set(false)
	s.crash()
	s.served.Wait()
}

// silence makes every open connection silent: nothing is read from it or written
// to it any more, but it stays open. It returns the number of connections.
func (s *server) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// drop resets every open connection while the process lives on.
func (s *server) drop() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// forget exempts a connection from later faults.
func (s *server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	owner *server
}

// Accept returns a tracked connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, owner: l.owner}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.owner.conns == nil {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.owner.conns[c] = struct{}{}
	return c, nil
}

// gate holds its waiters while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// discard drops the HTTP server's log: broken connections are expected here.
type discard struct{}

// Printf does nothing.
func (discard) Printf(string, ...any) {}

// writeJSON answers with status and the JSON form of v.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the answer types hold nothing that cannot be encoded
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Failure is the body of an error answer.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes an error.
type FailureDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	writeJSON(ctx, status, Failure{Error: FailureDetail{Code: code, Message: message}})
}
