package emulator

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// server is the HTTP server of a stand-in. It tracks its connections to apply faults to
// them: a crash resets all of them and refuses new ones, a silence keeps them open
// without traffic, and a freeze delays every request until it ends.
type server struct {
	handler fasthttp.RequestHandler
	frozen  pauseFlag

	mu         sync.Mutex
	address    string
	ln         net.Listener
	conns      map[*conn]struct{}
	serveLoops sync.WaitGroup
	timers     []*time.Timer
	stopped    bool
}

// start listens on addr and serves requests. It is called again after a crash.
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
	httpServer := &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discardLogger{},
	}
	s.serveLoops.Go(func() { _ = httpServer.Serve(&listener{Listener: ln, server: s}) })
	return nil
}

// handle delays requests while the server is frozen. The control endpoint is exempt, or a
// freeze could not be ended over HTTP.
func (s *server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != PathControl {
		s.frozen.waitCleared()
	}
	s.handler(ctx)
}

// addr returns the address of the latest listener.
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

// afterFunc calls f after d unless the server is stopped by then.
func (s *server) afterFunc(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timers = append(s.timers, time.AfterFunc(d, f))
	}
}

// stop stops the server for good and waits for its goroutines.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, t := range s.timers {
		t.Stop()
	}
	s.mu.Unlock()
	s.frozen.set(false)
	s.crash()
	s.serveLoops.Wait()
}

// silenceConnections permanently stops all traffic on the open connections without closing
// them, and returns their number.
func (s *server) silenceConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// dropConnections resets every open connection; the listener stays open.
func (s *server) dropConnections() {
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

// exempt excludes a connection from later faults.
func (s *server) exempt(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// listener registers the connections that it accepts with the server.
type listener struct {
	net.Listener
	server *server
}

// Accept accepts a connection and registers it.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.conns == nil {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	l.server.conns[c] = struct{}{}
	return c, nil
}

// pauseFlag is a flag whose waiters block while it is set.
type pauseFlag struct {
	mu      sync.Mutex
	cleared chan struct{}
}

func (f *pauseFlag) set(paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case paused && f.cleared == nil:
		f.cleared = make(chan struct{})
	case !paused && f.cleared != nil:
		close(f.cleared)
		f.cleared = nil
	}
}

func (f *pauseFlag) isSet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cleared != nil
}

func (f *pauseFlag) waitCleared() {
	f.mu.Lock()
	cleared := f.cleared
	f.mu.Unlock()
	if cleared != nil {
		<-cleared
	}
}

// discardLogger discards the log of the HTTP server, because injected faults break
// connections on purpose.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// writeJSON responds with status and v encoded as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the response types hold nothing that cannot be encoded
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	writeJSON(ctx, status, ErrorResponse{Error: ErrorDetail{Code: code, Message: message}})
}
