package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// outgoingQueueLength bounds the frames queued for writing on one connection.
const outgoingQueueLength = 64

// maxWriteBytes bounds what has to be written within the liveness timeout.
const maxWriteBytes = 64 << 10

// connection is an authenticated connection. One goroutine reads, one writes, and at most
// MaxHandlers handle requests.
type connection struct {
	node         *Node
	session      *session
	dialed       bool
	ctx          context.Context
	cancel       context.CancelFunc
	outgoing     chan peerwire.Frame
	handlerSlots chan struct{}
	goroutines   sync.WaitGroup

	lastRead atomic.Int64 // time of the last received bytes, in ns since the node started
	lastCall atomic.Int64

	mu              sync.Mutex
	lastCorrelation uint64
	pending         map[uint64]chan peerwire.Message
	closed          bool
}

func (n *Node) newConnection(s *session, dialed bool) *connection {
	c := &connection{
		node: n, session: s, dialed: dialed,
		outgoing:     make(chan peerwire.Frame, outgoingQueueLength),
		handlerSlots: make(chan struct{}, n.opts.MaxHandlers),
		pending:      map[uint64]chan peerwire.Message{},
	}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	c.lastRead.Store(int64(n.now()))
	c.lastCall.Store(int64(n.now()))
	return c
}

// run serves the connection until it fails or is closed.
func (c *connection) run() {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		c.writeLoop()
		c.close()
	}()
	c.readLoop()
	c.close()
	c.goroutines.Wait()
}

// close closes the connection; calls waiting on it fail.
func (c *connection) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.session.conn.Close()
}

func (c *connection) readLoop() {
	for {
		b, err := peerwire.ReadFrame(livenessReader{c}, peerwire.MaxFrameBytes)
		if err != nil {
			c.node.countReadError(err)
			return
		}
		f, err := peerwire.DecodeFrame(b, c.session.checkMAC)
		if err != nil {
			c.node.countReadError(err)
			return
		}
		c.handleFrame(f)
	}
}

// livenessReader reads from a connection until nothing arrives for the liveness timeout. A large frame may take longer
// than that in all.
type livenessReader struct{ c *connection }

func (r livenessReader) Read(p []byte) (int, error) {
	if err := r.c.session.conn.SetReadDeadline(time.Now().Add(r.c.node.opts.LivenessTimeout)); err != nil {
		return 0, err
	}
	n, err := r.c.session.reader.Read(p)
	if n > 0 {
		r.c.lastRead.Store(int64(r.c.node.now()))
	}
	return n, err
}

func (c *connection) handleFrame(f peerwire.Frame) {
	_, keepAlive := f.Message.(peerwire.KeepAlive)
	_, unknown := f.Message.(peerwire.Unknown)
	switch {
	case unknown && !f.Reply:
		// A newer build sends what this one does not know; it is told so, and the connection goes on.
		c.node.updateStats(func(s *Stats) { s.Unknown++ })
		if f.Correlation > 0 {
			c.trySend(peerwire.Frame{Correlation: f.Correlation, Reply: true, Message: peerwire.Failure{Reason: "unknown message"}})
		}
	case keepAlive && !c.dialed:
		c.trySend(peerwire.Frame{Message: peerwire.KeepAlive{}})
	case keepAlive:
	case f.Reply:
		c.mu.Lock()
		answer := c.pending[f.Correlation]
		delete(c.pending, f.Correlation)
		c.mu.Unlock()
		if answer != nil {
			answer <- f.Message
		}
	default:
		c.handleRequest(f)
	}
}

// handleRequest handles a request in its own goroutine. Requests above the limit are refused,
// so that answers and keep-alive frames are still read.
func (c *connection) handleRequest(f peerwire.Frame) {
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		c.trySend(peerwire.Frame{Correlation: f.Correlation, Reply: true, Message: peerwire.Failure{Reason: "too many requests"}})
		return
	}
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		defer func() { <-c.handlerSlots }()
		m, err := c.node.opts.Handler.HandlePeer(c.ctx, c.session.peer, f.Message)
		if err != nil {
			m = peerwire.Failure{Reason: err.Error()}
		}
		if m == nil {
			m = peerwire.Done{}
		}
		if f.Correlation == 0 {
			return
		}
		select {
		case c.outgoing <- peerwire.Frame{Correlation: f.Correlation, Reply: true, Message: m}:
		case <-c.ctx.Done():
		}
	}()
}

func (c *connection) trySend(f peerwire.Frame) bool {
	select {
	case c.outgoing <- f:
		return true
	default:
		return false
	}
}

func (c *connection) writeLoop() {
	ticker := time.NewTicker(c.node.opts.KeepAliveInterval)
	defer ticker.Stop()
	for {
		var f peerwire.Frame
		select {
		case <-c.ctx.Done():
			return
		case f = <-c.outgoing:
		case <-ticker.C:
			if !c.dialed {
				continue
			}
			if c.isIdle() {
				return
			}
			f = peerwire.Frame{Message: peerwire.KeepAlive{}}
		}
		if err := c.write(f); err != nil {
			return
		}
	}
}

func (c *connection) write(f peerwire.Frame) error {
	b, err := peerwire.AppendFrame(nil, f, c.session.sendMAC)
	if err == peerwire.ErrTooLarge && f.Reply {
		f.Message = peerwire.Failure{Reason: "answer is too large"}
		b, err = peerwire.AppendFrame(nil, f, c.session.sendMAC)
	}
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(b, maxWriteBytes) {
		if err := c.session.conn.SetWriteDeadline(time.Now().Add(c.node.opts.LivenessTimeout)); err != nil {
			return err
		}
		if _, err := c.session.conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

func (c *connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && c.node.now()-time.Duration(c.lastCall.Load()) > c.node.opts.IdleTimeout
}

func (c *connection) isOpen() bool { return c.ctx.Err() == nil }

// call sends a request and waits for the answer.
func (c *connection) call(ctx context.Context, m peerwire.Message) (peerwire.Message, error) {
	c.lastCall.Store(int64(c.node.now()))
	answer := make(chan peerwire.Message, 1)
	c.mu.Lock()
	if len(c.pending) >= c.node.opts.MaxPending {
		c.mu.Unlock()
		return nil, ErrBusy
	}
	c.lastCorrelation++
	correlation := c.lastCorrelation
	c.pending[correlation] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, correlation)
		c.mu.Unlock()
	}()
	started := c.node.now()
	select {
	case c.outgoing <- peerwire.Frame{Correlation: correlation, Message: m}:
	case <-c.ctx.Done():
		return nil, ErrConnectionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-answer:
		if f, ok := a.(peerwire.Failure); ok {
			return nil, f
		}
		return a, nil
	case <-c.ctx.Done():
		return nil, ErrConnectionLost
	case <-ctx.Done():
		// Nothing was read since the request was sent: the connection may no longer deliver
		// data, so it is closed and the next call dials again.
		if c.node.now()-started > 2*c.node.opts.KeepAliveInterval && time.Duration(c.lastRead.Load()) < started {
			c.close()
		}
		return nil, errors.Wrap(ctx.Err(), "wait for the peer's answer")
	}
}

// notify sends a message that has no answer.
func (c *connection) notify(ctx context.Context, m peerwire.Message) error {
	c.lastCall.Store(int64(c.node.now()))
	select {
	case c.outgoing <- peerwire.Frame{Message: m}:
		return nil
	case <-c.ctx.Done():
		return ErrConnectionLost
	case <-ctx.Done():
		return ctx.Err()
	}
}
