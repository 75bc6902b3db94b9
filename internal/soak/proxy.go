package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	passing   mode = iota
	silent         // holds the bytes of both directions
	answerCut      // holds the answers only
	resetting      // resets open connections and new ones
	delaying       // passes each piece on after proxyDelay
)

var modeNames = [...]string{"passing", "silent", "answer_cut", "resetting", "delaying"}

func (m mode) String() string { return modeNames[m] }

const (
	// proxyDelay is above a region's round trip and below the time limits of the routes.
	proxyDelay = 80 * time.Millisecond
	// gatePoll is how often held bytes look whether they may pass.
	gatePoll = 2 * time.Millisecond
)

// proxy forwards connections to one address. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resetting {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	p.listener.Close()
	p.set(resetting)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(caller *net.TCPConn) {
	if p.now() == resetting {
		resetConn(caller)
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(caller)
		return
	}
	server := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, caller, false) })
	both.Go(func() { p.pump(caller, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pump copies one direction until either end closes.
func (p *proxy) pump(to, from *net.TCPConn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.wait(answers)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.wait(answers)
	to.CloseWrite()
	from.CloseRead()
}

// wait returns when bytes of the direction may pass.
func (p *proxy) wait(answers bool) {
	if p.now() == delaying {
		time.Sleep(proxyDelay)
	}
	for {
		m := p.now()
		if m != silent && !(m == answerCut && answers) {
			return
		}
		time.Sleep(gatePoll)
	}
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
