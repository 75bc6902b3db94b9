package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// outQueue bounds the frames that wait to be written to one connection.
const outQueue = 64

// connection runs an authenticated connection with one reading and one writing
// goroutine, and at most MaxHandlers that handle requests.
type connection struct {
	node   *Node
	s      *session
	dialed bool
	ctx    context.Context
	cancel context.CancelFunc
	out    chan peerwire.Frame
	slots  chan struct{}
	done   sync.WaitGroup

	lastRead atomic.Int64 // time of the last frame, in ns since the node started
	lastCall atomic.Int64

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan peerwire.Message
	closed  bool
}

func (n *Node) newConnection(s *session, dialed bool) *connection {
	c := &connection{
		node: n, s: s, dialed: dialed,
		out:     make(chan peerwire.Frame, outQueue),
		slots:   make(chan struct{}, n.opts.MaxHandlers),
		pending: map[uint64]chan peerwire.Message{},
	}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	c.lastRead.Store(int64(n.now()))
	c.lastCall.Store(int64(n.now()))
	return c
}

// run serves the connection until it fails or is closed.
func (c *connection) run() {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		c.writeLoop()
		c.close()
	}()
	c.readLoop()
	c.close()
	c.done.Wait()
}

// close ends the connection and fails the calls that wait on it.
func (c *connection) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.s.conn.Close()
}

func (c *connection) readLoop() {
	for {
		if c.s.conn.SetReadDeadline(time.Now().Add(c.node.opts.Liveness)) != nil {
			return
		}
		b, err := peerwire.ReadFrame(c.s.in, peerwire.MaxFrame)
		if err != nil {
			c.node.countRead(err)
			return
		}
		f, err := peerwire.DecodeFrame(b, c.s.checkMAC)
		if err != nil {
			c.node.countRead(err)
			return
		}
		c.lastRead.Store(int64(c.node.now()))
		c.dispatch(f)
	}
}

func (c *connection) dispatch(f peerwire.Frame) {
	_, keepAlive := f.Message.(peerwire.KeepAlive)
	switch {
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
		c.serve(f)
	}
}

// serve handles a request in a goroutine of its own. Requests beyond the limit are
// refused, so that answers and keep-alive frames are still read.
func (c *connection) serve(f peerwire.Frame) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.trySend(peerwire.Frame{Correlation: f.Correlation, Reply: true, Message: peerwire.Failure{Reason: "too many requests"}})
		return
	}
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		defer func() { <-c.slots }()
		m, err := c.node.opts.Handler.HandlePeer(c.ctx, c.s.peer, f.Message)
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
		case c.out <- peerwire.Frame{Correlation: f.Correlation, Reply: true, Message: m}:
		case <-c.ctx.Done():
		}
	}()
}

func (c *connection) trySend(f peerwire.Frame) bool {
	select {
	case c.out <- f:
		return true
	default:
		return false
	}
}

func (c *connection) writeLoop() {
	ticker := time.NewTicker(c.node.opts.KeepAlive)
	defer ticker.Stop()
	for {
		var f peerwire.Frame
		select {
		case <-c.ctx.Done():
			return
		case f = <-c.out:
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
	b, err := peerwire.AppendFrame(nil, f, c.s.sendMAC)
	if err == peerwire.ErrTooLarge && f.Reply {
		f.Message = peerwire.Failure{Reason: "answer is too large"}
		b, err = peerwire.AppendFrame(nil, f, c.s.sendMAC)
	}
	if err != nil {
		return err
	}
	if err := c.s.conn.SetWriteDeadline(time.Now().Add(c.node.opts.Liveness)); err != nil {
		return err
	}
	_, err = c.s.conn.Write(b)
	return err
}

func (c *connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && c.node.now()-time.Duration(c.lastCall.Load()) > c.node.opts.IdleTime
}

func (c *connection) isOpen() bool { return c.ctx.Err() == nil }

// call sends a request and waits for its answer.
func (c *connection) call(ctx context.Context, m peerwire.Message) (peerwire.Message, error) {
	c.lastCall.Store(int64(c.node.now()))
	answer := make(chan peerwire.Message, 1)
	c.mu.Lock()
	if len(c.pending) >= c.node.opts.MaxPending {
		c.mu.Unlock()
		return nil, ErrBusy
	}
	c.next++
	id := c.next
	c.pending[id] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	started := c.node.now()
	select {
	case c.out <- peerwire.Frame{Correlation: id, Message: m}:
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
		// Nothing at all was read since the request left: the connection may have
		// gone silent, so the next call dials anew.
		if c.node.now()-started > 2*c.node.opts.KeepAlive && time.Duration(c.lastRead.Load()) < started {
			c.close()
		}
		return nil, errors.Wrap(ctx.Err(), "wait for answer of peer")
	}
}

// notify sends a message that is not answered.
func (c *connection) notify(ctx context.Context, m peerwire.Message) error {
	c.lastCall.Store(int64(c.node.now()))
	select {
	case c.out <- peerwire.Frame{Message: m}:
		return nil
	case <-c.ctx.Done():
		return ErrConnectionLost
	case <-ctx.Done():
		return ctx.Err()
	}
}
