package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode determines how a proxy treats its connections.
type proxyMode int

const (
	modePass           proxyMode = iota
	modeStall                    // holds back the data of both directions
	modeStallResponses           // holds back the data from the target only
	modeReset                    // resets open connections and new ones
	modeDelay                    // forwards each read after forwardDelay
)

var proxyModeNames = [...]string{"passing", "silent", "answer_cut", "resetting", "delaying"}

func (m proxyMode) String() string { return proxyModeNames[m] }

const (
	// forwardDelay is longer than a round trip within a region and shorter than the route
	// timeouts.
	forwardDelay = 80 * time.Millisecond
	// holdPollInterval is the interval at which held data checks the mode again.
	holdPollInterval = 2 * time.Millisecond
	// resumeAttempts bounds the attempts to listen at an address again.
	resumeAttempts = 500
)

// proxy is a TCP proxy that forwards connections to one address. It is safe for concurrent use.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	mode     proxyMode
	conns    map[*net.TCPConn]bool
}

// newProxy starts a proxy that listens at an address and forwards to the target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// refuse resets all connections and refuses new ones, as when the target's process ends.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	for c := range p.conns {
		resetConn(c)
	}
}

// refuseNew refuses new connections; open ones live on.
func (p *proxy) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
}

// resume accepts connections again at the same address. Connections that are still closing may
// hold the address for a moment.
func (p *proxy) resume() error {
	var l net.Listener
	var err error
	for range resumeAttempts {
		if l, err = net.Listen("tcp", p.address()); err == nil {
			break
		}
		time.Sleep(holdPollInterval)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	p.mu.Lock()
	p.listener.Close()
	p.mu.Unlock()
	p.setMode(modeReset)
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(callerConn *net.TCPConn) {
	if p.currentMode() == modeReset {
		resetConn(callerConn)
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(callerConn)
		return
	}
	targetConn := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[callerConn], p.conns[targetConn] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(targetConn, callerConn, false) })
	directions.Go(func() { p.forward(callerConn, targetConn, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, callerConn)
	delete(p.conns, targetConn)
	p.mu.Unlock()
}

// forward copies one direction until either end closes. The parameter responses is true for the
// direction from the target to the caller.
func (p *proxy) forward(to, from *net.TCPConn, responses bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.awaitPassage(responses)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.awaitPassage(responses)
	to.CloseWrite()
	from.CloseRead()
}

// awaitPassage blocks until the mode allows data of the direction to pass.
func (p *proxy) awaitPassage(responses bool) {
	if p.currentMode() == modeDelay {
		time.Sleep(forwardDelay)
	}
	for {
		m := p.currentMode()
		if m != modeStall && !(m == modeStallResponses && responses) {
			return
		}
		time.Sleep(holdPollInterval)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}
