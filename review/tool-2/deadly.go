//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a model server in the users' sheet.
const (
	prefillTokensPerMS = 38.7
	attentionMSPerM    = 0.737
	eventInterval      = 30 * time.Millisecond
	soundEvents        = 8
	heartbeat          = 1200 * time.Millisecond
	silentBeats        = 3 // after so many intervals the store removes the entry
	stableWindow       = 3 * time.Second
	maxLateRetries     = 3
)

// deadlyMark is in the body of the request that crashes each server that begins to run it.
const deadlyMark = "dossier-that-crashes"

// modelServer is a stand-in for a model server. It does not drop a request when its connection closes.
type modelServer struct {
	w       *world
	fleet   *modelFleet
	address string

	mu       sync.Mutex
	id       string
	listener *net.TCPListener
	conns    map[net.Conn]bool
}

// modelFleet holds the servers and what they have seen of the deadly request.
type modelFleet struct {
	service string
	servers []*modelServer
	dark    bool          // a server that crashes falls silent with its machine; otherwise its process ends
	back    time.Duration // how long a server is away

	mu       sync.Mutex
	starts   int
	arrivals []time.Time // of the deadly request
	crashes  []time.Time
	sound    int // other requests that have run to their end
}

func newModelFleet(w *world, service string, count int) (*modelFleet, error) {
	f := &modelFleet{service: service}
	for range count {
		s := &modelServer{w: w, fleet: f, address: "127.0.0.1:0"}
		if err := s.start(); err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
	}
	return f, nil
}

// start starts a process of the server, with an ID of its own, which registers itself.
func (s *modelServer) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.fleet.mu.Lock()
	s.fleet.starts++
	id := fmt.Sprintf("i-%04d", s.fleet.starts)
	s.fleet.mu.Unlock()
	s.mu.Lock()
	s.address, s.id, s.listener, s.conns = l.Addr().String(), id, l.(*net.TCPListener), map[net.Conn]bool{}
	s.mu.Unlock()
	s.w.register(id, s.fleet.service, s.address, 64, "ready")
	s.w.record.printf("server %s starts at %s", id, s.address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c, id)
		}
	}()
	return nil
}

// crash ends the server, which sends nothing to the store: its entry is removed after a while. The server is back later.
func (s *modelServer) crash(id string) {
	s.mu.Lock()
	if s.id != id {
		s.mu.Unlock()
		return
	}
	s.id = ""
	if s.fleet.dark {
		s.silence()
	} else {
		s.end()
	}
	s.mu.Unlock()
	s.fleet.mu.Lock()
	s.fleet.crashes = append(s.fleet.crashes, time.Now())
	n := len(s.fleet.crashes)
	s.fleet.mu.Unlock()
	s.w.record.printf("CRASH %d: server %s ends, as it begins to run the deadly request", n, id)
	time.AfterFunc(silentBeats*heartbeat, func() {
		s.w.store.Delete("servers/" + id)
		s.w.record.printf("the store removes the entry of %s", id)
	})
	time.AfterFunc(s.fleet.back, func() {
		s.mu.Lock()
		s.end()
		s.mu.Unlock()
		if err := s.start(); err != nil {
			s.w.record.printf("the server at %s can't start: %v", s.address, err)
		}
	})
}

// end closes the listener and resets the connections, as the end of the process does. The caller must hold mu.
func (s *modelServer) end() {
	s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
}

// silence lets dials hang: nobody accepts, and the queue of new connections is full. What arrives on open connections is not
// answered. The caller must hold mu.
func (s *modelServer) silence() {
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // ends the wait for connections
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 2 {
		if c, err := net.DialTimeout("tcp", s.address, 50*time.Millisecond); err == nil {
			s.conns[c] = true
		}
	}
}

// isSilent reports whether the process with the ID answers nothing any more.
func (s *modelServer) isSilent(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != id
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (s *modelServer) serve(c net.Conn, id string) {
	defer func() {
		if s.isSilent(id) {
			return // it stays open until the server is back
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
			fmt.Fprint(c, head(421, attempt)+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if s.isSilent(id) {
			return
		}
		deadly := strings.Contains(string(body), deadlyMark)
		if deadly {
			s.fleet.mu.Lock()
			s.fleet.arrivals = append(s.fleet.arrivals, time.Now())
			s.fleet.mu.Unlock()
			s.w.record.printf("the deadly request %s reaches server %s", attempt, id)
		}
		time.Sleep(prefillTime(request))
		if deadly {
			s.crash(id)
		}
		if s.isSilent(id) {
			return
		}
		fmt.Fprint(c, head(200, attempt)+"Server-Signature: "+id+"."+attempt+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range soundEvents {
			time.Sleep(eventInterval)
			if s.isSilent(id) {
				return
			}
			event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, attempt)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
		s.fleet.mu.Lock()
		s.fleet.sound++
		s.fleet.mu.Unlock()
	}
}

// prefillTime is how long the server reads the prompt before the request begins to run, with its first token.
func prefillTime(request *http.Request) time.Duration {
	text, _, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(text, 64)
	return time.Duration((tokens/prefillTokensPerMS + tokens*tokens/2/1e6*attentionMSPerM) * float64(time.Millisecond))
}

func head(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n", status, http.StatusText(status), id)
}

const (
	deadlyServers   = 18
	deadlyGateways  = 8
	deadlySession   = 200
	deadlyObjective = 2 * time.Second
	deadlyDeadline  = 6 * time.Second
	deadlyAttempts  = 10
	deadlyPause     = 6 * time.Second // between two attempts of the caller

	soundSessions = 148
	soundTokens   = 1800
	dossierTokens = 9190
	soundDeadline = 4 * time.Second
)

// deadlyCase is a case in which a request crashes each server that begins to run it, and comes again and again.
type deadlyCase struct {
	tokens     int           // of the request
	patience   time.Duration // of its caller
	dark       bool          // the servers fall silent
	back       time.Duration // how long a server is away
	soundPause time.Duration // between two other requests to the same service
	dossiers   bool          // one in four of them is a dossier
}

// deadlyRequest is a case in which the caller leaves after half of the objective, before the server begins to run the request.
// Without trouble it waits.
func deadlyRequest(r *record, trouble bool) (int, error) {
	c := deadlyCase{tokens: 40000, patience: deadlyDeadline, back: 5 * time.Second, soundPause: 500 * time.Millisecond} // the largest prompts of the sheet have so many
	if trouble {
		c.patience = deadlyObjective / 2
	}
	return c.run(r)
}

// darkServers is a case in which the servers go dark. Without trouble their processes end.
func darkServers(r *record, trouble bool) (int, error) {
	return deadlyCase{tokens: dossierTokens, patience: deadlyDeadline, dark: trouble, back: 4500 * time.Millisecond, soundPause: 50 * time.Millisecond, dossiers: true}.run(r)
}

func (c deadlyCase) run(r *record) (int, error) {
	w, err := newWorld(r)
	if err != nil {
		return exitCantRun, err
	}
	defer w.close()
	fleet, err := newModelFleet(w, "atelier", deadlyServers)
	if err != nil {
		return exitCantRun, err
	}
	fleet.dark, fleet.back = c.dark, c.back
	dossier := route("dossier-schedule", "/lohu930/", "streaming", "atelier", deadlyDeadline, 2)
	dossier["target-latency-ms"], dossier["target-gap-ms"], dossier["resumable"], dossier["sticky"], dossier["priority"] = deadlyObjective.Milliseconds(), 800, true, true, 2
	planner := route("planner-query", "/pufi791/", "streaming", "atelier", soundDeadline, 1)
	planner["target-latency-ms"], planner["target-gap-ms"], planner["sticky"] = 500, 300, true
	w.putConfig(7, []map[string]any{dossier, planner}, []map[string]any{{"name": "atelier", "health-path": "/health", "max-conns": 370, "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 232000}}})
	if err := w.addGateways(deadlyGateways); err != nil {
		return exitCantRun, err
	}
	if err := w.startAll(); err != nil {
		return exitCantRun, err
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var pending sync.WaitGroup
	pending.Go(func() { c.sendSound(w, stop) })
	for n := range deadlyAttempts {
		g := w.gateways[n%len(w.gateways)]
		began := time.Now()
		id := fmt.Sprintf("%016x", 0xdead0000+n)
		r.printf("the caller sends the deadly request as %s to %s", id, g.name)
		answer := sendStream(g.front, id, "/lohu930/2f", c.tokens, deadlySession, deadlyDeadline, c.patience, deadlyMark)
		r.printf("request %s: %s", id, answer)
		time.Sleep(time.Until(began.Add(deadlyPause)))
	}
	close(stop)
	pending.Wait()
	for _, g := range w.gateways {
		select {
		case <-g.exited:
			return exitCantRun, fmt.Errorf("%s has ended", g.name)
		default:
		}
	}
	return fleet.judge(r)
}

// judge counts the arrivals of the deadly request later than the stable window after its third crash.
func (f *modelFleet) judge(r *record) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	if len(f.crashes) >= 3 {
		for _, at := range f.arrivals {
			if at.After(f.crashes[2].Add(stableWindow)) {
				late++
			}
		}
	}
	if f.sound == 0 {
		return exitCantRun, fmt.Errorf("no other request was served")
	}
	r.printf("the deadly request has reached servers %d times and crashed %d; it reached servers %d times later than %s after the third crash (the rule allows %d); %d other requests were served",
		len(f.arrivals), len(f.crashes), late, stableWindow, maxLateRetries, f.sound)
	if late > maxLateRetries {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendSound sends other requests to the same service, each of one of a few sessions.
func (c deadlyCase) sendSound(w *world, stop <-chan struct{}) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(c.soundPause):
		}
		pending.Go(func() {
			id := fmt.Sprintf("%016x", 0x50000000+n)
			path, tokens, deadline := "/pufi791/2f", soundTokens, soundDeadline
			if c.dossiers && n%4 == 3 {
				path, tokens, deadline = "/lohu930/2f", dossierTokens, deadlyDeadline
			}
			answer := sendStream(w.gateways[n%len(w.gateways)].front, id, path, tokens, n%soundSessions, deadline, deadline, "question "+id)
			w.record.printf("other request %s: %s", id, answer)
		})
	}
}

// sendStream sends a request on a connection of its own and returns how it ended. The caller leaves after its patience.
func sendStream(address, id, path string, tokens, session int, deadline, patience time.Duration, body string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: %d,80\r\nPrompt-Prefix: 5c1e07a2:341,%x:227,%s:%d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, hostName, id, tokens, 0x91bd3f00+session, id[8:], tokens-568, deadline.Milliseconds(), apiKey, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return "the caller leaves"
		}
		return "no answer: " + err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Sprintf("status %d, cut off after %d bytes", res.StatusCode, len(text))
	}
	return fmt.Sprintf("status %d, %d bytes", res.StatusCode, len(text))
}
